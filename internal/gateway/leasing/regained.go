package leasing

import (
	"context"
	"time"

	"hemlockquay/internal/lease"
)

const (
	// minRetryOwner and maxRetryOwner bound the time between two dials of a silent target that owns no
	// keys, which doubles with each.
	minRetryOwner = time.Second
	maxRetryOwner = 16 * time.Second
)

// ownerRetry says when a silent target that owns no keys is dialled again.
type ownerRetry struct {
	at, delay time.Duration
}

// retrySilentTargets dials the silent targets that own no keys. They get no orders whose answers could show
// that they are reached again, and without keys they would stay unused until the next succession.
func (l *leader) retrySilentTargets(ctx context.Context, now time.Duration) {
	if now < l.nextOwnerRetry {
		return
	}
	l.nextOwnerRetry = now + planInterval
	owners := make(map[lease.Owner]bool)
	for _, s := range l.grants.Record().Slices {
		owners[s.Owner], owners[s.Previous] = true, true
	}
	for _, o := range l.eligibleOwners() {
		if owners[o] || l.grants.SilentFor(o, now) < ownerSilenceTimeout || l.grants.HasEnded(o) {
			continue
		}
		r := l.ownerRetries[o]
		if r.delay > 0 && now < r.at {
			continue
		}
		r.delay = min(max(minRetryOwner, 2*r.delay), maxRetryOwner)
		r.at = now + r.delay
		l.ownerRetries[o] = r
		go func() {
			if l.Reach.ReachedHere(ctx, []string{o.ID}) > 0 {
				l.enqueue(ctx, func() { l.handleRegained(o) })
			}
		}()
	}
}

// handleRegained lets a target own keys again.
func (l *leader) handleRegained(o lease.Owner) {
	l.Log.Info().Str("step", "leases").Str("service", l.service).Str("target", o.ID).
		Dur("silent", l.grants.SilentFor(o, l.Clock.Now())).Msg("silent target reached again")
	l.grants.MarkRegained(o)
}
