package quarantine

import (
	"slices"
	"time"
)

// MergeCase merges a case reported by another dispatcher.
func (t *Tracker) MergeCase(c Case, now time.Duration) {
	cs := t.openCase(c.Fingerprint, now)
	cs.Deaths = union(cs.Deaths, c.Deaths)
	cs.Cleared = union(cs.Cleared, c.Cleared)
	cs.changed = max(cs.changed, now-c.Age)
	if cs.Suspect() {
		delete(t.proven, c.Fingerprint)
		return
	}
	// A permit granted for deaths that are now cleared is not valid for the next death.
	cs.permit = permitNone
}

// union appends to a the elements of b that it lacks.
func union[T comparable](a, b []T) []T {
	for _, s := range b {
		if !slices.Contains(a, s) {
			a = append(a, s)
		}
	}
	return a
}

// Case returns the case of a fingerprint, which is empty if none is known.
func (t *Tracker) Case(fp Fingerprint, now time.Duration) Case {
	cs := t.current(fp, now)
	if cs == nil {
		return Case{Fingerprint: fp}
	}
	c := cs.Case
	c.Age = now - cs.changed
	return c
}

// Cases returns all current cases, for a dispatcher that has just started.
func (t *Tracker) Cases(now time.Duration) []Case {
	var out []Case
	for fp := range t.cases {
		if t.current(fp, now) != nil {
			out = append(out, t.Case(fp, now))
		}
	}
	return out
}

// current returns the case of a fingerprint, or nil if there is none or it has expired. It
// releases a permit that was not used within permitTimeout.
func (t *Tracker) current(fp Fingerprint, now time.Duration) *caseState {
	cs := t.cases[fp]
	if cs == nil {
		return nil
	}
	ttl := suspectTTL
	if cs.Quarantined() {
		ttl = Lifetime
	}
	if now-cs.changed > ttl {
		delete(t.cases, fp)
		return nil
	}
	if cs.permit != permitNone && t.running[fp] == 0 && now-cs.permitSince > permitTimeout {
		cs.permit = permitNone
	}
	return cs
}

// openCase returns the case of a fingerprint and creates it if there is none.
func (t *Tracker) openCase(fp Fingerprint, now time.Duration) *caseState {
	if cs := t.current(fp, now); cs != nil {
		return cs
	}
	if len(t.cases) >= maxCases {
		t.dropOldest()
	}
	cs := &caseState{Case: Case{Fingerprint: fp}, changed: now}
	t.cases[fp] = cs
	return cs
}

// dropOldest evicts the oldest suspect or, if all cases are quarantined, the oldest case.
func (t *Tracker) dropOldest() {
	var oldest *caseState
	for _, cs := range t.cases {
		quarantined := cs.Quarantined()
		switch {
		case oldest == nil, !quarantined && oldest.Quarantined():
			oldest = cs
		case quarantined == oldest.Quarantined() && cs.changed < oldest.changed:
			oldest = cs
		}
	}
	delete(t.cases, oldest.Fingerprint)
}

func (t *Tracker) isProven(fp Fingerprint) bool {
	_, ok := t.proven[fp]
	return ok
}

// markProven records that a fingerprint was answered, and first drops half of the proven
// fingerprints if there are maxProven.
func (t *Tracker) markProven(fp Fingerprint) {
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

// targetState returns the state of a target and creates it if there is none.
func (t *Tracker) targetState(pool, target string) *targetState {
	name := pool + "/" + target
	ts := t.targets[name]
	if ts == nil {
		ts = &targetState{}
		t.targets[name] = ts
	}
	return ts
}
