package agent

import (
	"context"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/target"
)

// response is a target's report on a batch of orders, or a record read from the store.
type response struct {
	service string
	batch   *orderBatch
	report  *target.Report
	// record is the result of a read that was requested at requestedAt.
	record      *model.Assignment
	requestedAt time.Duration
}

// orderBatch holds the orders of one tick for one target. The order at index i concerns
// groups[i].
type orderBatch struct {
	target model.Target
	groups []uint64
	orders []grants.Order
}

// sendBatches sends each target its batch, in one message per incarnation.
func (gr *grantor) sendBatches(ctx context.Context, svc *serviceState, batches map[string]*orderBatch) {
	for _, b := range batches {
		for _, part := range b.splitByIncarnation() {
			gr.sentOrders.Inc(1)
			go gr.sendBatch(ctx, svc.service.Name, part)
		}
	}
}

// splitByIncarnation splits the batch, because a message to a target names one incarnation.
func (b *orderBatch) splitByIncarnation() map[string]*orderBatch {
	parts := make(map[string]*orderBatch, 1)
	for i, o := range b.orders {
		p := parts[o.Incarnation]
		if p == nil {
			p = &orderBatch{target: b.target}
			parts[o.Incarnation] = p
		}
		p.groups = append(p.groups, b.groups[i])
		p.orders = append(p.orders, o)
	}
	return parts
}

func (gr *grantor) sendBatch(ctx context.Context, service string, b *orderBatch) {
	ctx, cancel := context.WithTimeout(ctx, gr.timeout)
	defer cancel()
	order := target.Order{Incarnation: b.orders[0].Incarnation}
	for i, o := range b.orders {
		order.Groups = append(order.Groups, target.GroupOrder{
			Service: service, Group: b.groups[i], Rank: o.Rank, Seq: o.Seq,
			Slices: o.Slices, Until: o.Until, Release: o.Release,
		})
	}
	report, err := gr.commander.Send(ctx, b.target.Addr, &order)
	if err != nil {
		gr.unansweredOrders.Inc(1)
		gr.log.Debug().Err(err).Str("step", "grant").Str("peer", b.target.Name).Msg("no report from the target")
		return
	}
	_ = gr.inbox.Push(ctx, response{service: service, batch: b, report: report})
}

// handleResponse passes a response to its groups, and reports whether one of them can proceed
// without waiting for the next tick.
func (gr *grantor) handleResponse(resp response) bool {
	svc := gr.services[resp.service]
	if svc == nil {
		return false
	}
	if resp.record != nil {
		for _, rec := range resp.record.Groups {
			if g := svc.groups[rec.ID]; g != nil {
				g.HandleStoreRead(rec.Epoch, resp.requestedAt)
			}
		}
		return true
	}
	now, again := gr.clock.Now(), false
	for i := range resp.batch.orders {
		g := svc.groups[resp.batch.groups[i]]
		if g == nil || !resp.report.Refused && i >= len(resp.report.Groups) {
			continue
		}
		again = g.HandleReport(&resp.batch.orders[i], groupReport(resp.report, i), now) || again
	}
	gr.publish(resp.service, svc, resp.batch.groups, now)
	return again
}

func groupReport(r *target.Report, i int) *grants.Report {
	out := &grants.Report{Incarnation: r.Incarnation, Refused: r.Refused, Clock: r.Clock}
	if r.Refused {
		return out
	}
	g := &r.Groups[i]
	out.Confirmed, out.Fence, out.PreviousFence = g.Confirmed, g.Fence, g.Before
	out.HeldUntil, out.HeldRank, out.Running = g.Held, g.HeldRank, g.Running
	return out
}
