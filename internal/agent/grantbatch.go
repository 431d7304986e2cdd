package agent

import (
	"context"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/target"
)

// response is the response of a target or the store.
type response struct {
	service string
	batch   *orderBatch
	report  *target.Report
	// record is a reading of the record, asked at the time.
	record      *model.Assignment
	requestedAt time.Duration
}

// orderBatch is the orders of one tick for one target; groups match its orders.
type orderBatch struct {
	target model.Target
	groups []uint64
	orders []grants.Order
}

// sendBatches carries each target's batch, those of other incarnations apart.
func (gr *grantor) sendBatches(ctx context.Context, svc *serviceState, batches map[string]*orderBatch) {
	for _, b := range batches {
		for _, part := range b.splitByIncarnation() {
			gr.sentOrders.Inc(1)
			go gr.sendBatch(ctx, svc.service.Name, part)
		}
	}
}

// splitByIncarnation splits the batch: an order names one incarnation.
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
		gr.log.Debug().Err(err).Str("step", "grant").Str("peer", b.target.Name).Msg("no report")
		return
	}
	_ = gr.inbox.Push(ctx, response{service: service, batch: b, report: report})
}

// handleResponse brings an answer to its groups. It returns whether one of them can go on.
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
