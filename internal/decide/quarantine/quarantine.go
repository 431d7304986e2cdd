// Package quarantine stops requests that crash the targets that run them.
//
// Load pattern and failure: one request kills each target that runs it, and its
// caller, or a retry, sends it again, through several entries at once. Without
// the watch one request takes down a whole pool, and every request that ran
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

// Watch is one dispatcher's part. It belongs to one goroutine at a time.
type Watch struct {
	vm      string
	cases   map[Fingerprint]*file
	proven  map[Fingerprint]struct{}
	running map[Fingerprint]int
	targets map[string]*load
	// suspects counts suspects in flight, by pool.
	suspects map[string]Fingerprint
}

// file is a case with what this dispatcher does about it.
type file struct {
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
type load struct {
	running int
	// suspect runs alone here, or waits for the target to be free.
	suspect  Fingerprint
	reserved time.Duration
	alone    bool
}

// New returns a watch that suspects nothing.
func New(vm string) *Watch {
	return &Watch{
		vm: vm, cases: make(map[Fingerprint]*file), proven: make(map[Fingerprint]struct{}),
		running: make(map[Fingerprint]int), targets: make(map[string]*load), suspects: make(map[string]Fingerprint),
	}
}

// Admit decides on a request for a free slot of the target.
func (w *Watch) Admit(fp Fingerprint, pool, target string, now time.Duration) Verdict {
	l := w.load(pool, target)
	f := w.current(fp, now)
	switch {
	case f != nil && f.Quarantined():
		return Refuse
	case f != nil && f.Suspect():
		return w.admitSuspect(f, l, pool, now)
	case w.kept(l, now):
		return Hold
	case !w.isProven(fp) && w.running[fp] > 0:
		return Hold
	}
	return Run
}

// admitSuspect keeps the target free of others until the suspect runs there, or
// until the reservation is over.
func (w *Watch) admitSuspect(f *file, l *load, pool string, now time.Duration) Verdict {
	if other, busy := w.suspects[pool]; busy && other != f.Fingerprint || w.running[f.Fingerprint] > 0 {
		return Hold
	}
	switch {
	case f.permit == permitNone:
		f.permit, f.asked = permitAsked, now
		return NeedsPermit
	case f.permit == permitAsked:
		return Hold
	case l.suspect != f.Fingerprint && w.kept(l, now):
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

// kept tells whether a target is kept for a suspect: while it waits there, for a
// bounded time, and while it runs. Would others join it, a death would name no
// culprit.
func (w *Watch) kept(l *load, now time.Duration) bool {
	return l.suspect != 0 && (l.alone || now-l.reserved < reservation)
}

// Started says that an admitted request is on its way.
func (w *Watch) Started(fp Fingerprint, pool, target string, now time.Duration) {
	w.running[fp]++
	l := w.load(pool, target)
	l.running++
	if f := w.current(fp, now); f != nil && f.Suspect() {
		w.suspects[pool] = fp
		l.suspect, l.reserved, l.alone = fp, now, true
	}
}

// Finished says that an attempt ended and the target lives. answered is false
// where the end says nothing of the request, as when it was shed or given up. It
// returns the case to tell others of, or nil.
func (w *Watch) Finished(fp Fingerprint, pool, target string, answered bool, now time.Duration) *Case {
	w.ended(fp, pool, target)
	if !answered {
		w.giveBack(fp)
		return nil
	}
	w.prove(fp)
	f := w.current(fp, now)
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

// giveBack ends a permit whose run ended without an answer.
//
// Failure: a suspect's target dies, and the repeat with a permit reaches nobody.
// Its key moves to another dispatcher, which was refused the permit until the
// unused one ran out; callers of that key waited for 3 s.
func (w *Watch) giveBack(fp Fingerprint) {
	if f := w.cases[fp]; f != nil && w.running[fp] == 0 {
		f.permit = permitNone
	}
}

func (w *Watch) ended(fp Fingerprint, pool, target string) {
	if w.running[fp]--; w.running[fp] <= 0 {
		delete(w.running, fp)
	}
	l := w.load(pool, target)
	l.running = max(l.running-1, 0)
	if l.suspect == fp {
		l.suspect, l.alone = 0, false
	}
	if w.suspects[pool] == fp {
		delete(w.suspects, pool)
	}
}

// Died says that a target ended with these requests running. The death counts
// against a suspect that ran there, which was alone, and else against all. It
// returns the cases to tell others of.
func (w *Watch) Died(running []Fingerprint, pool, target string, now time.Duration) []Case {
	d := Death{Name: w.vm + "/" + target + "/" + now.String(), Alone: len(running) == 1}
	if l := w.load(pool, target); l.alone && slices.Contains(running, l.suspect) {
		d.Proof = true
	}
	var out []Case
	for _, fp := range slices.Compact(slices.Sorted(slices.Values(running))) {
		f := w.open(fp, now)
		f.Deaths = union(f.Deaths, []Death{d})
		f.changed, f.permit = now, permitNone
		delete(w.proven, fp)
		out = append(out, f.Case)
	}
	for _, fp := range running {
		w.ended(fp, pool, target)
	}
	return out
}

// Notice merges a case that another dispatcher tells of.
func (w *Watch) Notice(c Case, now time.Duration) {
	f := w.open(c.Fingerprint, now)
	f.Deaths = union(f.Deaths, c.Deaths)
	f.Cleared = union(f.Cleared, c.Cleared)
	f.changed = max(f.changed, now-c.Age)
	if f.Suspect() {
		delete(w.proven, c.Fingerprint)
		return
	}
	// A permit for deaths that are cleared is none for the next death.
	f.permit = permitNone
}

func union[T comparable](a, b []T) []T {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
}

// MayPermit answers another dispatcher that asks to run a suspect: not while it
// or another suspect of the pool runs here, nor while this one has or asks for the
// permit and comes first. The asker's case must have been merged before, and it
// merges ours from the reply, so that a quarantine need not be looked at here: the
// asker refuses the request itself.
func (w *Watch) MayPermit(fp Fingerprint, pool, asker string, now time.Duration) bool {
	f := w.current(fp, now)
	_, busy := w.suspects[pool]
	switch {
	case busy || w.running[fp] > 0:
		return false
	case f == nil || f.permit == permitNone:
		return true
	case f.permit == permitHeld && now-f.asked > unusedPermit:
		f.permit = permitNone
		return true
	case f.permit == permitAsked && asker < w.vm:
		f.permit = permitNone
		return true
	}
	return false
}

// Permit is the outcome of asking all others; asked is when Admit wanted it.
//
// Failure: a permit was given up to another dispatcher, or ran out and was asked
// for again, while the words of the first round were on their way. They were true
// before the other dispatcher asked; both would run the suspect. So only the round
// of the ask that stands counts.
func (w *Watch) Permit(fp Fingerprint, asked time.Duration, granted bool, now time.Duration) {
	f := w.current(fp, now)
	if f == nil || f.permit != permitAsked || f.asked != asked {
		return
	}
	f.permit = permitNone
	if granted {
		f.permit, f.asked = permitHeld, now
	}
}

// Case returns what is known of a fingerprint.
func (w *Watch) Case(fp Fingerprint, now time.Duration) Case {
	f := w.current(fp, now)
	if f == nil {
		return Case{Fingerprint: fp}
	}
	c := f.Case
	c.Age = now - f.changed
	return c
}

// Cases returns all cases in force, for a dispatcher that has just started.
func (w *Watch) Cases(now time.Duration) []Case {
	var out []Case
	for fp := range w.cases {
		if w.current(fp, now) != nil {
			out = append(out, w.Case(fp, now))
		}
	}
	return out
}

// current returns the case of a fingerprint, nil once it is over. A permit that
// nobody used is given back.
func (w *Watch) current(fp Fingerprint, now time.Duration) *file {
	f := w.cases[fp]
	if f == nil {
		return nil
	}
	life := suspicion
	if f.Quarantined() {
		life = Lifetime
	}
	if now-f.changed > life {
		delete(w.cases, fp)
		return nil
	}
	if f.permit != permitNone && w.running[fp] == 0 && now-f.asked > permitLife {
		f.permit = permitNone
	}
	return f
}

func (w *Watch) open(fp Fingerprint, now time.Duration) *file {
	if f := w.current(fp, now); f != nil {
		return f
	}
	if len(w.cases) >= maxCases {
		w.dropOldest()
	}
	f := &file{Case: Case{Fingerprint: fp}, changed: now}
	w.cases[fp] = f
	return f
}

// dropOldest forgets the oldest suspect, or the oldest case of all.
func (w *Watch) dropOldest() {
	var victim *file
	for _, f := range w.cases {
		quarantined := f.Quarantined()
		switch {
		case victim == nil, !quarantined && victim.Quarantined():
			victim = f
		case quarantined == victim.Quarantined() && f.changed < victim.changed:
			victim = f
		}
	}
	delete(w.cases, victim.Fingerprint)
}

func (w *Watch) isProven(fp Fingerprint) bool {
	_, ok := w.proven[fp]
	return ok
}

func (w *Watch) prove(fp Fingerprint) {
	if len(w.proven) >= maxProven {
		n := 0
		for old := range w.proven {
			if n++; n > maxProven/2 {
				break
			}
			delete(w.proven, old)
		}
	}
	w.proven[fp] = struct{}{}
}

func (w *Watch) load(pool, target string) *load {
	name := pool + "/" + target
	l := w.targets[name]
	if l == nil {
		l = &load{}
		w.targets[name] = l
	}
	return l
}
