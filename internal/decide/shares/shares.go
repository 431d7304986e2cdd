// Package shares divides a contract's limits among the entries of all VMs.
//
// Load pattern: a customer's requests arrive through any entry, evenly or all
// through one, and the mix changes within seconds. Without shares each entry
// would have to admit either the whole contract (with nine entries, nine times the
// limit) or a fixed ninth (a customer that uses one entry gets a ninth of what it
// pays for).
//
// Every VM owns an equal part of every contract, its base, and lends what it does
// not need to other entries for the duration of a lease. There is no coordinator or
// leader that hands out shares, hence no failover and no split brain: each part of a
// contract has one owner, which alone decides whether to use or lend it.
//
// Invariant: at every moment, whatever network partitions, message delays, losses
// and restarts occur, the shares in force at all entries add up to at most Whole.
// Three rules maintain it:
//
//  1. Base. Each entry keeps a set of counted VMs, and its base is Whole divided by
//     their number. An entry has a base only after every VM that it counts has
//     confirmed that it counts this entry in turn. Hence of any two entries with a
//     base each counts the other, each counts at least as many VMs as there are
//     entries with a base, and the bases add up to at most Whole. A VM is removed
//     from the set only when the platform no longer lists it and no message has come
//     from it for holdDown.
//  2. Loans. The lender deducts a loan from its base from the time it sends it until
//     a lease and a drift margin later. The borrower uses it until a lease after it
//     sent the ask, which is earlier. A lost or late message therefore leaves share
//     unused for one lease, and never creates share.
//  3. Concurrency. A request admitted on a loan may outlive the lease. The lender
//     leaves the concurrency of an expired loan unused until the borrower reports
//     that its requests in flight do not need it, or until the longest request has
//     ended.
//
// Rate and burst are proportional to the share, and token buckets start empty and
// discard tokens above a lowered burst. The invariant therefore bounds what all
// entries together admit in any window to rate * window + burst requests of a
// customer.
//
// An entry that is partitioned from the others keeps its loans until their leases
// expire and then falls back to its base, the limit divided by the number of VMs
// that it last counted. What it has lent returns to it after a lease.
//
// Two cases are not covered. If every reachable entry was restarted within
// silenceTimeout while another entry is partitioned, the restarted entries take up
// bases without its confirmation; its base is then too large if VMs were added since
// the partition began. The other case is VMs that start at the same time with lists
// that do not contain each other, and that have no third VM in common.
package shares

import "time"

// Units measure parts of a contract. They are integers, so that shares add up exactly.
type Units int64

// Whole is the whole contract. It is divisible by every number of VMs up to 16.
const Whole Units = 720720 << 20

// Timing of the protocol.
const (
	// LeaseDuration is how long a loan may be used, counted from when the borrower sent
	// the ask. It bounds how long a share stays unused if the loan is lost on the way.
	LeaseDuration = time.Second
	// RenewInterval is the interval between asks to a peer. With four asks per lease, two
	// consecutive messages may be lost before a loan expires.
	RenewInterval = 250 * time.Millisecond
	// driftMargin is added to a lease by the lender. Clocks of VMs drift by less than 1e-3.
	driftMargin = LeaseDuration / 100
	// holdDown is how long a VM that the platform no longer lists is still counted after
	// its last message. Its processes end within seconds.
	holdDown = 10 * time.Second
	// silenceTimeout is how long restarted entries wait for VMs that do not answer if no
	// reachable entry has a base. The record of a borrower that stops asking is kept as long.
	silenceTimeout = 10 * time.Second
	// listLagTimeout is how long an entry that counts no other VM waits for the
	// platform's list, which lags behind, to contain one.
	listLagTimeout = 5 * time.Second
	// reachableWithin is the maximum age of the last message from a VM that is taken to be
	// reachable.
	reachableWithin = 2 * time.Second
	// idleAccountTTL is how long an account without demand or loans is kept.
	idleAccountTTL = time.Minute
)

// minLoanIncrease is the minimum by which an ask enlarges a loan, unless less is missing.
const minLoanIncrease = Whole / 64

// Account is one customer's contract at one service.
type Account struct{ Customer, Service string }

// Demand is what an entry's own callers need of an account.
type Demand struct {
	// Want is the share that would satisfy the present demand.
	Want Units
	// InUse is the share of the concurrency that requests in flight occupy.
	InUse Units
	// Reserve is the part of its base that the entry does not lend even without
	// demand, for the first requests of a burst.
	Reserve Units
	// MaxDuration is the longest time that a request may be in flight.
	MaxDuration time.Duration
}

// Ask is the message that an entry sends to each of the others every RenewInterval.
type Ask struct {
	From        string
	Incarnation int64
	// Seq increases with each ask of an incarnation to one peer.
	Seq uint64
	// Echo is the Seq of the last ask whose answer the sender has applied.
	Echo uint64
	// Counted are the VMs that the sender counts, including itself.
	Counted []string
	Wants   []Want
}

// Want requests a loan that replaces the previous one of the account.
type Want struct {
	Account Account
	Units   Units
	// Needs is how much of the concurrency lent by the receiver is occupied by the
	// sender's requests in flight.
	Needs Units
}

// Answer is the reply to an Ask.
type Answer struct {
	From        string
	Incarnation int64
	Counted     []string
	// Confirmed reports whether the answering entry counts the asking one and stays
	// within the base that results from it.
	Confirmed bool
	// Based reports whether the answering entry has a base that is not provisional.
	Based bool
	Loans []Loan
}

// Loan is what an Answer lends. It ends LeaseDuration after the Ask was sent.
type Loan struct {
	Account Account
	Units   Units
}

// Ledger is one entry's side of the protocol: what it has lent and borrowed. It is not
// safe for concurrent use. Times are readings of a single monotonic clock.
type Ledger struct {
	members  membership
	accounts map[Account]*account
}

// New returns the ledger of an entry that has just started. The incarnation must be
// higher than every earlier one of this VM.
func New(vm string, incarnation int64, now time.Duration) *Ledger {
	return &Ledger{members: newMembership(vm, incarnation, now), accounts: make(map[Account]*account)}
}

// SetVMs sets the platform's list of VMs. An empty list is ignored.
func (l *Ledger) SetVMs(vms []string, now time.Duration) { l.members.setVMs(vms, now) }

// SetDemand sets what the entry's own callers need of an account.
func (l *Ledger) SetDemand(a Account, u Demand, now time.Duration) {
	x := l.account(a)
	x.demand, x.lastUsed = u, now
}

// Counted returns the VMs that this entry counts, sorted.
func (l *Ledger) Counted() []string { return l.members.countedVMs() }

// Share returns the share of an account that the entry may use now: one for rate and
// burst, one for concurrency.
func (l *Ledger) Share(a Account, now time.Duration) (rate, concurrency Units) {
	x := l.account(a)
	base := l.members.base(now)
	borrowed := x.borrowedNow(now)
	rate = max(base-x.lentRate(now), 0) + borrowed
	return rate, l.ownConcurrency(x, now) + borrowed
}

// Base returns the part of every account that this entry owns, 0 while it has no base.
func (l *Ledger) Base(now time.Duration) Units { return l.members.base(now) }

// HasLoans reports whether anything of the account is lent or borrowed.
func (l *Ledger) HasLoans(a Account) bool {
	x := l.accounts[a]
	return x != nil && len(x.lent)+len(x.borrowed) > 0
}

// Forget deletes an account of which nothing is lent or borrowed, so that messages no
// longer include it. The caller must call SetDemand before it uses the account again.
func (l *Ledger) Forget(a Account) {
	if !l.HasLoans(a) {
		delete(l.accounts, a)
	}
}

// ownConcurrency returns the concurrency of the base that is not lent.
func (l *Ledger) ownConcurrency(x *account, now time.Duration) Units {
	return max(l.concurrencyBase(x, now)-x.lentConcurrency(now), 0)
}

// concurrencyBase returns the base for concurrency. With a provisional base it is 0 as long
// as requests may be in flight on loans of an earlier incarnation, which this one does not
// know of and whose end no VM has confirmed.
func (l *Ledger) concurrencyBase(x *account, now time.Duration) Units {
	if l.members.provisional && now-l.members.started < x.demand.MaxDuration+LeaseDuration+driftMargin {
		return 0
	}
	return l.members.base(now)
}

// Expire removes VMs that are gone, expired loans and idle accounts.
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
