package dispatch

import (
	"fmt"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/deadline"
	"hemlockquay/internal/decide/fairqueue"
	"hemlockquay/internal/problem"
)

// stepQueue is the step of refusals before the sending.
const stepQueue = "queue"

// counts are the dispatcher's counters.
type counts struct {
	// sent counts attempts, repeated those after the first.
	sent, repeated metrics.Counter
	// full, early, standing, late, ownerless and dead count refusals.
	full, early, standing, late, ownerless, dead metrics.Counter
	// lost counts requests that may have run, abandoned attempts whose answer
	// nobody waits for any more.
	lost, abandoned metrics.Counter
}

func newCounts(r metrics.Registry) *counts {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatch."+name, r) }
	return &counts{
		sent: get("sent"), repeated: get("repeated"),
		full: get("refused.full"), early: get("refused.early"), standing: get("refused.standing"),
		late: get("refused.late"), ownerless: get("refused.ownerless"), dead: get("refused.dead"),
		lost: get("lost"), abandoned: get("abandoned"),
	}
}

// refusal returns why a job that comes is not taken in, or nil.
func (q *queue) refusal(j *job, now time.Time) *problem.Error {
	switch {
	case q.draining:
		return q.leaving()
	case q.pool.service == nil:
		return problem.Refuse(problem.UnknownService, stepQueue, q.vm, "the service is gone")
	case q.dead(now):
		q.counts.dead.Inc(1)
		return q.noTarget()
	case len(q.parked)+len(q.held) >= q.limit:
		q.counts.full.Inc(1)
		return problem.Refuse(problem.Full, stepQueue, q.vm, "too many requests wait for an owner").WithRetryAfter(time.Second)
	case q.fifo || !q.table.Known():
		return nil
	}
	wait := q.wait(j, now)
	if deadline.Meets(j.deadline.Sub(now), wait, j.expected) {
		return nil
	}
	q.counts.early.Inc(1)
	detail := fmt.Sprintf("the wait of about %v and the work of about %v do not fit into the deadline",
		wait.Round(time.Millisecond), j.expected.Round(time.Millisecond))
	return problem.Refuse(problem.Full, stepQueue, q.vm, detail).WithRetryAfter(max(wait, time.Second))
}

// wait estimates how long a job that comes now waits for a slot.
func (q *queue) wait(j *job, now time.Time) time.Duration {
	slots, _ := q.pool.capacity(now)
	ahead := q.waiting.Ahead(j.item.Customer, j.item.Class)
	if ahead == 0 {
		return 0
	}
	floor := q.pool.service.BackgroundFloor
	switch {
	case j.item.Class == fairqueue.Background:
		slots = max(slots*floor, slots-q.urgent.Value(now))
	case q.waiting.ClassLen(fairqueue.Background) > 0:
		slots *= 1 - floor
	}
	return deadline.Wait(ahead, slots)
}

// dead reports whether no target has served for longer than a request may wait.
func (q *queue) dead(now time.Time) bool {
	if q.deadSince.IsZero() || now.Sub(q.deadSince) < ownerlessFor {
		return false
	}
	slots, _ := q.pool.capacity(now)
	return slots == 0
}

func (q *queue) noTarget() *problem.Error {
	return problem.Refuse(problem.Full, stepQueue, q.vm, "no target can be reached").WithRetryAfter(time.Second)
}

// cutAbove is the wait, in bounds, over which requests that wait already give way
// until it is met. Between it and the bound only requests that just came are refused:
// bound and slots are estimates that move by a fifth, and to follow each movement
// refuses requests that have waited for 20 ms.
const cutAbove = 1.5

// trim keeps a standing queue of interactive work at its bound, and ends all that
// waits for targets which cannot be reached. came is the request that just came, or nil.
func (q *queue) trim(now time.Time, came *job) {
	if len(q.given) == 0 {
		q.note(now, 0, 0, 0)
		return
	}
	if q.dead(now) {
		q.endAll(q.counts.dead, q.noTarget())
		return
	}
	if q.fifo || !q.table.Known() {
		return
	}
	slots, total := q.pool.capacity(now)
	bound := deadline.MaxStandingWait(q.table.Mean(), slots)
	if !q.note(now, q.interactiveWait(slots), bound, slots) {
		return
	}
	over := func(bounds float64) bool {
		return q.waiting.ClassLen(fairqueue.Interactive) > total && q.interactiveWait(slots) > time.Duration(bounds*float64(bound))
	}
	if came != nil && over(1) && q.waiting.DropIfOverShare(&came.item) {
		q.standingOut(came)
	}
	for over(cutAbove) {
		q.yield()
	}
}

// yield refuses the newest request of the customers that hold more of the queue than
// their shares.
func (q *queue) yield() { q.standingOut(q.waiting.DropNewestOverShare(fairqueue.Interactive).Value) }

func (q *queue) standingOut(j *job) {
	q.counts.standing.Inc(1)
	q.end(j, q.overloaded())
}

func (q *queue) overloaded() *problem.Error {
	return problem.Refuse(problem.Full, stepQueue, q.vm, "more work comes than the targets can do, and this customer holds more of the queue than its share").WithRetryAfter(time.Second)
}

// endAll ends all that is not sent.
func (q *queue) endAll(count metrics.Counter, p *problem.Error) {
	for len(q.given) > 0 {
		count.Inc(1)
		q.end(q.given[0], p)
	}
}

// interactiveWait is how long the interactive work takes that waits.
func (q *queue) interactiveWait(slots float64) time.Duration {
	return deadline.Wait(q.waiting.Work(fairqueue.Interactive), slots)
}

// note follows whether the queue stands, and journals the change.
func (q *queue) note(now time.Time, wait, bound time.Duration, slots float64) bool {
	stands := q.standing.Update(now, wait, bound, slots)
	if stands != q.stands {
		q.stands = stands
		if stands {
			q.journal.Add(stepQueue, fmt.Sprintf("the queue stands at %v of work: kept at %v from now on", wait.Round(time.Millisecond), bound.Round(time.Millisecond)), q.id.String())
		} else {
			q.journal.Add(stepQueue, "the queue was empty: bursts may wait up to their deadlines again", q.id.String())
		}
	}
	return stands
}
