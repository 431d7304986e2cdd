package quarantine

import "time"

// caseState is a case with this dispatcher's permit for it.
type caseState struct {
	Case
	changed time.Duration
	permit  permit
	// permitSince is when the permit was requested or, if held, granted.
	permitSince time.Duration
}

// permit is the state of a dispatcher's permit to run a suspect.
type permit int

const (
	permitNone permit = iota
	permitRequested
	permitHeld
)

// targetState describes what this dispatcher runs on a target.
type targetState struct {
	running int
	// suspect is the suspect that the target is reserved for, 0 if there is none.
	suspect    Fingerprint
	reservedAt time.Duration
	// alone reports whether the suspect is running; until then it waits for the target to be
	// free.
	alone bool
}

// admitSuspect decides on a suspect with or without a permit. If the suspect has a permit and
// the target is busy, it reserves the target, so that no other request is sent there until the
// suspect runs or the reservation times out.
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

// isReserved reports whether a target is reserved for a suspect that waits for it, up to
// reservationTimeout, or runs there. If other requests ran beside the suspect, a death of the
// target would not show which of them caused it.
func (t *Tracker) isReserved(ts *targetState, now time.Duration) bool {
	return ts.suspect != 0 && (ts.alone || now-ts.reservedAt < reservationTimeout)
}

// releasePermit releases the permit of a run that ended without an answer, so that another
// dispatcher can get it at once instead of after permitTimeout.
func (t *Tracker) releasePermit(fp Fingerprint) {
	if cs := t.cases[fp]; cs != nil && t.running[fp] == 0 {
		cs.permit = permitNone
	}
}

// MayPermit reports whether another dispatcher (the asker) may run a suspect. It may not while
// the suspect, or another one of the pool, runs here, nor while this dispatcher holds the permit
// (for heldPermitTimeout) or has requested it and has the lower name. Otherwise this dispatcher
// gives up its own permit or request. The asker's case must have been merged before, and the
// asker merges this dispatcher's case from the reply. It then refuses a quarantined request
// itself, so quarantines are not checked here.
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

// PermitDecided records whether all other dispatchers granted the permit that Admit requested
// at the time asked. The outcome of an earlier request is ignored, since permits granted in it
// may have been given to another dispatcher since.
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
