package quarantine

import (
	"slices"
	"time"
)

// MergeCase merges a case that another dispatcher reports.
func (t *Tracker) MergeCase(c Case, now time.Duration) {
	f := t.open(c.Fingerprint, now)
	f.Deaths = union(f.Deaths, c.Deaths)
	f.Cleared = union(f.Cleared, c.Cleared)
	f.changed = max(f.changed, now-c.Age)
	if f.Suspect() {
		delete(t.proven, c.Fingerprint)
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
func (t *Tracker) Case(fp Fingerprint, now time.Duration) Case {
	f := t.current(fp, now)
	if f == nil {
		return Case{Fingerprint: fp}
	}
	c := f.Case
	c.Age = now - f.changed
	return c
}

// Cases returns all cases in force, for a dispatcher that has just started.
func (t *Tracker) Cases(now time.Duration) []Case {
	var out []Case
	for fp := range t.cases {
		if t.current(fp, now) != nil {
			out = append(out, t.Case(fp, now))
		}
	}
	return out
}

// current returns the case of a fingerprint, nil once it is over. A permit that
// nobody used is given back.
func (t *Tracker) current(fp Fingerprint, now time.Duration) *permitFile {
	f := t.cases[fp]
	if f == nil {
		return nil
	}
	life := suspicion
	if f.Quarantined() {
		life = Lifetime
	}
	if now-f.changed > life {
		delete(t.cases, fp)
		return nil
	}
	if f.permit != permitNone && t.running[fp] == 0 && now-f.asked > permitLife {
		f.permit = permitNone
	}
	return f
}

func (t *Tracker) open(fp Fingerprint, now time.Duration) *permitFile {
	if f := t.current(fp, now); f != nil {
		return f
	}
	if len(t.cases) >= maxCases {
		t.dropOldest()
	}
	f := &permitFile{Case: Case{Fingerprint: fp}, changed: now}
	t.cases[fp] = f
	return f
}

// dropOldest forgets the oldest suspect, or the oldest case of all.
func (t *Tracker) dropOldest() {
	var victim *permitFile
	for _, f := range t.cases {
		quarantined := f.Quarantined()
		switch {
		case victim == nil, !quarantined && victim.Quarantined():
			victim = f
		case quarantined == victim.Quarantined() && f.changed < victim.changed:
			victim = f
		}
	}
	delete(t.cases, victim.Fingerprint)
}

func (t *Tracker) isProven(fp Fingerprint) bool {
	_, ok := t.proven[fp]
	return ok
}

func (t *Tracker) prove(fp Fingerprint) {
	if len(t.proven) >= maxProven {
		n := 0
		for old := range t.proven {
			if n++; n > maxProven/2 {
				break
			}
			delete(t.proven, old)
		}
	}
	t.proven[fp] = struct{}{}
}

func (t *Tracker) load(pool, target string) *targetRuns {
	name := pool + "/" + target
	l := t.targets[name]
	if l == nil {
		l = &targetRuns{}
		t.targets[name] = l
	}
	return l
}
