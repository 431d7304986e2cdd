package agent

import (
	"context"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/target"
)

// answer is the response of a target or the store.
type answer struct {
	service string
	batch   *batch
	report  *target.Report
	// read is a reading of the record, asked at the time.
	read  *model.Assignment
	asked time.Duration
}

// batch is the orders of one tick for one target; groups match its orders.
type batch struct {
	target model.Target
	groups []uint64
	orders []grants.Order
}

// send carries each target's batch, those of other incarnations apart.
func (d *grantorDuty) send(ctx context.Context, h *heldService, batches map[string]*batch) {
	for _, b := range batches {
		for _, part := range b.byIncarnation() {
			d.orders.Inc(1)
			go d.carry(ctx, h.service.Name, part)
		}
	}
}

// byIncarnation splits the batch: an order names one incarnation.
func (b *batch) byIncarnation() map[string]*batch {
	parts := make(map[string]*batch, 1)
	for i, o := range b.orders {
		p := parts[o.Incarnation]
		if p == nil {
			p = &batch{target: b.target}
			parts[o.Incarnation] = p
		}
		p.groups = append(p.groups, b.groups[i])
		p.orders = append(p.orders, o)
	}
	return parts
}

func (d *grantorDuty) carry(ctx context.Context, service string, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	order := target.Order{Incarnation: b.orders[0].Incarnation}
	for i, o := range b.orders {
		order.Groups = append(order.Groups, target.GroupOrder{
			Service: service, Group: b.groups[i], Rank: o.Rank, Seq: o.Seq,
			Slices: o.Slices, Until: o.Until, Release: o.Release,
		})
	}
	report, err := d.commander.Send(ctx, b.target.Addr, &order)
	if err != nil {
		d.errors.Inc(1)
		d.log.Debug().Err(err).Str("step", "grant").Str("peer", b.target.Name).Msg("no report")
		return
	}
	_ = d.inbox.Push(ctx, answer{service: service, batch: b, report: report})
}

// take brings an answer to its groups. It returns whether one of them can go on.
func (d *grantorDuty) take(a answer) bool {
	h := d.services[a.service]
	if h == nil {
		return false
	}
	if a.read != nil {
		for _, rec := range a.read.Groups {
			if g := h.groups[rec.ID]; g != nil {
				g.HandleStoreRead(rec.Epoch, a.asked)
			}
		}
		return true
	}
	now, again := d.clock.Now(), false
	for i := range a.batch.orders {
		g := h.groups[a.batch.groups[i]]
		if g == nil || !a.report.Refused && i >= len(a.report.Groups) {
			continue
		}
		again = g.HandleReport(&a.batch.orders[i], reportOf(a.report, i), now) || again
	}
	d.publish(a.service, h, a.batch.groups, now)
	return again
}

func reportOf(r *target.Report, i int) *grants.Report {
	out := &grants.Report{Incarnation: r.Incarnation, Refused: r.Refused, Clock: r.Clock}
	if r.Refused {
		return out
	}
	g := &r.Groups[i]
	out.Confirmed, out.Fence, out.PreviousFence = g.Confirmed, g.Fence, g.Before
	out.HeldUntil, out.HeldRank, out.Running = g.Held, g.HeldRank, g.Running
	return out
}
