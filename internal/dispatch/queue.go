package dispatch

import (
	"context"
	"errors"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/feed"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/ring"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/target"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// ringLength is how many messages may wait for a queue's goroutine.
const ringLength = 4096

// sweepEvery is how often a queue looks for requests past their deadline.
const sweepEvery = 10 * time.Millisecond

// queueID names a queue: a target of a keyed service, or a whole pool.
type queueID struct {
	Service string
	// Target is "" for the pool of an unkeyed service.
	Target string
}

// message is what a queue's goroutine receives.
type message struct {
	arrive *job
	cancel string
	result *result
}

// result is the end of one attempt.
type result struct {
	job    *job
	target string
	answer *wire.Answer
	err    error
}

// queue is the queue of one target or pool. Its state belongs to one goroutine,
// run; all else speaks to it through the ring.
type queue struct {
	id       queueID
	peer     string
	limit    int
	feed     *feed.Feed
	sender   *target.Sender
	suspects Suspects
	inbox    *ring.Ring[message]

	waiting  []*job
	inFlight map[string]int
	sent     map[string]*job
}

func newQueue(id queueID, peer string, limit int, f *feed.Feed, sender *target.Sender, suspects Suspects, registry metrics.Registry) *queue {
	name := id.Service
	if id.Target != "" {
		name += "." + id.Target
	}
	q := &queue{
		id:       id,
		peer:     peer,
		limit:    limit,
		feed:     f,
		sender:   sender,
		suspects: suspects,
		inbox:    ring.New[message](name, ringLength, ring.Wait, registry),
		inFlight: make(map[string]int),
		sent:     make(map[string]*job),
	}
	return q
}

func (q *queue) run(ctx context.Context) {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case m := <-q.inbox.Entries():
			q.handle(m)
		case <-sweep.C:
			q.expire(time.Now())
		case <-ctx.Done():
			return
		}
		q.fill(ctx)
	}
}

func (q *queue) handle(m message) {
	switch {
	case m.arrive != nil:
		q.arrive(m.arrive)
	case m.result != nil:
		q.finish(m.result)
	case m.cancel != "":
		q.drop(m.cancel)
	}
}

func (q *queue) arrive(j *job) {
	if len(q.waiting) >= q.limit {
		j.refuse(problem.Refuse(problem.Full, "queue", q.peer, "the queue is full").After(time.Second))
		return
	}
	q.waiting = append(q.waiting, j)
}

func (q *queue) drop(id string) {
	for i, j := range q.waiting {
		if j.request.ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			j.refuse(problem.Refuse(problem.Deadline, "queue", q.peer, "the caller went away"))
			return
		}
	}
	if j := q.sent[id]; j != nil {
		j.cancel()
	}
}

// expire refuses requests whose callers have stopped waiting.
func (q *queue) expire(now time.Time) {
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		if now.Before(j.deadline) {
			kept = append(kept, j)
			continue
		}
		j.refuse(problem.Refuse(problem.Deadline, "queue", q.peer, "no slot was free before the deadline"))
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// fill sends waiting requests while slots are free.
func (q *queue) fill(ctx context.Context) {
	v := q.feed.Current()
	s := v.Service(q.id.Service)
	if s == nil {
		return
	}
	for len(q.waiting) > 0 {
		j := q.waiting[0]
		t, ok := q.choose(s, j)
		if !ok {
			return
		}
		admission, p := q.suspects.Admit(j.request, time.Now())
		if admission == AdmitHold {
			return
		}
		q.waiting = q.waiting[1:]
		if admission == AdmitRefuse {
			j.refuse(p)
			continue
		}
		q.send(ctx, v, s, t, j)
	}
}

// choose returns the target with the fewest requests in flight that has a slot.
func (q *queue) choose(s *model.Service, j *job) (model.Target, bool) {
	var best model.Target
	found := false
	for _, t := range s.Targets {
		if q.id.Target != "" && t.Name != q.id.Target || q.inFlight[t.Name] >= s.Slots {
			continue
		}
		if !found || q.inFlight[t.Name] < q.inFlight[best.Name] || best.Name == j.lastTarget {
			best, found = t, true
		}
	}
	return best, found
}

func (q *queue) send(ctx context.Context, v *view.View, s *model.Service, t model.Target, j *job) {
	var grant *wire.Grant
	if s.Keyed {
		grant = v.Owner(s.Name, keyspace.Of(j.request.Key))
		if grant == nil || grant.Target.Name != t.Name {
			j.refuse(problem.Refuse(problem.NoOwner, "grant", t.Name, "the key is not owned by this target now"))
			return
		}
	}
	if j.state.Fire(eventSend) != nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	j.cancel, j.lastTarget = cancel, t.Name
	j.attempts++
	q.inFlight[t.Name]++
	q.sent[j.request.ID] = j
	q.suspects.Started(t.Name, j.request, time.Now())
	attempt := &target.Attempt{Request: j.request, Target: t, Grant: grant, MaxAnswer: s.MaxBody, Deadline: j.deadline}
	go func() {
		defer cancel()
		answer, err := q.sender.Send(ctx, attempt)
		_ = q.inbox.Push(context.Background(), message{result: &result{job: j, target: t.Name, answer: answer, err: err}})
	}()
}

// finish ends an attempt: with the answer, or with the rules of repeating.
func (q *queue) finish(r *result) {
	j := r.job
	q.inFlight[r.target]--
	delete(q.sent, j.request.ID)
	q.suspects.Finished(r.target, j.request, time.Now())
	var refused *target.RefusedError
	switch {
	case r.err == nil:
		j.answer(*r.answer)
	case errors.As(r.err, &refused):
		q.requeue(j, eventShed, problem.NoOwner, r.err)
	case errors.Is(r.err, target.ErrUnsent):
		q.requeue(j, eventUnsent, problem.Full, r.err)
	case errors.Is(r.err, context.DeadlineExceeded):
		j.lose(problem.Lost(problem.Deadline, "send", r.target, "the deadline passed before the answer"))
	default:
		j.lose(problem.Lost(problem.AnswerLost, "send", r.target, r.err.Error()))
	}
}

// maxAttempts bounds how often a request is sent when targets refuse it.
const maxAttempts = 3

func (q *queue) requeue(j *job, e statechart.Event, kind problem.Kind, err error) {
	if j.state.Fire(e) != nil {
		return
	}
	if j.attempts >= maxAttempts {
		j.refuse(problem.Refuse(kind, "send", j.lastTarget, err.Error()).After(time.Second))
		return
	}
	q.waiting = append([]*job{j}, q.waiting...)
}
