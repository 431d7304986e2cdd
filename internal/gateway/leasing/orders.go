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

// grantConnections is the number of connections to a target that carry its grants. An order that a
// target leaves unanswered costs its connection, so this many orders may fail before the target counts
// as gone.
const grantConnections = 4

// orderSender sends the orders to one incarnation of a target. Grants go over connections that were
// opened before the incarnation was confirmed: what arrives over such a connection arrives at that
// incarnation, whatever became of the other connections.
type orderSender struct {
	pool     *upstream.Pool
	grants   chan queuedGrant
	releases chan struct{}
}

// queuedGrant is a grant that has been in the queue since queuedAt.
type queuedGrant struct {
	lease.Order
	queuedAt time.Duration
}

// send passes an order to the sender of its target.
func (l *leader) send(ctx context.Context, o lease.Order) {
	sender := l.sender(ctx, o.Target)
	if o.Kind == lease.Release {
		go l.release(ctx, sender, o)
		return
	}
	select {
	case sender.grants <- queuedGrant{o, l.Clock.Now()}:
	default:
		l.grants.HandleResult(o, lease.Unreached, "", l.Clock.Now(), l.Clock.Now())
	}
}

// sender returns the sender for an owner and starts it if there is none.
func (l *leader) sender(ctx context.Context, o lease.Owner) *orderSender {
	sender := l.senders[o]
	if sender == nil {
		sender = &orderSender{
			pool:   upstream.NewPool(o.Addr, metrics.GetOrRegisterCounter("orders.connections.opened", l.Registry)).From(l.TargetSource).Within(l.AnswerMemory).ReportTo(l.BrokenAnswers),
			grants: make(chan queuedGrant, len(l.grants.Record().Slices)+1), releases: make(chan struct{}, l.Spread.maxReleases()),
		}
		l.senders[o] = sender
		var workers sync.WaitGroup
		for range grantConnections {
			workers.Go(func() { l.sendGrants(ctx, sender) })
		}
		go func() {
			workers.Wait()
			sender.pool.Close()
		}()
	}
	return sender
}

// sendGrants sends queued grants to one target, one after the other.
func (l *leader) sendGrants(ctx context.Context, sender *orderSender) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-sender.grants:
			waited := l.Clock.Now() - g.queuedAt
			if l.sendOrder(ctx, sender, g.Order, upstream.KeptConn, grantTimeout) == lease.Done {
				l.enqueue(ctx, func() { l.lagMeter.RecordGrant(waited) })
			}
		}
	}
}

func (l *leader) release(ctx context.Context, sender *orderSender, o lease.Order) {
	select {
	case sender.releases <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-sender.releases }()
	l.sendOrder(ctx, sender, o, upstream.NewConn, releaseTimeout)
}

// sendOrder sends one order, reports its result to the leader and returns it.
//
// This VM may be suspended between the decision and the send, and be succeeded meanwhile. The deadline
// of its authority is therefore checked right before the first byte is written, once a connection is open, on a clock
// that counts suspended time.
func (l *leader) sendOrder(ctx context.Context, sender *orderSender, o lease.Order, conn upstream.ConnPolicy, timeout time.Duration) lease.Result {
	sent := l.Clock.Now()
	result, handover, err := lease.Unreached, "", errAuthorityExpired
	if l.maySend() {
		result, handover, err = l.exchange(ctx, sender, o, conn, timeout)
	}
	ended := l.Clock.Now()
	metrics.GetOrRegisterTimer("step.order", l.Registry).Update(ended - sent)
	metrics.GetOrRegisterCounter("orders."+result.String(), l.Registry).Inc(1)
	if err != nil || result != lease.Done {
		l.Log.Warn().Str("step", "order").Str("service", l.service).Str("target", o.Target.ID).Stringer("kind", o.Kind).
			Uint16("from", o.From).Uint64("fence", o.Fence).Stringer("result", result).Dur("took", ended-sent).Err(err).Msg("order not done")
	}
	l.enqueue(ctx, func() { l.handleOrderResult(ctx, o, result, handover, sent, ended) })
	return result
}

// maySend reports whether this VM may send orders now.
func (l *leader) maySend() bool { return int64(l.Clock.Now()) < l.orderDeadline.Load() }

var errAuthorityExpired = errors.New("the authority to send orders has expired")

func (l *leader) exchange(ctx context.Context, sender *orderSender, o lease.Order, conn upstream.ConnPolicy, timeout time.Duration) (lease.Result, string, error) {
	request, err := l.OrderCodec.Order(o)
	if err != nil {
		return lease.Unreached, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request.MaySend = l.maySend
	answer, err := sender.pool.Exchange(ctx, request, conn)
	switch {
	case errors.Is(err, upstream.ErrWithheld):
		return lease.Unreached, "", errors.Join(errAuthorityExpired, err)
	case errors.Is(err, upstream.ErrNotSent):
		return lease.Unreached, "", err
	case err != nil:
		return lease.Unanswered, "", err
	}
	defer answer.Release()
	l.TargetDirectory.RecordAnswer(o.Target, answer)
	result, handover, err := l.OrderCodec.OrderResult(answer)
	if result == lease.Unanswered && l.addressReassigned(ctx, sender, o.Target) {
		return lease.Misdirected, "", err
	}
	return result, handover, err
}

// addressReassigned asks the process at an owner's address for its id and reports whether it is
// another target.
//
// The address of a target that is gone may be reassigned to a target of a service without keys, which
// answers an order with an error. Without this check, the keys would be unavailable until the last
// grant has expired.
func (l *leader) addressReassigned(ctx context.Context, sender *orderSender, o lease.Owner) bool {
	table := l.TargetDirectory.View().Routes
	if table == nil {
		return false
	}
	request := &upstream.Request{
		Method: http.MethodGet, URI: table.Config().Services[l.service].HealthPath, Host: o.Addr,
		Header: http.Header{l.TargetIDHeader: {o.ID}}, MaxAnswer: upstream.SmallAnswer,
	}
	answer, err := sender.pool.Exchange(ctx, request, upstream.NewConn)
	if err != nil {
		return false
	}
	defer answer.Release()
	l.TargetDirectory.RecordAnswer(o, answer)
	id := answer.Header.Get(l.InstanceIDHeader)
	l.Log.Warn().Str("step", "order").Str("target", o.ID).Str("addr", o.Addr).Str("answers", id).Msg("asked the process at the address of an owner for its id")
	return id != "" && id != o.ID
}

func (l *leader) handleOrderResult(ctx context.Context, o lease.Order, r lease.Result, handover string, sent, ended time.Duration) {
	l.grants.HandleResult(o, r, handover, sent, ended)
	l.orders.recordOrder(r, ended)
	if r == lease.Fenced {
		l.readEpoch(ctx)
	}
}
