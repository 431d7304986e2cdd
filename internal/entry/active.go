package entry

import (
	"time"

	"hemlockquay/internal/decide/shares"
	"hemlockquay/internal/view"
)

// Most contracts in force receive no request at an entry for hours, and their share remains
// the entry's base. Only the other accounts, the active ones, are refreshed for each message
// between entries.
//
// Invariant: an inactive account has lent and borrowed nothing, and its gate has been updated
// since the account was last active and since the last change of the base. So the gate needs
// no update until a request arrives, a loan is asked for or received, or the base changes.
//
// Failure that this guards against: a share is lowered and raised again, and the gate is not
// updated in between. The gate then counts tokens at the old rate for the time in which another
// entry held that share, and together the two admit too much.

// activate adds an account to those that are refreshed for each message.
func (a *admitter) activate(account shares.Account, l *accountLimiter) { a.active[account] = l }

// activateKnown activates and refreshes an account that another entry asks or lends for, if it
// has a limiter. It must run before the ledger changes: the ledger may have forgotten the
// account, and with it the maximum duration of its requests.
func (a *admitter) activateKnown(account shares.Account, now time.Duration) {
	if l := a.accounts[account]; l != nil && a.active[account] == nil {
		a.activate(account, l)
		a.refresh(account, l, now)
	}
}

// refreshActive refreshes all active accounts, and the others too if the base has changed.
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

// refreshAny refreshes an account that may be inactive. The ledger keeps active accounts only.
func (a *admitter) refreshAny(account shares.Account, l *accountLimiter, now time.Duration) {
	a.refresh(account, l, now)
	if a.active[account] == nil {
		a.ledger.Forget(account)
	}
}

// deactivateIdle deactivates accounts that are not in use and have no loans. The caller must
// have refreshed them just before.
func (a *admitter) deactivateIdle(now time.Duration) {
	for account, l := range a.active {
		if !l.inUse(now) && !a.ledger.HasLoans(account) {
			delete(a.active, account)
			a.ledger.Forget(account)
		}
	}
}

// inUse reports whether the account's demand may still change without another request.
func (l *accountLimiter) inUse(now time.Duration) bool {
	return l.offered > 0 || l.demandPerSecond > 0 || l.gate.InFlight() > 0 || l.lastRefusal != 0 || l.lastRequest != 0 && now-l.lastRequest < reserveDuration
}

// updateAccounts keeps a limiter for each account of the contracts in force. It runs once for
// each revision of the configuration. Token buckets start empty: one created for a
// customer's first request would refuse this request.
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
			// Kept until its requests in flight have ended: the next call checks the accounts again.
			a.revision = 0
		}
	}
}
