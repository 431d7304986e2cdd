package shares

import (
	"slices"
	"strings"
	"time"
)

// account holds the state of one contract at this entry.
type account struct {
	demand Demand
	// lastUsed is when the demand was last set.
	lastUsed time.Duration
	// lent is keyed by borrower, borrowed by lender.
	lent     map[string]*lentQuota
	borrowed map[string]*borrowedQuota
}

// lentQuota tracks what one borrower may be using.
type lentQuota struct {
	// grants are the loans that have not expired. The borrower uses one of them.
	grants []grant
	// open are the loans, expired or not, on which the borrower may have admitted requests
	// that are in flight, or may still admit some: the one that it echoed and later ones.
	open []grant
	// needs is the concurrency that its requests in flight occupied when it sent the echo.
	needs Units
	// occupiedUntil is when its longest possible request has ended.
	occupiedUntil time.Duration
	// lastWanted is the amount of its last ask, by which spare share is divided among
	// borrowers.
	lastWanted Units
	lastAsked  time.Duration
	// seq is the Seq of the last ask received.
	seq uint64
}

// grant is one loan, identified by the Seq of the ask that it answers.
type grant struct {
	seq   uint64
	units Units
	until time.Duration
}

// borrowedQuota is the current loan from one lender. An empty one is kept until the lender
// has been notified that no request in flight depends on it.
type borrowedQuota struct {
	units Units
	until time.Duration
	// closingSeq is the Seq of the ask that notified the lender, 0 for none.
	closingSeq uint64
}

func newAccount() *account {
	return &account{lent: make(map[string]*lentQuota), borrowed: make(map[string]*borrowedQuota)}
}

func (q *lentQuota) rate(now time.Duration) Units {
	var most Units
	for _, g := range q.grants {
		if now < g.until {
			most = max(most, g.units)
		}
	}
	return most
}

func (q *lentQuota) concurrency(now time.Duration) Units {
	if now >= q.occupiedUntil {
		return q.rate(now)
	}
	most := max(q.needs, q.rate(now))
	for _, g := range q.open {
		most = max(most, g.units)
	}
	return most
}

func (x *account) lentRate(now time.Duration) (sum Units) {
	for _, q := range x.lent {
		sum += q.rate(now)
	}
	return sum
}

func (x *account) lentConcurrency(now time.Duration) (sum Units) {
	for _, q := range x.lent {
		sum += q.concurrency(now)
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
	for vm, q := range x.lent {
		q.grants = slices.DeleteFunc(q.grants, func(g grant) bool { return now >= g.until })
		if q.concurrency(now) == 0 && now-q.lastAsked > silenceTimeout {
			delete(x.lent, vm)
		}
	}
}

// Ask returns the next message to a peer. The seq must increase with each ask to it.
func (l *Ledger) Ask(peer string, seq uint64, now time.Duration) Ask {
	ask := Ask{From: l.members.self, Incarnation: l.members.incarnation, Seq: seq, Counted: l.members.countedVMs()}
	if c := l.members.counted[peer]; c != nil {
		ask.Echo = c.lastAnswered
	}
	peers := Units(max(len(l.members.counted)-1, 1))
	for a, x := range l.accounts {
		c := x.borrowed[peer]
		units := x.amountToAsk(c, peers, l.members.base(now), now)
		if units == 0 && c == nil {
			continue
		}
		w := Want{Account: a, Units: units, Needs: l.loanInUse(x, peer, now)}
		if c != nil && units == 0 && w.Needs == 0 && (c.units == 0 || now >= c.until) {
			c.closingSeq = seq
		}
		ask.Wants = append(ask.Wants, w)
	}
	slices.SortFunc(ask.Wants, func(p, q Want) int {
		return strings.Compare(p.Account.Customer+"/"+p.Account.Service, q.Account.Customer+"/"+q.Account.Service)
	})
	return ask
}

// loanInUse returns the concurrency that requests in flight occupy beyond the entry's own
// part and the loans of other peers. It may exceed what this peer has lent; the peer caps it.
func (l *Ledger) loanInUse(x *account, peer string, now time.Duration) Units {
	available := l.ownConcurrency(x, now) + x.borrowedNow(now)
	if c := x.borrowed[peer]; c != nil && now < c.until {
		available -= c.units
	}
	return max(x.demand.InUse-available, 0)
}

// amountToAsk returns how much to ask of one peer, spreading what is missing over all
// peers. A peer is asked for what it lends already plus twice an even part of the rest, so
// that the loan grows within a few rounds where only one peer has share to lend. Without a
// minimum increase, the loans for a burst of one request would approach one without ever
// reaching it.
func (x *account) amountToAsk(c *borrowedQuota, peers, base Units, now time.Duration) Units {
	need := max(x.demand.Want, x.demand.InUse) - max(base-x.lentRate(now), 0)
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
	return held + min(missing, max(2*missing/peers, minLoanIncrease))
}

// HandleAsk answers the ask of another entry.
func (l *Ledger) HandleAsk(ask Ask, now time.Duration) Answer {
	ok, restarted := l.members.recordMessage(ask.From, ask.Incarnation, ask.Counted, now)
	if restarted {
		l.handleRestart(ask.From)
	}
	answer := Answer{From: l.members.self, Incarnation: l.members.incarnation}
	if ok {
		for _, w := range ask.Wants {
			units := l.lend(&ask, w, now)
			answer.Loans = append(answer.Loans, Loan{Account: w.Account, Units: units})
		}
		answer.Confirmed = l.withinBase(now)
	}
	answer.Counted = l.members.countedVMs()
	answer.Based = l.members.hasBase && !l.members.provisional
	return answer
}

// handleRestart records that a VM runs in a new incarnation.
//
// Loans from it end, since the new incarnation does not know of them and would use or
// lend the same share. Loans to it expire as usual, but its requests in flight have ended
// with the old incarnation.
func (l *Ledger) handleRestart(vm string) {
	for _, x := range l.accounts {
		if c := x.borrowed[vm]; c != nil {
			c.units = 0
		}
		if q := x.lent[vm]; q != nil {
			q.open, q.needs, q.seq = nil, 0, 0
		}
	}
}

// withinBase reports whether everything that this entry uses and has lent is within its
// share, given the VMs that it counts now.
func (l *Ledger) withinBase(now time.Duration) bool {
	base := l.members.base(now)
	for _, x := range l.accounts {
		if x.lentRate(now) > base || x.lentConcurrency(now) > base || x.demand.InUse > l.ownConcurrency(x, now)+x.borrowedNow(now) {
			return false
		}
	}
	return true
}

// lend decides on a loan and records it before it is sent. It lends nothing for an ask
// that is not newer than the last one received.
func (l *Ledger) lend(ask *Ask, w Want, now time.Duration) Units {
	x := l.account(w.Account)
	q := x.lent[ask.From]
	if q == nil {
		q = &lentQuota{}
		x.lent[ask.From] = q
	}
	if ask.Seq <= q.seq {
		return 0
	}
	q.seq, q.lastWanted, q.lastAsked = ask.Seq, w.Units, now
	q.closeOlderThan(ask.Echo, w.Needs, now)
	units := max(min(w.Units, l.lendable(x, ask.From, now)), 0)
	until := now + LeaseDuration + driftMargin
	if units > 0 {
		q.grants = append(q.grants, grant{seq: ask.Seq, units: units, until: until})
		q.occupiedUntil = until + x.demand.MaxDuration
	}
	q.open = append(q.open, grant{seq: ask.Seq, units: units})
	x.expire(now)
	return units
}

// closeOlderThan closes the loans before the one that the borrower echoed.
//
// Failure: an ask is delayed. What it says about requests in flight was true when it was
// sent; since then the borrower may have admitted more on the loan that it held, or on one
// that was on its way. So the echoed loan and all later ones stay open.
func (q *lentQuota) closeOlderThan(echo uint64, needs Units, now time.Duration) {
	q.needs = min(needs, q.concurrency(now))
	q.open = slices.DeleteFunc(q.open, func(g grant) bool { return g.seq < echo })
}

// lendable returns what may be lent to one borrower: what the entry does not need itself,
// divided among the borrowers in proportion to what they ask for.
func (l *Ledger) lendable(x *account, to string, now time.Duration) Units {
	base := l.members.base(now)
	own := max(x.demand.Want, x.demand.InUse, x.demand.Reserve)
	forRate, forConcurrency := base-own, l.concurrencyBase(x, now)-own
	var wanted Units
	for vm, q := range x.lent {
		if now-q.lastAsked < LeaseDuration {
			wanted += q.lastWanted
		}
		if vm == to {
			continue
		}
		forRate -= q.rate(now)
		forConcurrency -= q.concurrency(now)
	}
	if wanted == 0 {
		return 0
	}
	part := float64(base-own) * float64(x.lent[to].lastWanted) / float64(wanted)
	return min(forRate, forConcurrency, Units(part))
}

// HandleAnswer applies the answer to an ask that was sent at the time asked. Answers to
// asks that are not newer than the last one answered are ignored.
func (l *Ledger) HandleAnswer(ask Ask, answer Answer, asked, now time.Duration) {
	ok, restarted := l.members.recordMessage(answer.From, answer.Incarnation, answer.Counted, now)
	if !ok {
		return
	}
	c := l.members.counted[answer.From]
	if restarted {
		l.handleRestart(answer.From)
	}
	if ask.Seq <= c.lastAnswered {
		return
	}
	c.lastAnswered = ask.Seq
	c.answered, c.hasBase = true, answer.Based
	if answer.Confirmed {
		c.confirmedBy = answer.Incarnation
	}
	l.replaceBorrowed(&ask, &answer, asked+LeaseDuration)
}

// replaceBorrowed replaces the lender's earlier loans by those of an answer. An empty
// borrowedQuota is kept until the lender has been notified that no request in flight
// depends on it.
func (l *Ledger) replaceBorrowed(ask *Ask, answer *Answer, until time.Duration) {
	for _, x := range l.accounts {
		c := x.borrowed[answer.From]
		switch {
		case c == nil:
		case c.closingSeq == ask.Seq:
			delete(x.borrowed, answer.From)
		default:
			c.units = 0
		}
	}
	for _, loan := range answer.Loans {
		if loan.Units > 0 {
			l.account(loan.Account).borrowed[answer.From] = &borrowedQuota{units: loan.Units, until: until}
		}
	}
}
