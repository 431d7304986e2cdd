// Package shares splits a contract's limits over the entries of all VMs.
//
// Load pattern: a customer's requests come through any entry, evenly or all
// through one, and the mix changes within seconds. Without shares each entry
// would have to admit the whole contract (nine entries: nine times the limit) or
// a fixed ninth (a customer behind one entry gets a ninth of what it pays for).
//
// Every VM owns an equal part of every contract, its base, and lends what it does
// not need to entries that do, by leases. Nothing is handed out by a home or a
// leader, so there is no takeover, and no two homes at once: a part of a contract
// has one owner, who alone decides whether it uses or lends it.
//
// The invariant, at every moment, whatever is cut, late, lost or restarted: the
// shares in force at all entries add up to at most Whole. Three rules carry it:
//
//  1. Base. An entry's base is Whole / (VMs that it counts), and an entry has a
//     base only after every VM that it counts has confirmed to count it. So of
//     any two entries with a base each counts the other, no count is below the
//     number of entries with a base, and the bases add up to at most Whole.
//     A VM is struck off only when the platform's list lacks it and it was
//     silent for holdDown.
//  2. Loans. The lender counts a loan against its base from when it sends it
//     until a lease after that and a drift margin; the borrower uses it until a
//     lease after it asked, which is earlier. A lost or late message costs share
//     for one lease and never makes share.
//  3. Concurrency. A request admitted on a loan outlives the lease. The lender
//     leaves a lapsed loan's concurrency unused until the borrower says that its
//     requests in flight do not need it, or the longest request is over.
//
// With rate and burst in proportion to the share, and buckets that start empty
// and lose what a lowered share has no room for, this bounds what is admitted:
// over all entries, in any window, rate * window + burst requests of a customer.
//
// A cut-off entry keeps its loans for a lease and falls back to its base, the
// limit / the VMs that it last knew; what it has lent is returned after a lease.
//
// What it does not cover: if every entry that answers was restarted within
// patience while some entry is cut off, the restarted ones take up bases without
// its word. That entry's base is too large then if VMs were added since its cut.
// Nor VMs that start at the same time with lists that lack each other, and have
// no third VM in common.
package shares

import "time"

// Units count parts of a contract, so that shares add up exactly.
type Units int64

// Whole is a whole contract. It divides without rest by every number of VMs up
// to 16.
const Whole Units = 720720 << 20

// Times of the protocol.
const (
	// LeaseDuration is how long a loan may be used, counted from the borrower's asking.
	// It bounds how long a share lent and lost is missing.
	LeaseDuration = time.Second
	// RenewInterval is how often entries ask: four times a lease, so that two messages
	// in a row may be lost before a loan lapses.
	RenewInterval = 250 * time.Millisecond
	// driftMargin is what a lender adds to a lease. Clocks of VMs driftMargin below 1e-3.
	driftMargin = LeaseDuration / 100
	// holdDown is how long a VM that left the platform's list is still counted
	// after its last message: its processes end within seconds.
	holdDown = 10 * time.Second
	// silenceTimeout is how long restarted entries wait for one that is silent, if
	// there is no other entry with a base.
	silenceTimeout = 10 * time.Second
	// listLagTimeout is how long an entry that knows of no other VM waits for the
	// platform's lagging list to name one.
	listLagTimeout = 5 * time.Second
	// reachableWithin is how recent an answer must be to say that a VM is reached.
	reachableWithin = 2 * time.Second
	// idleAccountTTL is how long an account without use is kept.
	idleAccountTTL = time.Minute
)

// minLoanIncrease is the least part by which a loan grows, if so much is missing.
const minLoanIncrease = Whole / 64

// Account is one customer's contract at one service.
type Account struct{ Customer, Service string }

// Demand is what an entry's own callers need of an account.
type Demand struct {
	// Want is the share that the present demand asks for.
	Want Units
	// InUse is the share of the concurrency that requests in flight take up.
	InUse Units
	// Reserve is what the entry keeps of its base without any demand, for the
	// first requests of a burst.
	Reserve Units
	// MaxDuration is how long a request may be in flight.
	MaxDuration time.Duration
}

// Ask is what an entry sends to each other one every Renew.
type Ask struct {
	From        string
	Incarnation int64
	// Seq numbers the asks of an incarnation to one peer.
	Seq uint64
	// Echo is the Seq of the ask whose answer the sender took last.
	Echo uint64
	// Counted are the VMs that the sender counts, itself included.
	Counted []string
	Wants   []Want
}

// Want asks for a loan, and replaces the last one.
type Want struct {
	Account Account
	Units   Units
	// Needs is how much of the concurrency lent by this peer the sender's
	// requests in flight take up.
	Needs Units
}

// Answer is the reply to an Ask.
type Answer struct {
	From        string
	Incarnation int64
	Counted     []string
	// Confirmed says that the answering entry counts the asking one and keeps
	// within the smaller base.
	Confirmed bool
	// Based says that the answering entry has a base.
	Based bool
	Loans []Loan
}

// Loan is what an Answer lends until a Lease after the Ask was sent.
type Loan struct {
	Account Account
	Units   Units
}

// Ledger is one entry's part of the protocol. It belongs to one goroutine at a
// time. Times are readings of one clock that never goes back.
type Ledger struct {
	members  membership
	accounts map[Account]*account
}

// New returns the book of an entry that has just started. The incarnation must
// be above that of every earlier life of this VM.
func New(vm string, incarnation int64, now time.Duration) *Ledger {
	return &Ledger{members: newMembership(vm, incarnation, now), accounts: make(map[Account]*account)}
}

// SetVMs takes the platform's list of VMs.
func (l *Ledger) SetVMs(vms []string, now time.Duration) { l.members.setVMs(vms, now) }

// SetDemand says what the entry's own callers need of an account.
func (l *Ledger) SetDemand(a Account, u Demand, now time.Duration) {
	x := l.account(a)
	x.use, x.lastUsed = u, now
}

// Counted returns the VMs that this entry counts, sorted.
func (l *Ledger) Counted() []string { return l.members.countedVMs() }

// Share returns what the entry may use of an account now, for rate and burst,
// and for concurrency.
func (l *Ledger) Share(a Account, now time.Duration) (rate, concurrency Units) {
	x := l.account(a)
	base := l.members.base(now)
	borrowed := x.borrowedNow(now)
	rate = max(base-x.lentRate(now), 0) + borrowed
	return rate, l.ownConcurrency(x, now) + borrowed
}

// Base returns the part of every account that this entry owns.
func (l *Ledger) Base(now time.Duration) Units { return l.members.base(now) }

// HasLoans reports whether anything of the account is lent or borrowed.
func (l *Ledger) HasLoans(a Account) bool {
	x := l.accounts[a]
	return x != nil && len(x.lent)+len(x.borrowed) > 0
}

// Forget drops an account of which nothing is lent or borrowed, so that no message
// looks at it. SetUse must come before the book is asked about it again.
func (l *Ledger) Forget(a Account) {
	if !l.HasLoans(a) {
		delete(l.accounts, a)
	}
}

// ownConcurrency is what is left of the base.
func (l *Ledger) ownConcurrency(x *account, now time.Duration) Units {
	return max(l.concurrencyBase(x, now)-x.lentConcurrency(now), 0)
}

// concurrencyBase is 0 while requests of an earlier life may be in flight on
// loans that this life knows nothing of and nobody confirmed to have ended.
func (l *Ledger) concurrencyBase(x *account, now time.Duration) Units {
	if l.members.provisional && now-l.members.started < x.use.MaxDuration+LeaseDuration+driftMargin {
		return 0
	}
	return l.members.base(now)
}

// Expire strikes off VMs that are gone and forgets accounts without use.
func (l *Ledger) Expire(now time.Duration) {
	l.members.expire(now)
	for a, x := range l.accounts {
		x.expire(now)
		if now-x.lastUsed > idleAccountTTL && len(x.lent) == 0 && len(x.borrowed) == 0 {
			delete(l.accounts, a)
		}
	}
}

func (l *Ledger) account(a Account) *account {
	x := l.accounts[a]
	if x == nil {
		x = newAccount()
		l.accounts[a] = x
	}
	return x
}
