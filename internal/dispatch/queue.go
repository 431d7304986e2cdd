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

// ringLength is how many messages may wait for a queue's goroutine.
const ringLength = 4096

// tickEvery is how often a queue that is not empty looks after what no message
// announces: a target whose rest is over, a held request.
const tickEvery = 20 * time.Millisecond

// ownerlessFor bounds how long a request waits for an owner or for any target of
// its pool. A takeover takes under a second; longer means that nobody can say when.
const ownerlessFor = time.Second

// queueID names a queue: a target of a keyed service, or a whole pool.
type queueID struct {
	Service string
	// Target is "" for the pool of an unkeyed service.
	Target string
}

// String returns the name for logs and metrics.
func (id queueID) String() string {
	if id.Target == "" {
		return id.Service
	}
	return id.Service + "." + id.Target
}

// message is what a queue's goroutine receives; one field is set.
type message struct {
	arrive *job
	cancel string
	result *result
	hints  []hint
	drain  bool
	// inspect reads the queue's state.
	inspect func()
}

// parts are what all queues of a dispatcher share.
type parts struct {
	vm       string
	limit    int
	fifo     bool
	feed     viewSource
	sender   sender
	prober   prober
	suspects Suspects
	journal  *journal.Journal
	registry metrics.Registry
	counts   *counts
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

// queue is the queue of one target or pool. Its state belongs to one goroutine,
// run; all else speaks to it through the ring.
type queue struct {
	*parts
	id    queueID
	inbox *ring.Ring[message]
	// active is when a request came last, nanoseconds; for the prober.
	active atomic.Int64

	// jobs are all that wait or are sent, by request id.
	jobs    map[string]*job
	waiting *fairqueue.Queue[*job]
	// parked wait for the next view, held until suspects are permitted.
	parked, held map[*job]struct{}
	// given orders all that are not sent by the moment they are given up.
	given waitHeap
	pool  pool
	// worker pool runs the attempts.
	workers  *workerPool
	table    *duration.Table
	budget   *retry.Budget
	standing deadline.StandingQueue
	stands   bool
	// urgent is the rate of interactive work.
	urgent deadline.Rate
	// deadSince is when the last target that served failed; zero while one serves.
	deadSince   time.Time
	longRunning int
	draining    bool
}

func newQueue(id queueID, p *parts) *queue {
	return &queue{
		parts:   p,
		id:      id,
		inbox:   ring.New[message](id.String(), ringLength, ring.Wait, p.registry),
		jobs:    make(map[string]*job),
		waiting: fairqueue.New[*job](p.limit, 0),
		parked:  make(map[*job]struct{}),
		held:    make(map[*job]struct{}),
		pool:    pool{fixed: p.fifo},
		workers: newWorkerPool(),
		table:   duration.NewTable(),
		budget:  retry.NewBudget(),
	}
}

func (q *queue) run(ctx context.Context) {
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	changed := q.feed.Changed()
	for {
		var came *job
		select {
		case m := <-q.inbox.Entries():
			came = m.arrive
			q.handle(m, time.Now())
		case <-timer.C:
			q.release(q.held)
			q.probe()
		case <-changed:
			changed = q.feed.Changed()
			q.release(q.parked)
			q.sendBack()
		case <-ctx.Done():
			return
		}
		now := time.Now()
		q.expire(now)
		q.fill(ctx, now)
		q.trim(now, came)
		q.rearm(timer, now)
	}
}

// rearm sets the timer to the next moment at which something is due. An empty
// queue sleeps.
func (q *queue) rearm(timer *time.Timer, now time.Time) {
	if len(q.given) == 0 {
		timer.Stop()
		return
	}
	due := min(tickEvery, q.given[0].giveUp.Sub(now), q.pool.nextReturn(now))
	timer.Reset(max(due, time.Millisecond))
}

func (q *queue) handle(m message, now time.Time) {
	switch {
	case m.arrive != nil:
		q.arrive(m.arrive, now)
	case m.result != nil:
		q.finish(m.result, now)
	case m.cancel != "":
		q.drop(m.cancel)
	case m.drain:
		q.drain()
	case m.inspect != nil:
		m.inspect()
	default:
		q.learn(m.hints, now)
	}
}

// arrive takes a job in or refuses it at once.
func (q *queue) arrive(j *job, now time.Time) {
	q.active.Store(now.UnixNano())
	q.sync()
	j.settle(q.table, q.fifo)
	if q.ownedElsewhere(q.feed.Current(), j) {
		j.end(q.notOwner())
		return
	}
	if p := q.refusal(j, now); p != nil {
		j.end(p)
		return
	}
	if j.item.Class == fairqueue.Interactive {
		q.standing.AddArrival(j.item.Cost)
	}
	q.jobs[j.request.ID] = j
	q.await(j, deadline.LatestStart(j.deadline, q.patience(j)))
	if out := q.waiting.Push(&j.item); out != nil {
		q.counts.full.Inc(1)
		q.end(out.Value, problem.Refuse(problem.Full, stepQueue, q.vm, "the queue is full and this customer holds most of it for its share").WithRetryAfter(time.Second))
	}
}

// patience is how much of the deadline is set aside for the service.
func (q *queue) patience(j *job) time.Duration {
	if q.fifo || !q.table.Known() {
		return 0
	}
	return j.expected
}

// await notes when a job that is not sent is given up.
func (q *queue) await(j *job, giveUp time.Time) {
	j.giveUp = giveUp
	if j.wait >= 0 {
		heap.Fix(&q.given, j.wait)
		return
	}
	heap.Push(&q.given, j)
}

// forget takes a job out of all that waits.
func (q *queue) forget(j *job) {
	if j.wait >= 0 {
		heap.Remove(&q.given, j.wait)
	}
	q.waiting.Remove(&j.item)
	delete(q.parked, j)
	delete(q.held, j)
}

// end forgets a job that waits and gives it its answer.
func (q *queue) end(j *job, p *problem.Error) {
	q.forget(j)
	delete(q.jobs, j.request.ID)
	j.end(p)
}

// drop ends a job whose caller went away. An attempt in flight is cancelled at
// the target; its result ends the job.
func (q *queue) drop(id string) {
	j := q.jobs[id]
	switch {
	case j == nil:
	case j.wait >= 0:
		q.end(j, problem.Refuse(problem.Deadline, stepQueue, q.vm, "the caller went away"))
	default:
		j.cancel()
	}
}

// drain refuses all that is not sent, at once, so that entries send it on.
func (q *queue) drain() {
	q.draining = true
	for len(q.given) > 0 {
		q.end(q.given[0], q.leaving())
	}
}

func (q *queue) leaving() *problem.Error {
	return problem.Refuse(problem.Leaving, stepQueue, q.vm, "the dispatcher is leaving")
}

// expire ends the jobs that are past hope.
func (q *queue) expire(now time.Time) {
	for len(q.given) > 0 && !q.given[0].giveUp.After(now) {
		j := q.given[0]
		if _, parked := q.parked[j]; parked {
			q.counts.ownerless.Inc(1)
			q.end(j, problem.Refuse(problem.NoOwner, "grant", q.vm, "the key got no owner in time").WithRetryAfter(time.Second))
			continue
		}
		q.counts.late.Inc(1)
		q.end(j, problem.Refuse(problem.Deadline, stepQueue, q.vm, "no slot was free in time").WithRetryAfter(time.Second))
	}
}

// release puts jobs back that were set aside.
func (q *queue) release(jobs map[*job]struct{}) {
	for j := range jobs {
		delete(jobs, j)
		q.await(j, deadline.LatestStart(j.deadline, q.patience(j)))
		q.waiting.Requeue(&j.item)
	}
}

// sync takes over the service object in force.
func (q *queue) sync() {
	s := q.feed.Current().Service(q.id.Service)
	if s == nil || s == q.pool.service {
		return
	}
	q.pool.sync(s, q.id.Target)
	q.waiting.SetFloor(s.BackgroundFloor)
}
