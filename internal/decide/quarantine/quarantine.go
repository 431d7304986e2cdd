// Package quarantine stops requests that crash the targets that run them.
//
// Load pattern and failure: one request kills each target that runs it, and its
// caller, or a retry, sends it again, through several entries at once. Without
// the tracker one request takes down a whole pool, and every request that ran
// beside it is lost with it, again and again.
//
// A request is known by its fingerprint. Until a fingerprint was once answered it
// is unproven, and one such request at most is in flight: identical requests that
// come at once wait for the first, which costs nothing that a hot key would
// notice. When a target dies, all that it ran is suspect. A suspect runs alone on
// its target, one at a time in a pool, and only with a permit, which every
// dispatcher that is reached must agree to. If a target dies under it again it is
// quarantined, everywhere, for Lifetime; if not, it is cleared.
//
// So a fingerprint kills one target before it is suspect and one as a suspect: two.
// The bound is for fingerprints that were never answered and for dispatchers that
// reach each other. While members views differ and n dispatchers hold a queue, it
// holds for requests that are sent again after their answer, which waits for the
// notices. Copies sent at one moment may have a first run at each dispatcher, beside
// others, and one more run as a suspect: n + 1. Nor can a dispatcher know then whether
// a request ran alone on a target that another sends to: an innocent one may be
// quarantined. A request that was answered before and kills later takes down the
// targets that run it just then.
package quarantine

import (
	"slices"
	"time"
)

// Figures.
const (
	// Lifetime is how long a quarantine lasts. A caller that repeats a request
	// automatically goes on for hours; a fix of the target takes about as long.
	Lifetime = 4 * time.Hour
	// suspectTTL is how long a suspect is remembered that never comes again.
	suspectTTL = time.Hour
	// maxCases bounds suspects and quarantines; the oldest suspect goes first.
	maxCases = 4096
	// maxProven bounds the fingerprints that were answered; in excess they are
	// forgotten half at a time, which makes some unproven again.
	maxProven = 1 << 17
	// permitTimeout bounds a permit that was asked for and not used: a round of
	// questions, and the wait for a target that is kept free.
	permitTimeout = reservationTimeout + time.Second
	// reservationTimeout bounds how long a target is kept free for a suspect.
	reservationTimeout = 2 * time.Second
	// heldPermitTimeout is how long a permit may wait for its target before another
	// dispatcher that asks gets it: far longer than most requests run.
	heldPermitTimeout = 100 * time.Millisecond
)

// Fingerprint names a request's content.
type Fingerprint uint64

// Verdict is the word on a request that is about to be sent.
type Verdict int

// The verdicts.
const (
	// Run it now.
	Run Verdict = iota
	// Hold it; ask again later.
	Hold
	// NeedsPermit holds a suspect for which no permit was asked yet.
	NeedsPermit
	// Refuse it: it is quarantined.
	Refuse
)

// Tracker is one dispatcher's part. It belongs to one goroutine at a time.
type Tracker struct {
	vm      string
	cases   map[Fingerprint]*caseState
	proven  map[Fingerprint]struct{}
	running map[Fingerprint]int
	targets map[string]*targetState
	// runningSuspect holds the suspects in flight, by pool.
	runningSuspect map[string]Fingerprint
}

// New returns a tracker that suspects nothing.
func New(vm string) *Tracker {
	return &Tracker{
		vm: vm, cases: make(map[Fingerprint]*caseState), proven: make(map[Fingerprint]struct{}),
		running: make(map[Fingerprint]int), targets: make(map[string]*targetState), runningSuspect: make(map[string]Fingerprint),
	}
}

// Admit decides on a request for a free slot of the target.
func (t *Tracker) Admit(fp Fingerprint, pool, target string, now time.Duration) Verdict {
	ts := t.targetState(pool, target)
	cs := t.current(fp, now)
	switch {
	case cs != nil && cs.Quarantined():
		return Refuse
	case cs != nil && cs.Suspect():
		return t.admitSuspect(cs, ts, pool, now)
	case t.isReserved(ts, now):
		return Hold
	case !t.isProven(fp) && t.running[fp] > 0:
		return Hold
	}
	return Run
}

// Started says that an admitted request is in flight.
func (t *Tracker) Started(fp Fingerprint, pool, target string, now time.Duration) {
	t.running[fp]++
	ts := t.targetState(pool, target)
	ts.running++
	if cs := t.current(fp, now); cs != nil && cs.Suspect() {
		t.runningSuspect[pool] = fp
		ts.suspect, ts.reservedAt, ts.alone = fp, now, true
	}
}

// Finished says that an attempt ended and the target lives. answered is false
// where the end says nothing of the request, as when it was shed or given up. It
// returns the case to report to others, or nil.
func (t *Tracker) Finished(fp Fingerprint, pool, target string, answered bool, now time.Duration) *Case {
	t.removeRun(fp, pool, target)
	if !answered {
		t.releasePermit(fp)
		return nil
	}
	t.markProven(fp)
	cs := t.current(fp, now)
	if cs == nil || !cs.Suspect() || cs.permit != permitHeld {
		return nil
	}
	for _, d := range cs.Deaths {
		cs.Cleared = union(cs.Cleared, []string{d.Name})
	}
	cs.changed, cs.permit = now, permitNone
	c := cs.Case
	return &c
}

func (t *Tracker) removeRun(fp Fingerprint, pool, target string) {
	if t.running[fp]--; t.running[fp] <= 0 {
		delete(t.running, fp)
	}
	ts := t.targetState(pool, target)
	ts.running = max(ts.running-1, 0)
	if ts.suspect == fp {
		ts.suspect, ts.alone = 0, false
	}
	if t.runningSuspect[pool] == fp {
		delete(t.runningSuspect, pool)
	}
}

// Died says that a target ended with these requests running. The death counts
// against a suspect that ran there, which was alone, and else against all. It
// returns the cases to report to others.
func (t *Tracker) Died(running []Fingerprint, pool, target string, now time.Duration) []Case {
	d := Death{Name: t.vm + "/" + target + "/" + now.String(), Alone: len(running) == 1}
	if ts := t.targetState(pool, target); ts.alone && slices.Contains(running, ts.suspect) {
		d.Proof = true
	}
	var out []Case
	for _, fp := range slices.Compact(slices.Sorted(slices.Values(running))) {
		cs := t.openCase(fp, now)
		cs.Deaths = union(cs.Deaths, []Death{d})
		cs.changed, cs.permit = now, permitNone
		delete(t.proven, fp)
		out = append(out, cs.Case)
	}
	for _, fp := range running {
		t.removeRun(fp, pool, target)
	}
	return out
}
