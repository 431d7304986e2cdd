package dispatch

import (
	"fmt"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/deadline"
	"hemlockquay/internal/decide/fairqueue"
	"hemlockquay/internal/problem"
)

// stepQueue is the step that is named in refusals of requests that were not sent.
const stepQueue = "queue"

// counters holds the counters of the dispatcher.
type counters struct {
	// sent counts all attempts, repeated those after the first of a request.
	sent, repeated metrics.Counter
	// full, early, standing, late, ownerless and dead count refusals by reason.
	full, early, standing, late, ownerless, dead metrics.Counter
	// lost counts requests that ended without an answer and may have run,
	// abandoned counts attempts whose deadline passed or whose caller went away.
	lost, abandoned metrics.Counter
	// withheld counts attempts that were not sent because the caller had gone away or the deadline had passed, and unread the
	// requests that were refused because they may have waited too long in a process that did not run.
	withheld, unread metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatch."+name, r) }
	return &counters{
		sent: get("sent"), repeated: get("repeated"),
		full: get("refused.full"), early: get("refused.early"), standing: get("refused.standing"),
		late: get("refused.late"), ownerless: get("refused.ownerless"), dead: get("refused.dead"),
		lost: get("lost"), abandoned: get("abandoned"), withheld: get("withheld"), unread: get("unread"),
	}
}

// admissionProblem returns why an arriving job is refused, or nil if it is admitted.
func (q *queue) admissionProblem(j *job, now time.Time) *problem.Error {
	switch {
	case q.draining:
		return q.leavingProblem()
	case q.pool.service == nil:
		return problem.Refuse(problem.UnknownService, stepQueue, q.vm, "the service is gone")
	case q.unreachable(now):
		q.counters.dead.Inc(1)
		return q.unreachableProblem()
	case len(q.parked)+len(q.held) >= q.limit:
		q.counters.full.Inc(1)
		return problem.Refuse(problem.Full, stepQueue, q.vm, "too many requests wait for an owner").WithRetryAfter(time.Second)
	case q.fifo || !q.serviceTimes.Known():
		return nil
	}
	wait := q.estimateWait(j, now)
	if deadline.Meets(j.deadline.Sub(now), wait, j.expected) {
		return nil
	}
	q.counters.early.Inc(1)
	detail := fmt.Sprintf("the wait of about %v and the work of about %v do not fit into the deadline",
		wait.Round(time.Millisecond), j.expected.Round(time.Millisecond))
	return problem.Refuse(problem.Full, stepQueue, q.vm, detail).WithRetryAfter(max(wait, time.Second))
}

// estimateWait estimates how long a job that arrives now will wait for a slot.
func (q *queue) estimateWait(j *job, now time.Time) time.Duration {
	slots, _ := q.pool.capacity(now)
	ahead := q.waiting.Ahead(j.item.Customer, j.item.Class)
	if ahead == 0 {
		return 0
	}
	floor := q.pool.service.BackgroundFloor
	switch {
	case j.item.Class == fairqueue.Background:
		slots = max(slots*floor, slots-q.interactiveRate.Value(now))
	case q.waiting.ClassLen(fairqueue.Background) > 0:
		slots *= 1 - floor
	}
	return deadline.Wait(ahead, slots)
}

// unreachable reports whether no target has served for at least maxOwnerWait.
func (q *queue) unreachable(now time.Time) bool {
	if q.unreachableSince.IsZero() || now.Sub(q.unreachableSince) < maxOwnerWait {
		return false
	}
	slots, _ := q.pool.capacity(now)
	return slots == 0
}

func (q *queue) unreachableProblem() *problem.Error {
	return problem.Refuse(problem.Full, stepQueue, q.vm, "no target can be reached").WithRetryAfter(time.Second)
}

// dropThreshold is the wait of a standing queue, as a multiple of the bound, above which
// requests that already wait are dropped. Between the bound and the threshold only
// requests that have just arrived are refused: the bound and the slots are estimates that
// vary by a fifth, and following each variation would refuse requests that have already
// waited for 20 ms.
const dropThreshold = 1.5

// limitStandingQueue keeps a standing queue of interactive work at its bound. If no target
// can be reached, it refuses all jobs that are not sent. arrived is the job that has just
// arrived, or nil.
func (q *queue) limitStandingQueue(now time.Time, arrived *job) {
	if len(q.unsent) == 0 {
		q.updateStanding(now, 0, 0, 0)
		return
	}
	if q.unreachable(now) {
		q.failUnsent(q.counters.dead, q.unreachableProblem())
		return
	}
	if q.fifo || !q.serviceTimes.Known() {
		return
	}
	slots, total := q.pool.capacity(now)
	bound := deadline.MaxStandingWait(q.serviceTimes.Mean(), slots)
	if !q.updateStanding(now, q.interactiveWait(slots), bound, slots) {
		return
	}
	exceeds := func(factor float64) bool {
		return q.waiting.ClassLen(fairqueue.Interactive) > total && q.interactiveWait(slots) > time.Duration(factor*float64(bound))
	}
	if arrived != nil && exceeds(1) && q.waiting.DropIfOverShare(&arrived.item) {
		q.refuseStanding(arrived)
	}
	for exceeds(dropThreshold) {
		q.dropNewestOverShare()
	}
}

// dropNewestOverShare refuses the newest request of a customer that holds more of the queue
// than its share.
func (q *queue) dropNewestOverShare() {
	q.refuseStanding(q.waiting.DropNewestOverShare(fairqueue.Interactive).Value)
}

func (q *queue) refuseStanding(j *job) {
	q.counters.standing.Inc(1)
	q.fail(j, q.overloadProblem())
}

func (q *queue) overloadProblem() *problem.Error {
	return problem.Refuse(problem.Full, stepQueue, q.vm, "more work comes than the targets can do, and this customer holds more of the queue than its share").WithRetryAfter(time.Second)
}

// failUnsent ends all jobs that are not sent.
func (q *queue) failUnsent(count metrics.Counter, p *problem.Error) {
	for len(q.unsent) > 0 {
		count.Inc(1)
		q.fail(q.unsent[0], p)
	}
}

// interactiveWait returns how long the slots need for the waiting interactive work.
func (q *queue) interactiveWait(slots float64) time.Duration {
	return deadline.Wait(q.waiting.Work(fairqueue.Interactive), slots)
}

// updateStanding updates and returns whether the queue is a standing queue, and journals
// changes.
func (q *queue) updateStanding(now time.Time, wait, bound time.Duration, slots float64) bool {
	isStanding := q.standing.Update(now, wait, bound, slots)
	if isStanding != q.isStanding {
		q.isStanding = isStanding
		if isStanding {
			q.journal.Add(stepQueue, fmt.Sprintf("standing queue with a wait of %v: limited to a wait of %v from now on", wait.Round(time.Millisecond), bound.Round(time.Millisecond)), q.id.String())
		} else {
			q.journal.Add(stepQueue, "the standing queue has emptied: requests may wait up to their deadlines again", q.id.String())
		}
	}
	return isStanding
}
