package reach

import "time"

const (
	// minLostTargets is the number of targets to which dials must fail, while no target answers,
	// before the VM counts as cut off; two may be lost at the same time.
	minLostTargets = 3
	// minReachedTargets is the number of targets that a cut off VM must reach before it counts as
	// connected again, so that it does not follow each change of a path that comes and goes.
	minReachedTargets = 2
	// suspectAfter is the time without any answer, while requests wait, after which a VM suspects
	// that it is cut off. A suspicion costs one dial.
	suspectAfter = 300 * time.Millisecond
	// suspectFactor is how many times its expected duration a request must have waited to support a
	// suspicion.
	suspectFactor = 3
	// suspectInterval is the minimum time between two suspicions.
	suspectInterval = time.Second
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
	suspectAt time.Duration
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

// Suspect returns the target to dial because no target has answered for a while although requests
// wait. It returns "" if there is none.
func (v *Vantage) Suspect(waiting []Waiting, now time.Duration) string {
	if v.cutOff || now-v.answeredAt < suspectAfter || now < v.suspectAt {
		return ""
	}
	var oldest Waiting
	for _, w := range waiting {
		if oldest.Target == "" || w.Since < oldest.Since {
			oldest = w
		}
	}
	if oldest.Target == "" || now-oldest.Since < max(suspectAfter, suspectFactor*oldest.Expected) {
		return ""
	}
	v.suspectAt = now + suspectInterval
	return oldest.Target
}
