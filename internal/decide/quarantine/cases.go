package quarantine

import (
	"slices"
	"time"
)

// Notice merges a case that another dispatcher reports.
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
func (w *Watch) current(fp Fingerprint, now time.Duration) *permitFile {
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

func (w *Watch) open(fp Fingerprint, now time.Duration) *permitFile {
	if f := w.current(fp, now); f != nil {
		return f
	}
	if len(w.cases) >= maxCases {
		w.dropOldest()
	}
	f := &permitFile{Case: Case{Fingerprint: fp}, changed: now}
	w.cases[fp] = f
	return f
}

// dropOldest forgets the oldest suspect, or the oldest case of all.
func (w *Watch) dropOldest() {
	var victim *permitFile
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

func (w *Watch) load(pool, target string) *targetRuns {
	name := pool + "/" + target
	l := w.targets[name]
	if l == nil {
		l = &targetRuns{}
		w.targets[name] = l
	}
	return l
}
