package leasing

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/pause"
)

// confirmEpoch has the store confirm the epoch from time to time. While the store turns this
// VM away it does so more often, which shows the others that a relay works.
func (l *leader) confirmEpoch(ctx context.Context, now time.Duration) {
	every := confirmEvery
	if !l.LocalState.StoreUp() && len(l.Mesh.StoreRelays()) > 0 {
		every = relayedConfirmEvery
	}
	if now-l.grants.ConfirmedAt() > every {
		l.readEpoch(ctx)
	}
}

// readEpoch asks the store whether the epoch stands.
func (l *leader) readEpoch(ctx context.Context) {
	if l.reading {
		return
	}
	l.queryEpoch(ctx, func(err error) {
		l.Log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("epoch not confirmed")
		pause.For(ctx, l.StorePause)
	}, func() {})
}

// queryEpoch reads the record beside the leader's goroutine and notes its epoch. failed is
// called there after a failure, before the leader may ask again; then in the leader's own
// goroutine after an answer. One question is in flight at a time.
func (l *leader) queryEpoch(ctx context.Context, failed func(err error), then func()) {
	l.reading = true
	go func() {
		sent := l.Clock.Now()
		r, _, err := l.read(ctx)
		if err != nil {
			failed(err)
		}
		l.enqueue(ctx, func() {
			l.reading = false
			if err != nil {
				return
			}
			l.recordEpoch(r, sent)
			then()
		})
	}()
}

func (l *leader) recordEpoch(r lease.Record, sent time.Duration) {
	if r.Epoch != l.grants.Record().Epoch || r.Incarnation != l.Self.Incarnation {
		l.deposed = true
		return
	}
	l.grants.ConfirmEpoch(sent)
}

// confirmIncarnations opens connections to owners to which an order broke and then asks
// the store whether they are in the same life and the epoch stands.
// A restarted target has forgotten its fences and would take a grant of a grantor that was
// succeeded. A connection that was opened before the store was asked breaks with the incarnation
// that it was opened to.
func (l *leader) confirmIncarnations(ctx context.Context, now time.Duration) {
	if l.checking || now < l.checkNext {
		return
	}
	var owners []lease.Owner
	for _, o := range l.grants.Unconfirmed() {
		if l.listed(o) {
			owners = append(owners, o)
		}
	}
	if len(owners) == 0 {
		return
	}
	l.checking, l.checkNext = true, now+checkPause
	lines := make([]*orderLine, len(owners))
	for i, o := range owners {
		lines[i] = l.line(ctx, o)
	}
	go l.checkIncarnations(ctx, owners, lines)
}

// listed reports whether the target is listed in this life.
func (l *leader) listed(o lease.Owner) bool {
	t := l.TargetDirectory.View().ByID[o.ID]
	return t != nil && t.Born == o.Born
}

func (l *leader) checkIncarnations(ctx context.Context, owners []lease.Owner, lines []*orderLine) {
	connected := connectAll(ctx, owners, lines)
	var confirmed []lease.Owner
	var record lease.Record
	sent := l.Clock.Now()
	var err error
	if len(connected) > 0 {
		confirmed, err = l.queryIncarnations(ctx, connected)
		if err == nil {
			record, _, err = l.read(ctx)
		}
	}
	if err != nil {
		l.Log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("lives of targets not confirmed")
	}
	l.enqueue(ctx, func() {
		l.checking = false
		if err != nil || len(connected) == 0 {
			return
		}
		l.recordEpoch(record, sent)
		if l.deposed {
			return
		}
		for _, o := range confirmed {
			l.grants.MarkConfirmed(o)
		}
	})
}

func connectAll(ctx context.Context, owners []lease.Owner, lines []*orderLine) []lease.Owner {
	ok := make([]bool, len(owners))
	var wait sync.WaitGroup
	for i := range owners {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			lines[i].pool.CloseIdle()
			for range grantConns {
				if lines[i].pool.Connect(ctx) != nil {
					return
				}
				ok[i] = true
			}
		})
	}
	wait.Wait()
	var out []lease.Owner
	for i, o := range owners {
		if ok[i] {
			out = append(out, o)
		}
	}
	return out
}

// queryIncarnations returns those owners that the store lists in the same life.
func (l *leader) queryIncarnations(ctx context.Context, owners []lease.Owner) ([]lease.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, l.StoreTimeout)
	defer cancel()
	list, err := l.Store.ListKind(ctx, l.Orders.TargetKind())
	if err != nil {
		return nil, fmt.Errorf("list targets: %w", err)
	}
	born := make(map[string]int64, len(list.Objects))
	for _, o := range list.Objects {
		if t, ok := l.TargetDirectory.ReadTarget(o); ok {
			born[t.ID] = t.Born
		}
	}
	var out []lease.Owner
	for _, o := range owners {
		if at, ok := born[o.ID]; ok && at == o.Born {
			out = append(out, o)
		}
	}
	return out, nil
}

// recordIncarnations notes the ends of lives: targets that are listed with a later start.
func (l *leader) recordIncarnations() {
	for id, t := range l.TargetDirectory.View().ByID {
		if l.bornKnown[id] == t.Born {
			continue
		}
		l.bornKnown[id] = t.Born
		for _, s := range l.grants.Record().Slices {
			for _, o := range []lease.Owner{s.Owner, s.Previous} {
				if o.ID == id && o.Born < t.Born {
					l.grants.MarkEnded(o)
				}
			}
		}
	}
}
