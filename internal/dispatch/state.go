package dispatch

import (
	"context"
	"time"

	"hemlockquay/internal/decide/fairqueue"
)

// inspectTimeout bounds how long a state dump waits for the goroutine of a queue.
const inspectTimeout = 200 * time.Millisecond

// QueueState is the state of a queue in the dump.
type QueueState struct {
	Service     string `json:"service"`
	Target      string `json:"target,omitempty"`
	Inbox       int    `json:"inbox"`
	Interactive int    `json:"interactive"`
	Background  int    `json:"background"`
	// Parked is the number of requests that wait for an owner, Held of those that the
	// quarantine holds back.
	Parked int `json:"parked"`
	Held   int `json:"held"`
	// Standing reports whether the queue is a standing queue, which is kept at its
	// bound.
	Standing bool `json:"standing"`
	// MeanMs is the mean service time in milliseconds.
	MeanMs  float64       `json:"meanMs"`
	Targets []TargetState `json:"targets"`
}

// TargetState is the state of a target in the dump, as measured by its queue.
type TargetState struct {
	Name     string  `json:"name"`
	InFlight int     `json:"inFlight"`
	Limit    int     `json:"limit"`
	Slowness float64 `json:"slowness"`
	Slow     bool    `json:"slow"`
	Serves   bool    `json:"serves"`
	Leaving  bool    `json:"leaving"`
}

// inspect runs do on the goroutine of the queue, the only one that may read its state. It
// may return without having run do.
func (q *queue) inspect(ctx context.Context, do func(q *queue)) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	done := make(chan struct{})
	m := message{inspect: func() {
		defer close(done)
		do(q)
	}}
	if q.inbox.Push(ctx, m) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// state returns the state of the queue for the dump. If the goroutine of the queue does
// not answer in time, the state has only the depth of the inbox.
func (q *queue) state(ctx context.Context) QueueState {
	states := make(chan QueueState, 1)
	q.inspect(ctx, func(q *queue) { states <- q.describe(time.Now()) })
	select {
	case s := <-states:
		return s
	default:
		return QueueState{Service: q.id.Service, Target: q.id.Target, Inbox: q.inbox.Depth()}
	}
}

func (q *queue) describe(now time.Time) QueueState {
	s := QueueState{
		Service: q.id.Service, Target: q.id.Target, Inbox: q.inbox.Depth(),
		Interactive: q.waiting.ClassLen(fairqueue.Interactive), Background: q.waiting.ClassLen(fairqueue.Background),
		Parked: len(q.parked), Held: len(q.held), Standing: q.isStanding, MeanMs: q.serviceTimes.Mean().Seconds() * 1000,
	}
	for _, t := range q.pool.targets {
		m := &t.measured
		s.Targets = append(s.Targets, TargetState{
			Name: t.Name, InFlight: m.InFlight, Limit: m.Limit, Slowness: m.Slowness(), Slow: m.Slow(),
			Serves: m.Serves(now), Leaving: m.Leaving(now),
		})
	}
	return s
}
