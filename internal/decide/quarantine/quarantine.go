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
	// suspicion is how long a suspect is remembered that never comes again.
	suspicion = time.Hour
	// maxCases bounds suspects and quarantines; the oldest suspect goes first.
	maxCases = 4096
	// maxProven bounds the fingerprints that were answered; in excess they are
	// forgotten half at a time, which makes some unproven again.
	maxProven = 1 << 17
	// permitLife bounds a permit that was asked for and not used: a round of
	// questions, and the wait for a target that is kept free.
	permitLife = reservation + time.Second
	// reservation bounds how long a target is kept free for a suspect.
	reservation = 2 * time.Second
	// unusedPermit is how long a permit may wait for its target before another
	// dispatcher that asks gets it: far longer than most requests run.
	unusedPermit = 100 * time.Millisecond
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
	cases   map[Fingerprint]*permitFile
	proven  map[Fingerprint]struct{}
	running map[Fingerprint]int
	targets map[string]*targetRuns
	// suspects counts suspects in flight, by pool.
	suspects map[string]Fingerprint
}

// New returns a tracker that suspects nothing.
func New(vm string) *Tracker {
	return &Tracker{
		vm: vm, cases: make(map[Fingerprint]*permitFile), proven: make(map[Fingerprint]struct{}),
		running: make(map[Fingerprint]int), targets: make(map[string]*targetRuns), suspects: make(map[string]Fingerprint),
	}
}

// Admit decides on a request for a free slot of the target.
func (t *Tracker) Admit(fp Fingerprint, pool, target string, now time.Duration) Verdict {
	l := t.load(pool, target)
	f := t.current(fp, now)
	switch {
	case f != nil && f.Quarantined():
		return Refuse
	case f != nil && f.Suspect():
		return t.admitSuspect(f, l, pool, now)
	case t.kept(l, now):
		return Hold
	case !t.isProven(fp) && t.running[fp] > 0:
		return Hold
	}
	return Run
}

// Started says that an admitted request is in flight.
func (t *Tracker) Started(fp Fingerprint, pool, target string, now time.Duration) {
	t.running[fp]++
	l := t.load(pool, target)
	l.running++
	if f := t.current(fp, now); f != nil && f.Suspect() {
		t.suspects[pool] = fp
		l.suspect, l.reserved, l.alone = fp, now, true
	}
}

// Finished says that an attempt ended and the target lives. answered is false
// where the end says nothing of the request, as when it was shed or given up. It
// returns the case to report to others, or nil.
func (t *Tracker) Finished(fp Fingerprint, pool, target string, answered bool, now time.Duration) *Case {
	t.ended(fp, pool, target)
	if !answered {
		t.giveBack(fp)
		return nil
	}
	t.prove(fp)
	f := t.current(fp, now)
	if f == nil || !f.Suspect() || f.permit != permitHeld {
		return nil
	}
	for _, d := range f.Deaths {
		f.Cleared = union(f.Cleared, []string{d.Name})
	}
	f.changed, f.permit = now, permitNone
	c := f.Case
	return &c
}

func (t *Tracker) ended(fp Fingerprint, pool, target string) {
	if t.running[fp]--; t.running[fp] <= 0 {
		delete(t.running, fp)
	}
	l := t.load(pool, target)
	l.running = max(l.running-1, 0)
	if l.suspect == fp {
		l.suspect, l.alone = 0, false
	}
	if t.suspects[pool] == fp {
		delete(t.suspects, pool)
	}
}

// Died says that a target ended with these requests running. The death counts
// against a suspect that ran there, which was alone, and else against all. It
// returns the cases to report to others.
func (t *Tracker) Died(running []Fingerprint, pool, target string, now time.Duration) []Case {
	d := Death{Name: t.vm + "/" + target + "/" + now.String(), Alone: len(running) == 1}
	if l := t.load(pool, target); l.alone && slices.Contains(running, l.suspect) {
		d.Proof = true
	}
	var out []Case
	for _, fp := range slices.Compact(slices.Sorted(slices.Values(running))) {
		f := t.open(fp, now)
		f.Deaths = union(f.Deaths, []Death{d})
		f.changed, f.permit = now, permitNone
		delete(t.proven, fp)
		out = append(out, f.Case)
	}
	for _, fp := range running {
		t.ended(fp, pool, target)
	}
	return out
}
