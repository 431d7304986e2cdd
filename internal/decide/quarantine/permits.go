package quarantine

import "time"

// file is a case with what this dispatcher does about it.
type permitFile struct {
	Case
	changed time.Duration
	permit  permit
	asked   time.Duration
}

type permit int

const (
	permitNone permit = iota
	permitAsked
	permitHeld
)

// load is what this dispatcher runs on a target.
type targetRuns struct {
	running int
	// suspect runs alone here, or waits for the target to be free.
	suspect  Fingerprint
	reserved time.Duration
	alone    bool
}

// admitSuspect keeps the target free of others until the suspect runs there, or
// until the reservation is over.
func (t *Tracker) admitSuspect(f *permitFile, l *targetRuns, pool string, now time.Duration) Verdict {
	if other, busy := t.suspects[pool]; busy && other != f.Fingerprint || t.running[f.Fingerprint] > 0 {
		return Hold
	}
	switch {
	case f.permit == permitNone:
		f.permit, f.asked = permitAsked, now
		return NeedsPermit
	case f.permit == permitAsked:
		return Hold
	case l.suspect != f.Fingerprint && t.kept(l, now):
		return Hold
	}
	if l.running > 0 {
		if l.suspect != f.Fingerprint {
			l.suspect, l.reserved = f.Fingerprint, now
		}
		return Hold
	}
	return Run
}

// kept reports whether a target is kept for a suspect: while it waits there, for a
// bounded time, and while it runs. Would others join it, a death would name no
// culprit.
func (t *Tracker) kept(l *targetRuns, now time.Duration) bool {
	return l.suspect != 0 && (l.alone || now-l.reserved < reservation)
}

// giveBack ends a permit whose run ended without an answer.
// Another dispatcher gets the permit at once instead of when the unused one expires.
func (t *Tracker) giveBack(fp Fingerprint) {
	if f := t.cases[fp]; f != nil && t.running[fp] == 0 {
		f.permit = permitNone
	}
}

// MayPermit answers another dispatcher that asks to run a suspect: not while it
// or another suspect of the pool runs here, nor while this one has or asks for the
// permit and comes first. The asker's case must have been merged before, and it
// merges ours from the reply, so that a quarantine need not be looked at here: the
// asker refuses the request itself.
func (t *Tracker) MayPermit(fp Fingerprint, pool, asker string, now time.Duration) bool {
	f := t.current(fp, now)
	_, busy := t.suspects[pool]
	switch {
	case busy || t.running[fp] > 0:
		return false
	case f == nil || f.permit == permitNone:
		return true
	case f.permit == permitHeld && now-f.asked > unusedPermit:
		f.permit = permitNone
		return true
	case f.permit == permitAsked && asker < t.vm:
		f.permit = permitNone
		return true
	}
	return false
}

// PermitDecided is the outcome of asking all others; asked is when Admit wanted it.
// Only the round of the ask that stands counts: the permits of an earlier one may be obsolete.
func (t *Tracker) PermitDecided(fp Fingerprint, asked time.Duration, granted bool, now time.Duration) {
	f := t.current(fp, now)
	if f == nil || f.permit != permitAsked || f.asked != asked {
		return
	}
	f.permit = permitNone
	if granted {
		f.permit, f.asked = permitHeld, now
	}
}
