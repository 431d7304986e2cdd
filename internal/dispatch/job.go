package dispatch

import (
	"context"
	"time"

	"hemlockquay/charts"
	"hemlockquay/internal/decide/duration"
	"hemlockquay/internal/decide/fairqueue"
	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/wire"
)

// requestChart is the life of a request; see charts/request.jsonc.
var requestChart = charts.MustLoad("request")

// Events and states of the chart.
const (
	eventSend   statechart.Event = "send"
	eventAnswer statechart.Event = "answer"
	eventShed   statechart.Event = "shed"
	eventUnsent statechart.Event = "unsent"
	eventRefuse statechart.Event = "refuse"
	eventLose   statechart.Event = "lose"
	eventRepeat statechart.Event = "repeat"

	stateUnsettled statechart.State = "unsettled"
)

// job is a request in a queue. Its queue's goroutine owns it, except for done.
type job struct {
	request  *wire.Request
	deadline time.Time
	state    *statechart.Machine
	kind     duration.Kind
	// item is its place in the fair queue.
	item fairqueue.Item[*job]
	// expected is the service time that the kind is expected to take.
	expected time.Duration
	// came is when it entered the queue.
	came time.Time
	// parkedAt is when it first waited for an owner; zero if it never did.
	parkedAt time.Time
	// giveUp is when it is ended if it was not sent; wait is its place in the
	// heap of these moments, -1 for none.
	giveUp time.Time
	wait   int

	attempts int
	// lostBefore says that an earlier attempt may have run.
	lostBefore bool
	// last was tried last; another is preferred.
	last *pooled
	// grant is what the last attempt was sent by; nil where unkeyed.
	grant *wire.Grant
	// sentAt is when the attempt in flight was begun.
	sentAt time.Time
	// cancel ends the attempt that is in flight.
	cancel context.CancelFunc
	// done receives the one answer; it has room for it.
	done chan wire.Answer
}

func newJob(r *wire.Request, now time.Time) *job {
	j := &job{
		request:  r,
		deadline: now.Add(r.Budget),
		state:    requestChart.Start(),
		kind:     duration.KindOf(r.Customer, r.Method, r.Path),
		came:     now,
		wait:     -1,
		done:     make(chan wire.Answer, 1),
	}
	j.item.Value = j
	return j
}

// settle fills in what the order needs.
func (j *job) settle(t *duration.Table, fifo bool) {
	j.expected = t.Expect(j.kind)
	j.item.Cost, j.item.Weight = j.expected.Seconds(), 1
	if fifo {
		return
	}
	j.item.Customer, j.item.Weight = j.request.Customer, j.request.Weight
	j.item.Long = t.Long(j.kind)
	if j.request.Class == model.Background {
		j.item.Class = fairqueue.Background
	}
}

// mayHaveRun reports whether an earlier attempt was lost.
func (j *job) mayHaveRun() bool { return j.state.State() == stateUnsettled }

// answer ends the job with a whole answer.
func (j *job) answer(a wire.Answer) {
	if j.state.Fire(eventAnswer) == nil {
		j.done <- a
	}
}

// end ends a job that waits. It is refused as not run, unless an earlier attempt
// may have run: the chart has no way from there to a refusal, since a promise that
// cannot be kept is not made.
func (j *job) end(p *problem.Error) {
	if j.mayHaveRun() {
		lost := *p
		lost.Ran = problem.RanUnknown
		j.lose(&lost)
		return
	}
	if j.state.Fire(eventRefuse) == nil {
		j.done <- wire.ProblemAnswer(j.request.ID, p)
	}
}

// lose ends a job that may have run.
func (j *job) lose(p *problem.Error) {
	if j.state.Fire(eventLose) == nil {
		j.done <- wire.ProblemAnswer(j.request.ID, p)
	}
}

// waitHeap orders jobs by the moment at which they are given up. It implements
// heap.Interface.
type waitHeap []*job

func (h waitHeap) Len() int           { return len(h) }
func (h waitHeap) Less(a, b int) bool { return h[a].giveUp.Before(h[b].giveUp) }

func (h waitHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].wait, h[b].wait = a, b
}

func (h *waitHeap) Push(x any) {
	j := x.(*job)
	j.wait = len(*h)
	*h = append(*h, j)
}

func (h *waitHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.wait = -1
	return j
}
