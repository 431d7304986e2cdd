package leasing

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/upstream"
)

// grantConns is how many connections to a target carry its grants. Where a target
// leaves an order unanswered, its connection is lost; as many as may fail before the
// target is taken for gone.
const grantConns = 4

// orderLine sends the orders to one life of a target. Grants go over connections that
// were opened before the life was confirmed: what reaches the other end of such a
// connection reaches that life, whatever became of the other connections.
type orderLine struct {
	pool     *upstream.Pool
	grants   chan queuedGrant
	releases chan struct{}
}

// queuedGrant is a grant that waits for its turn since a moment.
type queuedGrant struct {
	lease.Order
	since time.Duration
}

// send hands an order to its target's line.
func (l *leader) send(ctx context.Context, o lease.Order) {
	line := l.line(ctx, o.Target)
	if o.Kind == lease.Release {
		go l.release(ctx, line, o)
		return
	}
	select {
	case line.grants <- queuedGrant{o, l.Clock.Now()}:
	default:
		l.grants.HandleResult(o, lease.Unreached, "", l.Clock.Now(), l.Clock.Now())
	}
}

func (l *leader) line(ctx context.Context, o lease.Owner) *orderLine {
	line := l.lines[o]
	if line == nil {
		line = &orderLine{
			pool:   upstream.NewPool(o.Addr, metrics.GetOrRegisterCounter("orders.connections.opened", l.Registry)),
			grants: make(chan queuedGrant, len(l.grants.Record().Slices)+1), releases: make(chan struct{}, releasesAtOnce),
		}
		l.lines[o] = line
		var senders sync.WaitGroup
		for range grantConns {
			senders.Go(func() { l.serveLine(ctx, line) })
		}
		go func() {
			senders.Wait()
			line.pool.Close()
		}()
	}
	return line
}

// serveLine sends grants to one target, one after the other.
func (l *leader) serveLine(ctx context.Context, line *orderLine) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-line.grants:
			waited := l.Clock.Now() - g.since
			if l.order(ctx, line, g.Order, upstream.KeptConn, grantTimeout) == lease.Done {
				l.enqueue(ctx, func() { l.lag.RecordGrant(waited) })
			}
		}
	}
}

func (l *leader) release(ctx context.Context, line *orderLine, o lease.Order) {
	select {
	case line.releases <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-line.releases }()
	l.order(ctx, line, o, upstream.NewConn, releaseTimeout)
}

// order sends one order, reports its end to the leader and returns it.
// This VM may be suspended between the decision and the send, and be succeeded meanwhile: the
// authority is read again right before the bytes leave, on a clock that counts suspended time.
func (l *leader) order(ctx context.Context, line *orderLine, o lease.Order, conn upstream.ConnPolicy, timeout time.Duration) lease.Result {
	sent := l.Clock.Now()
	result, handover, err := lease.Unreached, "", errNoAuthority
	if int64(sent) < l.orderUntil.Load() {
		result, handover, err = l.exchange(ctx, line, o, conn, timeout)
	}
	over := l.Clock.Now()
	metrics.GetOrRegisterTimer("step.order", l.Registry).Update(over - sent)
	metrics.GetOrRegisterCounter("orders."+result.String(), l.Registry).Inc(1)
	if err != nil || result != lease.Done {
		l.Log.Warn().Str("step", "order").Str("service", l.service).Str("target", o.Target.ID).Stringer("kind", o.Kind).
			Uint16("from", o.From).Uint64("fence", o.Fence).Stringer("result", result).Dur("took", over-sent).Err(err).Msg("order not done")
	}
	l.enqueue(ctx, func() { l.ended(ctx, o, result, handover, sent, over) })
	return result
}

var errNoAuthority = errors.New("authority has run out")

func (l *leader) exchange(ctx context.Context, line *orderLine, o lease.Order, conn upstream.ConnPolicy, timeout time.Duration) (lease.Result, string, error) {
	request, err := l.Orders.Order(o)
	if err != nil {
		return lease.Unreached, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := line.pool.Exchange(ctx, request, conn)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return lease.Unreached, "", err
	case err != nil:
		return lease.Unanswered, "", err
	}
	result, handover, err := l.Orders.OrderResult(answer)
	if result == lease.Unanswered && l.replaced(ctx, line, o.Target) {
		return lease.Misdirected, "", err
	}
	return result, handover, err
}

// replaced asks the process at a target's address for its id, and reports whether
// it is another target's.
// The address of a target that is gone may pass to one of a service without keys, which answers an
// order with an error. Without the check, the keys would wait until the last grant has expired.
func (l *leader) replaced(ctx context.Context, line *orderLine, o lease.Owner) bool {
	table := l.TargetDirectory.View().Routes
	if table == nil {
		return false
	}
	request := &upstream.Request{
		Method: http.MethodGet, URI: table.Config().Services[l.service].HealthPath, Host: o.Addr,
		Header: http.Header{l.TargetIDHeader: {o.ID}},
	}
	answer, err := line.pool.Exchange(ctx, request, upstream.NewConn)
	if err != nil {
		return false
	}
	id := answer.Header.Get(l.InstanceIDHeader)
	l.Log.Warn().Str("step", "order").Str("target", o.ID).Str("addr", o.Addr).Str("answers", id).Msg("who answers at the address of an owner")
	return id != "" && id != o.ID
}

func (l *leader) ended(ctx context.Context, o lease.Order, r lease.Result, handover string, sent, over time.Duration) {
	l.grants.HandleResult(o, r, handover, sent, over)
	if r == lease.Fenced {
		l.readEpoch(ctx)
	}
}
