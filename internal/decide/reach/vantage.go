package reach

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minLostTargets is the number of targets to which dials must fail, while no target answers,
	// before the VM counts as cut off; two may be lost at the same time.
	minLostTargets = 3
	// minReachedTargets is the number of targets that a cut off VM must reach before it counts as
	// connected again, so that it does not follow each change of a path that comes and goes.
	minReachedTargets = 2
	// suspectAfter is the time without an answer of a target, while requests wait there, after which the
	// path to it is suspected to be lost. suspectFactor is how many times the expected duration of a
	// request must have passed as well, since a slow target is silent, too.
	suspectAfter  = 300 * time.Millisecond
	suspectFactor = 3
	// minSuspectDelay and maxSuspectDelay bound the time after a wrong suspicion in which there is no
	// other one. It doubles with each, since every suspicion costs a connection.
	minSuspectDelay = time.Second
	maxSuspectDelay = 8 * time.Second
	// MaxSuspects is the number of targets that are suspected at a time once a suspicion was right.
	MaxSuspects = 4
)

// Vantage concludes from the evidence on all targets whether the VM itself is cut off from them.
// The zero value is a VM that is not. It is not safe for concurrent use.
type Vantage struct {
	// answeredAt is when any target last answered or accepted a connection.
	answeredAt time.Duration
	// lost holds the targets to which a dial that began after answeredAt failed.
	lost map[string]bool
	// reached holds the targets that were reached since the VM counts as cut off.
	reached   map[string]bool
	cutOff    bool
	changedAt time.Duration
	// suspectAt is when there may be the next suspicion, and suspectDelay the delay after the next wrong
	// one. suspects is the number of suspected targets that are being dialled.
	suspectAt    time.Duration
	suspectDelay time.Duration
	suspects     int
	// confirmed reports whether the last suspicion was right.
	confirmed bool
}

// CutOff reports whether the VM counts as cut off from all targets.
func (v *Vantage) CutOff() bool { return v.cutOff }

// ChangedAt returns when the conclusion last changed.
func (v *Vantage) ChangedAt() time.Duration { return v.changedAt }

// SinceAnswer returns the time since any target answered or accepted a connection.
func (v *Vantage) SinceAnswer(now time.Duration) time.Duration { return now - v.answeredAt }

// LostTargets returns the number of targets to which dials failed since any target answered.
func (v *Vantage) LostTargets() int { return len(v.lost) }

// Reached records that a target answered or accepted a connection. It reports whether the
// conclusion changed.
func (v *Vantage) Reached(target string, now time.Duration) (changed bool) {
	v.answeredAt = now
	clear(v.lost)
	if !v.cutOff {
		return false
	}
	v.reached[target] = true
	if len(v.reached) < minReachedTargets {
		return false
	}
	v.cutOff, v.reached, v.changedAt = false, nil, now
	return true
}

// Recheck ends the conclusion that the VM is cut off once enough of the listed targets are reached: all of them if they are
// fewer than minReachedTargets. It reports whether the conclusion changed.
func (v *Vantage) Recheck(listed int, now time.Duration) (changed bool) {
	if !v.cutOff || len(v.reached) == 0 || len(v.reached) < min(minReachedTargets, listed) {
		return false
	}
	v.cutOff, v.reached, v.changedAt = false, nil, now
	return true
}

// MustCheck reports whether a target whose own path is not known to be lost must be dialled, because the VM
// counts as cut off. Otherwise a VM that still reaches some targets would never find out.
func (v *Vantage) MustCheck(target string) bool { return v.cutOff && !v.reached[target] }

// DialFailed records the first failed dial of a target that was reached before, which began at the
// given time; listed is the number of targets. It reports whether the conclusion changed. Further
// failed dials of the same target show nothing new.
func (v *Vantage) DialFailed(target string, listed int, began, now time.Duration) (changed bool) {
	delete(v.reached, target)
	if began < v.answeredAt {
		return false
	}
	if v.lost == nil {
		v.lost = make(map[string]bool)
	}
	v.lost[target] = true
	if v.cutOff || len(v.lost) < min(minLostTargets, max(listed, 1)) {
		return false
	}
	v.cutOff, v.reached, v.changedAt = true, make(map[string]bool), now
	return true
}

// Waiting is a target at which requests of this VM wait.
type Waiting struct {
	Target string
	// Since is the later of the time at which the oldest of the requests was sent and that of the
	// target's last answer.
	Since time.Duration
	// Expected is the expected duration of a request there.
	Expected time.Duration
}

// Suspect returns the targets to dial because they have not answered for a while although requests wait
// there. EndSuspicion must be called for each of them.
func (v *Vantage) Suspect(waiting []Waiting, now time.Duration) []string {
	most := 1
	if v.confirmed {
		most = MaxSuspects
	}
	if v.cutOff || now < v.suspectAt || v.suspects >= most {
		return nil
	}
	slices.SortFunc(waiting, func(a, b Waiting) int { return cmp.Compare(a.Since, b.Since) })
	var out []string
	for _, w := range waiting {
		if v.suspects < most && now-w.Since >= max(suspectAfter, suspectFactor*w.Expected) {
			out = append(out, w.Target)
			v.suspects++
		}
	}
	return out
}

// EndSuspicion records whether the path to a suspected target is lost.
func (v *Vantage) EndSuspicion(lost bool, now time.Duration) {
	v.suspects--
	v.confirmed = lost
	if lost {
		v.suspectAt, v.suspectDelay = now, 0
		return
	}
	v.suspectDelay = min(max(minSuspectDelay, 2*v.suspectDelay), maxSuspectDelay)
	v.suspectAt = now + v.suspectDelay
}
