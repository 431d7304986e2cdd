package dispatch

import (
	"context"
	"time"

	"hemlockquay/charts"
	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/duration"
	"hemlockquay/internal/decide/fairqueue"
	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/wire"
)

// requestChart is the state chart of a request; see charts/request.jsonc.
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

// job is a request in a queue. It is owned by the goroutine of the queue, except for
// done.
type job struct {
	request  *wire.Request
	deadline time.Time
	// expires is deadline on the clock that counts the time for which the VM was suspended.
	expires time.Duration
	state   *statechart.Machine
	kind    duration.Kind
	// item is its place in the fair queue.
	item fairqueue.Item[*job]
	// expected is the expected service time of the request's kind.
	expected time.Duration
	// arrivedAt is when it entered the queue.
	arrivedAt time.Time
	// parkedAt is when the job first waited for an owner; zero if it never did.
	parkedAt time.Time
	// giveUp is when the job fails if it has not been sent until then; giveUpIndex
	// is its index in the queue's giveUpHeap, -1 if it is not in there.
	giveUp      time.Time
	giveUpIndex int

	attempts int
	// lostBefore reports whether the answer of an earlier attempt was lost, so that
	// it may have run.
	lostBefore bool
	// lastTarget is the target of the last attempt; the next one prefers another.
	lastTarget *poolTarget
	// grant is the grant that the last attempt was sent with; nil for an unkeyed
	// service.
	grant *wire.Grant
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// cancel cancels the attempt in flight.
	cancel context.CancelFunc
	// done receives the only answer; it is buffered, so that sending does not block.
	done chan wire.Answer
}

func newJob(r *wire.Request, now time.Time) *job {
	j := &job{
		request:     r,
		deadline:    now.Add(r.Budget),
		expires:     boottime.System{}.Now() + r.Budget,
		state:       requestChart.Start(),
		kind:        duration.KindOf(r.Customer, r.Method, r.Path),
		arrivedAt:   now,
		giveUpIndex: -1,
		done:        make(chan wire.Answer, 1),
	}
	j.item.Value = j
	return j
}

// estimateCost sets the expected service time and the fields that determine the order.
func (j *job) estimateCost(t *duration.Table, fifo bool) {
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

// mayHaveRun reports whether the answer of an earlier attempt was lost.
func (j *job) mayHaveRun() bool { return j.state.State() == stateUnsettled }

// answer ends the job with the answer of a target.
func (j *job) answer(a wire.Answer) {
	if j.state.Fire(eventAnswer) == nil {
		j.done <- a
	}
}

// fail ends a waiting job. It is refused as not run, unless an earlier attempt may have
// run: in that case the state chart has no transition to a refusal, and the answer says
// that it is unknown whether the request ran.
func (j *job) fail(p *problem.Error) {
	if j.mayHaveRun() {
		j.failUnknown(p.AsLost())
		return
	}
	if j.state.Fire(eventRefuse) == nil {
		j.done <- wire.ProblemAnswer(j.request.ID, p)
	}
}

// failUnknown ends a job that may have run; the problem p says so.
func (j *job) failUnknown(p *problem.Error) {
	if j.state.Fire(eventLose) == nil {
		j.done <- wire.ProblemAnswer(j.request.ID, p)
	}
}

// giveUpHeap orders jobs by the time at which they are given up. It implements
// heap.Interface.
type giveUpHeap []*job

func (h giveUpHeap) Len() int           { return len(h) }
func (h giveUpHeap) Less(a, b int) bool { return h[a].giveUp.Before(h[b].giveUp) }

func (h giveUpHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].giveUpIndex, h[b].giveUpIndex = a, b
}

func (h *giveUpHeap) Push(x any) {
	j := x.(*job)
	j.giveUpIndex = len(*h)
	*h = append(*h, j)
}

func (h *giveUpHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.giveUpIndex = -1
	return j
}
