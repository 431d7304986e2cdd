package entry

import (
	"time"

	"hemlockquay/internal/decide/shares"
	"hemlockquay/internal/view"
)

// Most of the contracts in force see no request at an entry for hours, and their
// shares stay what they are: the entry's base. Only the others are looked at in each
// message between entries.
//
// Invariant: an account that is not active has lent and borrowed nothing, and its
// gate received its share after it was last active and after each change of the
// base since. So it needs no word until a request, a loan or a new base comes.
//
// Failure that this guards against: a share is lowered and raised again, while its
// gate knows of the first one only. The gate counts tokens at the old rate for the
// time in which another entry had that share, and both admit too much.

// activate has the account looked at from now on.
func (a *admitter) activate(account shares.Account, l *accountLimiter) { a.active[account] = l }

// activateKnown activates accounts that another entry asks or lends for. They must
// have been refreshed before the book changes: the book may have forgotten them, and
// with them how long their requests take.
func (a *admitter) activateKnown(account shares.Account, now time.Duration) {
	if l := a.accounts[account]; l != nil && a.active[account] == nil {
		a.activate(account, l)
		a.refresh(account, l, now)
	}
}

// refreshActive refreshes all active accounts, and the others if the base changed.
func (a *admitter) refreshActive(now time.Duration) {
	for account, l := range a.active {
		a.refresh(account, l, now)
	}
	if base := a.ledger.Base(now); base != a.base {
		a.base = base
		for account, l := range a.accounts {
			a.refreshAny(account, l, now)
		}
	}
}

// refreshAny refreshes an account that may not be active.
func (a *admitter) refreshAny(account shares.Account, l *accountLimiter, now time.Duration) {
	a.refresh(account, l, now)
	if a.active[account] == nil {
		a.ledger.Forget(account)
	}
}

// deactivateIdle lets accounts without use or loans be. They were refreshed just before.
func (a *admitter) deactivateIdle(now time.Duration) {
	for account, l := range a.active {
		if !l.inUse(now) && !a.ledger.HasLoans(account) {
			delete(a.active, account)
			a.ledger.Forget(account)
		}
	}
}

// inUse reports whether the ledger's use of its share may change by itself.
func (l *accountLimiter) inUse(now time.Duration) bool {
	return l.offered > 0 || l.demandPerSecond > 0 || l.gate.InFlight() > 0 || l.lastRefusal != 0 || l.lastRequest != 0 && now-l.lastRequest < reserveDuration
}

// updateAccounts keeps a ledger for each account of the contracts in force, once for each
// revision. Buckets start empty: one that began with a customer's first request
// would refuse it.
func (a *admitter) updateAccounts(v *view.View, now time.Duration) {
	if v.Revision != 0 && v.Revision == a.revision {
		return
	}
	a.revision = v.Revision
	known := make(map[shares.Account]bool)
	for _, c := range v.Contracts() {
		for _, allowance := range c.Services {
			s := v.Service(allowance.Service)
			if s == nil {
				continue
			}
			account := shares.Account{Customer: c.Customer, Service: s.Name}
			known[account] = true
			l := a.limiterFor(account, now)
			a.setLimits(l, s, allowance)
			a.refreshAny(account, l, now)
		}
	}
	for account, l := range a.accounts {
		switch {
		case known[account]:
		case l.gate.InFlight() == 0:
			delete(a.accounts, account)
			delete(a.active, account)
		default:
			// Its requests end first; it is looked for again.
			a.revision = 0
		}
	}
}
