package leasing

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// confirmEpoch has the store confirm the epoch at intervals. While the store does not answer this VM
// but a relay exists, it does so more often, which shows the other VMs that the relay works.
func (l *leader) confirmEpoch(ctx context.Context, now time.Duration) {
	every := confirmInterval
	if !l.LocalState.StoreUp() && len(l.Mesh.StoreRelays()) > 0 {
		every = relayedConfirmInterval
	}
	if now-l.grants.ConfirmedAt() > every {
		l.readEpoch(ctx)
	}
}

// readEpoch asks the store whether the epoch is still valid.
func (l *leader) readEpoch(ctx context.Context) {
	if l.readingEpoch {
		return
	}
	l.queryEpoch(ctx, func(err error) {
		l.Log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("epoch not confirmed")
		pause.For(ctx, l.StoreRetryDelay)
	}, func() {})
}

// queryEpoch reads the record in a goroutine and handles its epoch. After an error, failed is called
// in that goroutine, before the leader may query again. After an answer, then is called in the
// leader's goroutine. One query is in flight at a time.
func (l *leader) queryEpoch(ctx context.Context, failed func(err error), then func()) {
	l.readingEpoch = true
	go func() {
		sent := l.Clock.Now()
		r, _, err := l.readRecord(ctx)
		if err != nil {
			failed(err)
		}
		l.enqueue(ctx, func() {
			l.readingEpoch = false
			if err != nil {
				// Without its record, a grantor whose authority has ended can neither go on nor be confirmed again.
				l.epochEnded = l.epochEnded || errors.Is(err, platform.ErrNotFound) && !l.grants.MayOrder(l.Clock.Now())
				return
			}
			l.handleEpoch(r, sent)
			then()
		})
	}()
}

// handleEpoch handles a record that was read: it either confirms this grantor's epoch or shows that
// the epoch has ended.
func (l *leader) handleEpoch(r lease.Record, sent time.Duration) {
	if r.Epoch != l.grants.Record().Epoch || r.Incarnation != l.Self.Incarnation {
		l.epochEnded = true
		return
	}
	l.grants.ConfirmEpoch(sent)
}

// confirmIncarnations opens connections to owners to which an order could not be delivered. It then
// asks the store whether they are still the same incarnations and the epoch is still valid.
//
// A restarted target has lost its fences and would accept a grant from a superseded grantor. A
// connection that was opened before the store was asked breaks with the incarnation that it was
// opened to.
func (l *leader) confirmIncarnations(ctx context.Context, now time.Duration) {
	if l.checkingIncarnations || now < l.nextIncarnationCheck {
		return
	}
	var owners []lease.Owner
	for _, o := range l.grants.Unconfirmed() {
		if l.isListed(o) {
			owners = append(owners, o)
		}
	}
	if len(owners) == 0 {
		return
	}
	l.checkingIncarnations, l.nextIncarnationCheck = true, now+incarnationCheckInterval
	senders := make([]*orderSender, len(owners))
	for i, o := range owners {
		senders[i] = l.sender(ctx, o)
	}
	go l.checkIncarnations(ctx, owners, senders)
}

// isListed reports whether this incarnation of a target is listed.
func (l *leader) isListed(o lease.Owner) bool {
	t := l.TargetDirectory.View().ByID[o.ID]
	return t != nil && t.Born == o.Born
}

func (l *leader) checkIncarnations(ctx context.Context, owners []lease.Owner, senders []*orderSender) {
	began := l.Clock.Now()
	connected := connectAll(ctx, owners, senders)
	ended := l.Clock.Now()
	var confirmed []lease.Owner
	var record lease.Record
	sent := l.Clock.Now()
	var err error
	if len(connected) > 0 {
		confirmed, err = l.queryIncarnations(ctx, connected)
		if err == nil {
			record, _, err = l.readRecord(ctx)
		}
	}
	if err != nil {
		l.Log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("incarnations of targets not confirmed")
	}
	l.enqueue(ctx, func() {
		l.checkingIncarnations = false
		l.orders.unconnected += len(owners) - len(connected)
		for _, o := range owners {
			if !slices.Contains(connected, o) {
				l.grants.MarkUnconnected(o, began, ended)
			}
		}
		if err != nil || len(connected) == 0 {
			return
		}
		l.handleEpoch(record, sent)
		if l.epochEnded {
			return
		}
		for _, o := range confirmed {
			l.grants.MarkConfirmed(o)
		}
	})
}

// connectAll opens the connections for grants to the owners and returns the owners that were reached.
func connectAll(ctx context.Context, owners []lease.Owner, senders []*orderSender) []lease.Owner {
	ok := make([]bool, len(owners))
	var wait sync.WaitGroup
	for i := range owners {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			senders[i].pool.CloseIdle()
			for range grantConnections {
				if senders[i].pool.Connect(ctx) != nil {
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

// queryIncarnations returns the owners that the store lists as the same incarnation.
func (l *leader) queryIncarnations(ctx context.Context, owners []lease.Owner) ([]lease.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, l.StoreTimeout)
	defer cancel()
	list, err := l.Store.ListKind(ctx, l.OrderCodec.TargetKind())
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

// markEndedIncarnations marks the incarnations as ended whose targets are listed with a later start.
func (l *leader) markEndedIncarnations() {
	for id, t := range l.TargetDirectory.View().ByID {
		if l.latestBorn[id] == t.Born {
			continue
		}
		l.latestBorn[id] = t.Born
		for _, s := range l.grants.Record().Slices {
			for _, o := range []lease.Owner{s.Owner, s.Previous} {
				if o.ID == id && o.Born < t.Born {
					l.grants.MarkEnded(o)
				}
			}
		}
	}
}
