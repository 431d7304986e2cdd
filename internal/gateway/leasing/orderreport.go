package leasing

import (
	"time"

	"hemlockquay/internal/lease"
)

// orderReportInterval is the minimum time between two log lines on a grantor's orders.
const orderReportInterval = time.Second

// orderReport counts what became of a grantor's orders and connections since its last log line.
type orderReport struct {
	done, failed, unconnected int
	// answeredAt is when the last order was answered, or when the epoch began.
	answeredAt time.Duration
	next       time.Duration
}

// recordOrder counts an order that ended.
func (r *orderReport) recordOrder(result lease.Result, ended time.Duration) {
	switch result {
	case lease.Unreached, lease.Unanswered:
		r.failed++
	default:
		r.done++
		r.answeredAt = ended
	}
}

// logOrders logs the orders of the last interval if any of them failed, or no connection to an owner
// could be opened.
func (l *leader) logOrders(now time.Duration) {
	r := &l.orders
	if now < r.next {
		return
	}
	r.next = now + orderReportInterval
	if r.failed == 0 && r.unconnected == 0 {
		r.done = 0
		return
	}
	l.Log.Info().Str("step", "orders").Str("service", l.service).Uint64("epoch", l.grants.Record().Epoch).
		Int("done", r.done).Int("failed", r.failed).Int("unconnected", r.unconnected).Int("silentOwners", len(l.silentOwners(now))).Int("owners", len(l.listedOwners())).
		Dur("sinceAnswer", now-r.answeredAt).Msg("orders of the grantor")
	r.done, r.failed, r.unconnected = 0, 0, 0
}
