package quarantine

import "time"

// caseState is a case with what this dispatcher does about it.
type caseState struct {
	Case
	changed     time.Duration
	permit      permit
	permitSince time.Duration
}

type permit int

const (
	permitNone permit = iota
	permitRequested
	permitHeld
)

// targetState is what this dispatcher runs on a target.
type targetState struct {
	running int
	// suspect runs alone here, or waits for the target to be free.
	suspect    Fingerprint
	reservedAt time.Duration
	alone      bool
}

// admitSuspect keeps the target free of others until the suspect runs there, or
// until the reservation is over.
func (t *Tracker) admitSuspect(cs *caseState, ts *targetState, pool string, now time.Duration) Verdict {
	if other, busy := t.runningSuspect[pool]; busy && other != cs.Fingerprint || t.running[cs.Fingerprint] > 0 {
		return Hold
	}
	switch {
	case cs.permit == permitNone:
		cs.permit, cs.permitSince = permitRequested, now
		return NeedsPermit
	case cs.permit == permitRequested:
		return Hold
	case ts.suspect != cs.Fingerprint && t.isReserved(ts, now):
		return Hold
	}
	if ts.running > 0 {
		if ts.suspect != cs.Fingerprint {
			ts.suspect, ts.reservedAt = cs.Fingerprint, now
		}
		return Hold
	}
	return Run
}

// isReserved reports whether a target is reserved for a suspect: while it waits there, for a
// bounded time, and while it runs. Would others join it, a death would name no
// culprit.
func (t *Tracker) isReserved(ts *targetState, now time.Duration) bool {
	return ts.suspect != 0 && (ts.alone || now-ts.reservedAt < reservationTimeout)
}

// releasePermit ends a permit whose run ended without an answer.
// Another dispatcher gets the permit at once instead of when the unused one expires.
func (t *Tracker) releasePermit(fp Fingerprint) {
	if cs := t.cases[fp]; cs != nil && t.running[fp] == 0 {
		cs.permit = permitNone
	}
}

// MayPermit answers another dispatcher that asks to run a suspect: not while it
// or another suspect of the pool runs here, nor while this one has or asks for the
// permit and comes first. The asker's case must have been merged before, and it
// merges ours from the reply, so that a quarantine need not be looked at here: the
// asker refuses the request itself.
func (t *Tracker) MayPermit(fp Fingerprint, pool, asker string, now time.Duration) bool {
	cs := t.current(fp, now)
	_, busy := t.runningSuspect[pool]
	switch {
	case busy || t.running[fp] > 0:
		return false
	case cs == nil || cs.permit == permitNone:
		return true
	case cs.permit == permitHeld && now-cs.permitSince > heldPermitTimeout:
		cs.permit = permitNone
		return true
	case cs.permit == permitRequested && asker < t.vm:
		cs.permit = permitNone
		return true
	}
	return false
}

// PermitDecided is the outcome of asking all others; asked is when Admit wanted it.
// Only the round of the ask that stands counts: the permits of an earlier one may be obsolete.
func (t *Tracker) PermitDecided(fp Fingerprint, asked time.Duration, granted bool, now time.Duration) {
	cs := t.current(fp, now)
	if cs == nil || cs.permit != permitRequested || cs.permitSince != asked {
		return
	}
	cs.permit = permitNone
	if granted {
		cs.permit, cs.permitSince = permitHeld, now
	}
}
