package leasing

import (
	"context"
	"time"

	"hemlockquay/internal/decide/fitness"
	"hemlockquay/internal/lease"
)

// Reach finds out which targets VMs reach.
type Reach interface {
	// ReachedHere dials the targets and returns how many of them accept a connection from this VM.
	ReachedHere(ctx context.Context, targets []string) int
	// ReachedByOthers asks other VMs which of the targets they reach now and returns the largest
	// number that one of them reaches. It returns 0 if no VM answers.
	ReachedByOthers(ctx context.Context, targets []string) int
}

const (
	// reachQueryInterval is the minimum time between two queries whether other VMs reach the owners.
	reachQueryInterval = 300 * time.Millisecond
	// maxReachQuery bounds the owners that other VMs are asked about.
	maxReachQuery = 8
	// yieldTime is how long a grantor tries to resign after it learned that another VM reaches the owners
	// that it does not reach.
	yieldTime = 2 * time.Second
	// goneTime is how long silent owners count as gone after other VMs did not reach them either.
	goneTime = time.Second
	// maxUndecidedTime is the time without an answer after which most owners count as gone if no other VM
	// could be asked about them.
	maxUndecidedTime = 2400 * time.Millisecond
)

// isolated reports whether so many owners leave orders unanswered that the fault is probably this VM's.
func (l *leader) isolated(now time.Duration) bool {
	return fitness.Isolated(len(l.silentOwners(now)), len(l.listedOwners()))
}

// yieldIfIsolated resigns if most owners are silent and another VM reaches them. If no VM does, the
// owners are gone, and a successor could do no better: the keys then move to the owners that answer.
func (l *leader) yieldIfIsolated(ctx context.Context, now time.Duration) {
	if l.queryingReach || now < l.nextReachQuery {
		return
	}
	if !l.isolated(now) {
		l.nextReachQuery = now + planInterval
		return
	}
	l.queryingReach, l.nextReachQuery = true, now+reachQueryInterval
	silent := l.silentOwners(now)
	targets := make([]string, 0, maxReachQuery)
	for _, o := range silent[:min(len(silent), maxReachQuery)] {
		targets = append(targets, o.ID)
	}
	go func() {
		reached := l.Reach.ReachedByOthers(ctx, targets)
		l.enqueue(ctx, func() { l.handleReach(reached, len(targets), len(silent)) })
	}()
}

// handleReach makes this grantor resign if another VM reaches at least half of the silent owners that it
// was asked about.
func (l *leader) handleReach(reached, asked, silent int) {
	now := l.Clock.Now()
	l.queryingReach = false
	l.Log.Warn().Str("step", "leases").Str("service", l.service).Uint64("epoch", l.grants.Record().Epoch).
		Int("silent", silent).Int("asked", asked).Int("reachedByAnother", reached).Msg("most owners are silent")
	if 2*reached >= asked {
		l.yieldUntil = now + yieldTime
		return
	}
	l.goneUntil = now + goneTime
}

// mayReplaceSilent reports whether keys may be moved away from silent owners. While most are silent, they may
// not before it is known that no other VM reaches them.
func (l *leader) mayReplaceSilent(now time.Duration) bool {
	if !l.isolated(now) || now < l.goneUntil {
		return true
	}
	for _, o := range l.silentOwners(now) {
		if l.grants.SilentFor(o, now) < maxUndecidedTime {
			return false
		}
	}
	return true
}

// silentOwners returns the listed owners that leave orders unanswered.
func (l *leader) silentOwners(now time.Duration) []lease.Owner {
	var out []lease.Owner
	for _, o := range l.listedOwners() {
		if l.grants.SilentFor(o, now) >= minOwnerSilence {
			out = append(out, o)
		}
	}
	return out
}

// listedOwners returns the owners of the record that are listed, each once.
func (l *leader) listedOwners() []lease.Owner {
	seen := make(map[lease.Owner]bool)
	var out []lease.Owner
	for _, s := range l.grants.Record().Slices {
		if !seen[s.Owner] && l.isListed(s.Owner) {
			seen[s.Owner] = true
			out = append(out, s.Owner)
		}
	}
	return out
}
