package dispatch

import (
	"context"
	"time"

	"hemlockquay/charts"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/wire"
)

// requestChart is the life of a request; see charts/request.jsonc.
var requestChart = charts.MustLoad("request")

// Events of the chart.
const (
	eventSend   statechart.Event = "send"
	eventAnswer statechart.Event = "answer"
	eventShed   statechart.Event = "shed"
	eventUnsent statechart.Event = "unsent"
	eventRefuse statechart.Event = "refuse"
	eventLose   statechart.Event = "lose"
	eventRepeat statechart.Event = "repeat"
)

// job is a request in a queue. Its queue's goroutine owns it, except for done.
type job struct {
	request  *wire.Request
	deadline time.Time
	state    *statechart.Machine
	attempts int
	// lastTarget was tried last; another is preferred.
	lastTarget string
	// cancel ends the attempt that is on its way.
	cancel context.CancelFunc
	// done receives the one answer; it has room for it.
	done chan wire.Answer
}

func newJob(r *wire.Request, now time.Time) *job {
	return &job{request: r, deadline: now.Add(r.Budget), state: requestChart.Start(), done: make(chan wire.Answer, 1)}
}

// answer ends the job with a whole answer.
func (j *job) answer(a wire.Answer) {
	if j.state.Fire(eventAnswer) == nil {
		j.done <- a
	}
}

// refuse ends a job that was not run. The chart forbids it for a job that is
// sent: a promise that cannot be kept is not made.
func (j *job) refuse(p *problem.Error) {
	if j.state.Fire(eventRefuse) == nil {
		j.done <- wire.Refused(j.request.ID, p)
	}
}

// lose ends a job that may have run.
func (j *job) lose(p *problem.Error) {
	if j.state.Fire(eventLose) == nil {
		j.done <- wire.Refused(j.request.ID, p)
	}
}
