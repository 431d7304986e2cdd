package shares

import (
	"slices"
	"strings"
	"time"
)

// account is one contract's books at this entry.
type account struct {
	use     Demand
	touched time.Duration
	// lent is by borrower, borrowed by lender.
	lent     map[string]*lentQuota
	borrowed map[string]*borrowedQuota
}

// lent is what one borrower may be using.
type lentQuota struct {
	// grants are the loans that have not lapsed; the borrower uses one of them.
	grants []grant
	// open are the loans on which it may still admit or have admitted requests:
	// the one it echoed and those after it, lapsed or not.
	open []grant
	// needs is what its requests in flight took up when it echoed.
	needs Units
	// occupiedUntil is when the longest of its requests is over.
	occupiedUntil time.Duration
	// wants is its last request, for an even split among borrowers.
	wants Units
	asked time.Duration
	// seq is the last ask received.
	seq uint64
}

type grant struct {
	seq   uint64
	units Units
	until time.Duration
}

// borrowedQuota is the loan in force from one lender. It stays, empty, until the
// lender was notified that nothing in flight depends on it.
type borrowedQuota struct {
	units Units
	until time.Duration
	// closing is the Seq of an ask that notified the lender.
	closing uint64
}

func newAccount() *account {
	return &account{lent: make(map[string]*lentQuota), borrowed: make(map[string]*borrowedQuota)}
}

func (l *lentQuota) rate(now time.Duration) Units {
	var most Units
	for _, g := range l.grants {
		if now < g.until {
			most = max(most, g.units)
		}
	}
	return most
}

func (l *lentQuota) concurrency(now time.Duration) Units {
	if now >= l.occupiedUntil {
		return l.rate(now)
	}
	most := max(l.needs, l.rate(now))
	for _, g := range l.open {
		most = max(most, g.units)
	}
	return most
}

func (x *account) lentRate(now time.Duration) (sum Units) {
	for _, l := range x.lent {
		sum += l.rate(now)
	}
	return sum
}

func (x *account) lentConcurrency(now time.Duration) (sum Units) {
	for _, l := range x.lent {
		sum += l.concurrency(now)
	}
	return sum
}

func (x *account) borrowedNow(now time.Duration) (sum Units) {
	for _, c := range x.borrowed {
		if now < c.until {
			sum += c.units
		}
	}
	return sum
}

func (x *account) expire(now time.Duration) {
	for vm, l := range x.lent {
		l.grants = slices.DeleteFunc(l.grants, func(g grant) bool { return now >= g.until })
		if l.concurrency(now) == 0 && now-l.asked > patience {
			delete(x.lent, vm)
		}
	}
}

// Ask returns the message to one peer.
func (b *Ledger) Ask(peer string, seq uint64, now time.Duration) Ask {
	ask := Ask{From: b.roster.self, Incarnation: b.roster.incarnation, Seq: seq, Counted: b.roster.names()}
	if c := b.roster.counted[peer]; c != nil {
		ask.Echo = c.taken
	}
	peers := Units(max(len(b.roster.counted)-1, 1))
	for a, x := range b.accounts {
		c := x.borrowed[peer]
		units := x.wantFrom(c, peers, b.roster.base(now), now)
		if units == 0 && c == nil {
			continue
		}
		w := Want{Account: a, Units: units, Needs: b.needs(x, peer, now)}
		if c != nil && units == 0 && w.Needs == 0 && (c.units == 0 || now >= c.until) {
			c.closing = seq
		}
		ask.Wants = append(ask.Wants, w)
	}
	slices.SortFunc(ask.Wants, func(p, q Want) int {
		return strings.Compare(p.Account.Customer+"/"+p.Account.Service, q.Account.Customer+"/"+q.Account.Service)
	})
	return ask
}

// needs is what the requests in flight take up beyond the entry's own part and
// the loans of others. It may name more than this peer lent; the peer knows.
func (b *Ledger) needs(x *account, peer string, now time.Duration) Units {
	fits := b.ownConcurrency(x, now) + x.borrowedNow(now)
	if c := x.borrowed[peer]; c != nil && now < c.until {
		fits -= c.units
	}
	return max(x.use.InUse-fits, 0)
}

// wantFrom spreads what is missing over the peers. A peer that lends gets asked
// for what it lends and twice an even part of the rest: where one peer alone has
// something to lend, the loan grows to it within a few rounds. Without the least
// part a burst of one would be gathered to a hair below one for ever.
func (x *account) wantFrom(c *borrowedQuota, peers, base Units, now time.Duration) Units {
	need := max(x.use.Want, x.use.InUse) - max(base-x.lentRate(now), 0)
	if need <= 0 {
		return 0
	}
	var held Units
	if c != nil && now < c.until {
		held = c.units
	}
	sum := x.borrowedNow(now)
	if sum > need {
		return Units(float64(held) * float64(need) / float64(sum))
	}
	missing := need - sum
	return held + min(missing, max(2*missing/peers, smallestAsk))
}

// HandleAsk answers the ask of another entry.
func (b *Ledger) HandleAsk(ask Ask, now time.Duration) Answer {
	ok, renewed := b.roster.record(ask.From, ask.Incarnation, ask.Counted, now)
	if renewed {
		b.renew(ask.From)
	}
	answer := Answer{From: b.roster.self, Incarnation: b.roster.incarnation}
	if ok {
		for _, w := range ask.Wants {
			units := b.lend(&ask, w, now)
			answer.Loans = append(answer.Loans, Loan{Account: w.Account, Units: units})
		}
		answer.Confirmed = b.fits(now)
	}
	answer.Counted = b.roster.names()
	answer.Based = b.roster.based && !b.roster.provisional
	return answer
}

// renew takes note that a VM has begun a new life.
//
// Its loans end: the new life knows nothing of them and would use or lend the
// same share. What was lent to the old life lapses as before, but its requests
// in flight went with it.
func (b *Ledger) renew(vm string) {
	for _, x := range b.accounts {
		if c := x.borrowed[vm]; c != nil {
			c.units = 0
		}
		if l := x.lent[vm]; l != nil {
			l.open, l.needs, l.seq = nil, 0, 0
		}
	}
}

// fits reports whether all that this entry uses and has lent stays within its
// share, with all VMs counted that it knows now.
func (b *Ledger) fits(now time.Duration) bool {
	base := b.roster.base(now)
	for _, x := range b.accounts {
		if x.lentRate(now) > base || x.lentConcurrency(now) > base || x.use.InUse > b.ownConcurrency(x, now)+x.borrowedNow(now) {
			return false
		}
	}
	return true
}

// lend decides on a loan and books it before it is sent.
func (b *Ledger) lend(ask *Ask, w Want, now time.Duration) Units {
	x := b.account(w.Account)
	l := x.lent[ask.From]
	if l == nil {
		l = &lentQuota{}
		x.lent[ask.From] = l
	}
	if ask.Seq <= l.seq {
		return 0
	}
	l.seq, l.wants, l.asked = ask.Seq, w.Units, now
	l.echoed(ask.Echo, w.Needs, now)
	units := max(min(w.Units, b.spare(x, ask.From, now)), 0)
	until := now + LeaseDuration + drift
	if units > 0 {
		l.grants = append(l.grants, grant{seq: ask.Seq, units: units, until: until})
		l.occupiedUntil = until + x.use.MaxDuration
	}
	l.open = append(l.open, grant{seq: ask.Seq, units: units})
	x.expire(now)
	return units
}

// echoed closes the loans before the one that the borrower echoed.
//
// Failure: an ask is late. What it says of requests in flight was true when it
// was sent; since then the borrower may have admitted more on the loan that it
// held, or on one that was in flight to it. So the loan echoed and all after
// it stay open, and only older ones are closed.
func (l *lentQuota) echoed(echo uint64, needs Units, now time.Duration) {
	l.needs = min(needs, l.concurrency(now))
	l.open = slices.DeleteFunc(l.open, func(g grant) bool { return g.seq < echo })
}

// spare is what may be lent to one borrower: what the entry does not want
// itself, split among those who ask by what they ask for.
func (b *Ledger) spare(x *account, to string, now time.Duration) Units {
	base := b.roster.base(now)
	own := max(x.use.Want, x.use.InUse, x.use.Reserve)
	forRate, forConcurrency := base-own, b.concurrencyBase(x, now)-own
	var wanted Units
	for vm, l := range x.lent {
		if now-l.asked < LeaseDuration {
			wanted += l.wants
		}
		if vm == to {
			continue
		}
		forRate -= l.rate(now)
		forConcurrency -= l.concurrency(now)
	}
	if wanted == 0 {
		return 0
	}
	part := float64(base-own) * float64(x.lent[to].wants) / float64(wanted)
	return min(forRate, forConcurrency, Units(part))
}

// HandleAnswer books the answer to an ask that was sent at the given time. An answer to
// an older ask than the last one taken is passed over.
func (b *Ledger) HandleAnswer(ask Ask, answer Answer, asked, now time.Duration) {
	ok, renewed := b.roster.record(answer.From, answer.Incarnation, answer.Counted, now)
	if !ok {
		return
	}
	c := b.roster.counted[answer.From]
	if renewed {
		b.renew(answer.From)
	}
	if ask.Seq <= c.taken {
		return
	}
	c.taken = ask.Seq
	c.answered, c.based = true, answer.Based
	if answer.Confirmed {
		c.confirmedBy = answer.Incarnation
	}
	b.replaceCredits(&ask, &answer, asked+LeaseDuration)
}

// replaceCredits puts the loans of an answer in the place of the lender's
// earlier ones. An empty borrowedQuota stays until the lender was notified that nothing in
// flight depends on it.
func (b *Ledger) replaceCredits(ask *Ask, answer *Answer, until time.Duration) {
	for _, x := range b.accounts {
		c := x.borrowed[answer.From]
		switch {
		case c == nil:
		case c.closing == ask.Seq:
			delete(x.borrowed, answer.From)
		default:
			c.units = 0
		}
	}
	for _, l := range answer.Loans {
		if l.Units > 0 {
			b.account(l.Account).borrowed[answer.From] = &borrowedQuota{units: l.Units, until: until}
		}
	}
}
