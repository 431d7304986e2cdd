package leasing

import (
	"context"
	"time"

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
	reachQueryInterval = 500 * time.Millisecond
	// maxReachQuery bounds the owners that other VMs are asked about.
	maxReachQuery = 8
)

// yieldIfIsolated resigns if most owners are silent and another VM reaches them. If no VM does, the
// owners are gone, and a successor could do no better: the keys then move to the owners that answer.
func (l *leader) yieldIfIsolated(ctx context.Context, now time.Duration) {
	if l.queryingReach || now < l.nextReachQuery || !l.mostOwnersSilent(now) {
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
		l.enqueue(ctx, func() { l.handleReach(ctx, reached, len(targets), len(silent)) })
	}()
}

// handleReach resigns if another VM reaches at least half of the silent owners that it was asked
// about.
func (l *leader) handleReach(ctx context.Context, reached, asked, silent int) {
	l.queryingReach = false
	l.Log.Warn().Str("step", "leases").Str("service", l.service).Uint64("epoch", l.grants.Record().Epoch).
		Int("silent", silent).Int("asked", asked).Int("reachedByAnother", reached).Msg("most owners are silent")
	if 2*reached >= asked {
		l.tryResign(ctx, l.Clock.Now())
	}
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
