// Package quarantine stops requests that crash the targets that run them.
//
// Load pattern and failure: one request crashes each target that runs it, and its caller or a
// retry sends it again, through several entries at once. Without the quarantine, one such
// request takes down a whole pool, and all requests that run beside it are lost each time.
//
// A request is identified by its fingerprint, a hash of its content. A fingerprint is unproven
// until a request with it was answered, and at most one request with an unproven fingerprint is
// in flight: identical requests wait for the first, a delay too short to matter even for a hot
// key. When a target dies, all requests that it ran become suspects. A suspect runs alone on
// its target, one suspect at a time per pool, and only with a permit that every reachable
// dispatcher has granted. If a target dies again while running it, the fingerprint is
// quarantined at all dispatchers for Lifetime; otherwise it is cleared.
//
// A fingerprint therefore kills at most two targets: one before it is a suspect and one as a
// suspect. This bound holds for fingerprints that were never answered, and while the
// dispatchers reach each other. While the views of the members differ and n dispatchers hold
// the queue of a pool, it holds for requests that are sent again after their answer, since the
// answer waits for the notices to the other dispatchers. Copies sent at the same moment may
// have a first run at each dispatcher, beside other requests, and one more run as a suspect,
// which makes n + 1. A dispatcher then cannot know either whether a request ran alone on a
// target that another dispatcher uses too, so a harmless request may be quarantined. A request
// that was answered before and crashes targets later takes down all targets that run it at
// that moment.
package quarantine

import (
	"slices"
	"time"
)

// Durations and limits.
const (
	// Lifetime is how long a quarantine lasts. A caller that repeats a request automatically
	// does so for hours, and a fix of the target takes about as long.
	Lifetime = 4 * time.Hour
	// suspectTTL is how long a suspect is remembered if no such request arrives again.
	suspectTTL = time.Hour
	// maxCases limits the number of suspects and quarantines; the oldest suspect is evicted
	// first.
	maxCases = 4096
	// maxProven limits the number of proven fingerprints. When it is reached, half of them are
	// dropped and become unproven again.
	maxProven = 1 << 17
	// permitTimeout is how long a permit may be requested or held without a run. It covers the
	// round of calls to the other dispatchers and the wait for a reserved target.
	permitTimeout = reservationTimeout + time.Second
	// reservationTimeout limits how long a target is reserved for a waiting suspect.
	reservationTimeout = 2 * time.Second
	// heldPermitTimeout is how long a held permit may stay unused before another dispatcher
	// that requests it gets it. It is far longer than most requests run.
	heldPermitTimeout = 100 * time.Millisecond
)

// Fingerprint is a hash of a request's content.
type Fingerprint uint64

// Verdict is the decision on a request that is about to be sent.
type Verdict int

const (
	// Run means that the request may be sent now.
	Run Verdict = iota
	// Hold means that the request must wait; the caller asks again later.
	Hold
	// NeedsPermit means that the request must wait and that the caller must request a permit
	// from the other dispatchers.
	NeedsPermit
	// Refuse means that the request is quarantined.
	Refuse
)

// Tracker tracks the requests in flight at one dispatcher and the known cases. It is not safe
// for concurrent use.
type Tracker struct {
	vm      string
	cases   map[Fingerprint]*caseState
	proven  map[Fingerprint]struct{}
	running map[Fingerprint]int
	targets map[string]*targetState
	// runningSuspect holds the suspect in flight in each pool.
	runningSuspect map[string]Fingerprint
}

// New returns a tracker without cases.
func New(vm string) *Tracker {
	return &Tracker{
		vm: vm, cases: make(map[Fingerprint]*caseState), proven: make(map[Fingerprint]struct{}),
		running: make(map[Fingerprint]int), targets: make(map[string]*targetState), runningSuspect: make(map[string]Fingerprint),
	}
}

// Admit decides whether a request may be sent to a target with a free slot.
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

// Started records that an admitted request was sent.
func (t *Tracker) Started(fp Fingerprint, pool, target string, now time.Duration) {
	t.running[fp]++
	ts := t.targetState(pool, target)
	ts.running++
	if cs := t.current(fp, now); cs != nil && cs.Suspect() {
		t.runningSuspect[pool] = fp
		ts.suspect, ts.reservedAt, ts.alone = fp, now, true
	}
}

// Finished records that an attempt ended and the target is still up. answered is false if the
// end says nothing about the request, for example if it was shed or abandoned. If a suspect was
// cleared, Finished returns its case, to be reported to the other dispatchers, and else nil.
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

// removeRun removes a request from those in flight and ends the reservation of its target.
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

// Died records that a target died while it ran the given requests. If one of them was a
// suspect, it ran alone and the death proves its fault; otherwise all of them become suspects.
// Died returns the cases to be reported to the other dispatchers.
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
