package dispatch

import (
	"container/heap"
	"context"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/deadline"
	"hemlockquay/internal/decide/duration"
	"hemlockquay/internal/decide/fairqueue"
	"hemlockquay/internal/decide/retry"
	"hemlockquay/internal/feed"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/ring"
	"hemlockquay/internal/target"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// inboxLength bounds the messages that wait for the goroutine of a queue.
const inboxLength = 4096

// tickInterval is how often a queue that is not empty checks for changes that no message
// reports, such as the end of a target's back-off or a permit for a held request.
const tickInterval = 20 * time.Millisecond

// maxOwnerWait bounds how long a request waits for an owner, or for any target of its
// pool. A takeover takes less than a second; if it takes longer, its end cannot be
// predicted.
const maxOwnerWait = time.Second

// queueID identifies a queue by the target of a keyed service or by an unkeyed service.
type queueID struct {
	Service string
	// Target is "" for an unkeyed service.
	Target string
}

// String returns the name of the queue in logs and metrics.
func (id queueID) String() string {
	if id.Target == "" {
		return id.Service
	}
	return id.Service + "." + id.Target
}

// message is a message to the goroutine of a queue. One field is set.
type message struct {
	arrive *job
	cancel string
	result *result
	hints  []hint
	drain  bool
	// inspect is called on the goroutine of the queue, to read its state.
	inspect func()
}

// queueDeps holds the dependencies that all queues of a dispatcher share.
type queueDeps struct {
	vm         string
	limit      int
	fifo       bool
	feed       viewSource
	sender     sender
	prober     prober
	quarantine Quarantine
	journal    *journal.Journal
	registry   metrics.Registry
	counters   *counters
}

// viewSource is the part of feed.Feed that queues use.
type viewSource interface {
	Current() *view.View
	Changed() <-chan struct{}
}

var _ viewSource = (*feed.Feed)(nil)

// sender is the part of target.Sender that queues use.
type sender interface {
	Send(ctx context.Context, a *target.Attempt) (*wire.Answer, error)
}

// prober is the part of target.Prober that queues use.
type prober interface {
	Health(ctx context.Context, addr string) (target.Health, error)
	Load(ctx context.Context, addr string) (target.Load, error)
}

// queue is the queue of one target or pool. Its state is owned by the goroutine that
// executes run; others send messages to it through inbox.
type queue struct {
	*queueDeps
	id    queueID
	inbox *ring.Ring[message]
	// active is when the last request arrived, in Unix nanoseconds. pollHints reads it.
	active atomic.Int64

	// jobs holds all waiting and sent jobs by request id.
	jobs    map[string]*job
	waiting *fairqueue.Queue[*job]
	// parked holds the jobs that wait for an owner, held those that the quarantine holds
	// back.
	parked, held map[*job]struct{}
	// unsent holds all jobs that are not sent, by the time at which they are given up.
	unsent giveUpHeap
	pool   pool
	// workers runs the attempts.
	workers      *workerPool
	serviceTimes *duration.Table
	budget       *retry.Budget
	standing     deadline.StandingQueue
	isStanding   bool
	// interactiveRate is the rate at which interactive work is sent.
	interactiveRate deadline.Rate
	// unreachableSince is when the last target that served failed; zero while a target
	// answers.
	unreachableSince time.Time
	longRunning      int
	draining         bool
}

func newQueue(id queueID, p *queueDeps) *queue {
	return &queue{
		queueDeps:    p,
		id:           id,
		inbox:        ring.New[message](id.String(), inboxLength, ring.Wait, p.registry),
		jobs:         make(map[string]*job),
		waiting:      fairqueue.New[*job](p.limit, 0),
		parked:       make(map[*job]struct{}),
		held:         make(map[*job]struct{}),
		pool:         pool{fixedSlots: p.fifo},
		workers:      newWorkerPool(),
		serviceTimes: duration.NewTable(),
		budget:       retry.NewBudget(),
	}
}

func (q *queue) run(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	changed := q.feed.Changed()
	for {
		var arrived *job
		select {
		case m := <-q.inbox.Entries():
			arrived = m.arrive
			q.handle(m, time.Now())
		case <-timer.C:
			q.requeue(q.held)
			q.retryParked()
		case <-changed:
			changed = q.feed.Changed()
			q.requeue(q.parked)
			q.failMoved()
		case <-ctx.Done():
			return
		}
		now := time.Now()
		q.expire(now)
		q.sendWaiting(ctx, now)
		q.limitStandingQueue(now, arrived)
		q.resetTimer(timer, now)
	}
}

// resetTimer sets the timer to the next time at which something is due. It stops the
// timer if no job waits.
func (q *queue) resetTimer(timer *time.Timer, now time.Time) {
	if len(q.unsent) == 0 {
		timer.Stop()
		return
	}
	due := min(tickInterval, q.unsent[0].giveUp.Sub(now), q.pool.nextBackoffEnd(now))
	timer.Reset(max(due, time.Millisecond))
}

func (q *queue) handle(m message, now time.Time) {
	switch {
	case m.arrive != nil:
		q.arrive(m.arrive, now)
	case m.result != nil:
		q.handleResult(m.result, now)
	case m.cancel != "":
		q.cancel(m.cancel)
	case m.drain:
		q.drain()
	case m.inspect != nil:
		m.inspect()
	default:
		q.applyHints(m.hints, now)
	}
}

// arrive adds a job to the queue or refuses it at once.
func (q *queue) arrive(j *job, now time.Time) {
	q.active.Store(now.UnixNano())
	q.syncService()
	j.estimateCost(q.serviceTimes, q.fifo)
	if q.ownedElsewhere(q.feed.Current(), j) {
		j.fail(q.notOwnerProblem())
		return
	}
	if p := q.admissionProblem(j, now); p != nil {
		j.fail(p)
		return
	}
	if j.item.Class == fairqueue.Interactive {
		q.standing.AddArrival(j.item.Cost)
	}
	q.jobs[j.request.ID] = j
	q.scheduleGiveUp(j, deadline.LatestStart(j.deadline, q.reservedServiceTime(j)))
	if out := q.waiting.Push(&j.item); out != nil {
		q.counters.full.Inc(1)
		q.fail(out.Value, problem.Refuse(problem.Full, stepQueue, q.vm, "the queue is full and this customer holds most of it for its share").WithRetryAfter(time.Second))
	}
}

// reservedServiceTime returns how much of the time to the deadline is reserved for the
// service. It is 0 while there are no estimates.
func (q *queue) reservedServiceTime(j *job) time.Duration {
	if q.fifo || !q.serviceTimes.Known() {
		return 0
	}
	return j.expected
}

// scheduleGiveUp sets the time at which the job is given up if it has not been sent.
func (q *queue) scheduleGiveUp(j *job, giveUp time.Time) {
	j.giveUp = giveUp
	if j.giveUpIndex >= 0 {
		heap.Fix(&q.unsent, j.giveUpIndex)
		return
	}
	heap.Push(&q.unsent, j)
}

// removeWaiting removes a job from all collections of waiting jobs.
func (q *queue) removeWaiting(j *job) {
	if j.giveUpIndex >= 0 {
		heap.Remove(&q.unsent, j.giveUpIndex)
	}
	q.waiting.Remove(&j.item)
	delete(q.parked, j)
	delete(q.held, j)
}

// fail removes a waiting job and answers it with the problem.
func (q *queue) fail(j *job, p *problem.Error) {
	q.removeWaiting(j)
	delete(q.jobs, j.request.ID)
	j.fail(p)
}

// cancel handles a caller that went away. It ends the job if it waits; otherwise it
// cancels the attempt in flight, whose result then ends the job.
func (q *queue) cancel(id string) {
	j := q.jobs[id]
	switch {
	case j == nil:
	case j.giveUpIndex >= 0:
		q.fail(j, problem.Refuse(problem.Deadline, stepQueue, q.vm, "the caller went away"))
	default:
		j.cancel()
	}
}

// drain refuses at once all jobs that are not sent, so that entries send them to another
// dispatcher.
func (q *queue) drain() {
	q.draining = true
	for len(q.unsent) > 0 {
		q.fail(q.unsent[0], q.leavingProblem())
	}
}

func (q *queue) leavingProblem() *problem.Error {
	return problem.Refuse(problem.Leaving, stepQueue, q.vm, "the dispatcher is leaving")
}

// expire ends the jobs whose time to give up has come.
func (q *queue) expire(now time.Time) {
	for len(q.unsent) > 0 && !q.unsent[0].giveUp.After(now) {
		j := q.unsent[0]
		if _, parked := q.parked[j]; parked {
			q.counters.ownerless.Inc(1)
			q.fail(j, problem.Refuse(problem.NoOwner, "grant", q.vm, "the key got no owner in time").WithRetryAfter(time.Second))
			continue
		}
		q.counters.late.Inc(1)
		q.fail(j, problem.Refuse(problem.Deadline, stepQueue, q.vm, "no slot was free in time").WithRetryAfter(time.Second))
	}
}

// requeue moves parked or held jobs back into the queue.
func (q *queue) requeue(jobs map[*job]struct{}) {
	for j := range jobs {
		delete(jobs, j)
		q.scheduleGiveUp(j, deadline.LatestStart(j.deadline, q.reservedServiceTime(j)))
		q.waiting.Requeue(&j.item)
	}
}

// syncService applies the current version of the service to the pool and the queue.
func (q *queue) syncService() {
	s := q.feed.Current().Service(q.id.Service)
	if s == nil || s == q.pool.service {
		return
	}
	q.pool.sync(s, q.id.Target)
	q.waiting.SetFloor(s.BackgroundFloor)
}
