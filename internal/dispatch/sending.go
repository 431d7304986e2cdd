package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockquay/internal/decide/balance"
	"hemlockquay/internal/decide/deadline"
	"hemlockquay/internal/decide/fairqueue"
	"hemlockquay/internal/decide/retry"
	"hemlockquay/internal/decide/slots"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/target"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// result is the end of one attempt.
type result struct {
	job    *job
	target *pooled
	answer *wire.Answer
	err    error
	took   time.Duration
	// died says that the target was gone right after the connection broke.
	died bool
}

// fill sends waiting requests while slots are free.
func (q *queue) fill(ctx context.Context, now time.Time) {
	if q.waiting.Len() == 0 {
		return
	}
	q.sync()
	v := q.feed.Current()
	if v.Service(q.id.Service) == nil || len(q.pool.targets) == 0 {
		q.refuseAll(problem.Refuse(problem.UnknownService, stepQueue, q.vm, "the service or target is gone"))
		return
	}
	// aside holds requests that only the target just tried could take now.
	var aside []*job
	for q.waiting.Len() > 0 && q.choose(nil, now) != nil {
		item := q.waiting.Next(q.longMayRun(now))
		if item == nil {
			break
		}
		t := q.choose(item.Value, now)
		if t == nil {
			aside = append(aside, item.Value)
			continue
		}
		q.launch(ctx, v, t, item.Value, now)
	}
	for _, j := range aside {
		q.waiting.Requeue(&j.item)
	}
}

// refuseAll ends everything that waits for a slot.
func (q *queue) refuseAll(p *problem.Error) {
	for item := q.waiting.Next(true); item != nil; item = q.waiting.Next(true) {
		q.end(item.Value, p)
	}
}

// longMayRun reports whether a long job may take a slot now.
func (q *queue) longMayRun(now time.Time) bool {
	_, total := q.pool.capacity(now)
	return q.fifo || q.longRunning < slots.MaxLongJobs(total)
}

// choose returns the target for the job, or nil if it must wait; j nil asks
// whether any target is free.
func (q *queue) choose(j *job, now time.Time) *pooled {
	effective, _ := q.pool.capacity(now)
	c := balance.Choice{Now: now, Avoid: -1, Service: q.table.Mean()}
	c.Wait = deadline.Wait(q.waiting.Work(fairqueue.Interactive)+q.waiting.Work(fairqueue.Background), effective)
	if j != nil && j.last != nil {
		c.Avoid = q.pool.index(j.last)
	}
	i := balance.Choose(q.pool.measured, c)
	if i < 0 {
		return nil
	}
	return q.pool.targets[i]
}

// launch sends the job, unless it is held, refused or without an owner.
func (q *queue) launch(ctx context.Context, v *view.View, t *pooled, j *job, now time.Time) {
	switch admission, p := q.suspects.Admit(t.Name, j.request, now); admission {
	case AdmitHold:
		q.held[j] = struct{}{}
		return
	case AdmitRefuse:
		q.end(j, p)
		return
	}
	var grant *wire.Grant
	if q.pool.service.Keyed {
		grant = v.Owner(q.id.Service, keyspace.PointOf(j.request.Key))
		if grant == nil {
			q.park(j, now)
			return
		}
		if grant.Target.Name != t.Name {
			q.end(j, problem.Refuse(problem.NoOwner, "grant", t.Name, "another target owns the key now"))
			return
		}
	}
	q.send(ctx, t, grant, j, now)
}

// park lets a job wait for the next view.
// During a planned move no target has the slice for a moment. The wait is bounded by the queue's limit
// and by ownerlessFor, counted from when the job first waited.
func (q *queue) park(j *job, now time.Time) {
	if j.parkedAt.IsZero() {
		j.parkedAt = now
	}
	q.parked[j] = struct{}{}
	giveUp := deadline.LatestStart(j.deadline, q.patience(j))
	if bound := j.parkedAt.Add(ownerlessFor); bound.Before(giveUp) {
		giveUp = bound
	}
	q.await(j, giveUp)
}

func (q *queue) send(ctx context.Context, t *pooled, grant *wire.Grant, j *job, now time.Time) {
	if j.state.Fire(eventSend) != nil {
		return
	}
	q.forget(j)
	sending, cancel := context.WithDeadline(ctx, j.deadline)
	j.cancel, j.last, j.sentAt, j.grant = cancel, t, now, grant
	j.attempts++
	q.counts.sent.Inc(1)
	if j.attempts == 1 {
		q.budget.AddRequest()
	} else {
		q.counts.repeated.Inc(1)
	}
	if j.item.Long {
		q.longRunning++
	}
	if j.item.Class == fairqueue.Interactive {
		q.urgent.Add(now, j.item.Cost)
	}
	t.measured.Sent(now)
	t.running[j] = struct{}{}
	q.suspects.Started(t.Name, j.request, now)
	attempt := &target.Attempt{Request: j.request, Target: t.Target, Grant: grant, MaxAnswer: q.pool.service.MaxBody, Deadline: j.deadline}
	incarnation := t.incarnation
	q.workers.run(ctx, func() { q.attempt(sending, cancel, attempt, &result{job: j, target: t}, incarnation) })
}

// attempt sends once and reports the result.
func (q *queue) attempt(ctx context.Context, cancel context.CancelFunc, a *target.Attempt, r *result, incarnation string) {
	defer cancel()
	begun := time.Now()
	r.answer, r.err = q.sender.Send(ctx, a)
	r.took = time.Since(begun)
	if r.err != nil && outcome(r.err) == retry.Lost {
		r.died = q.gone(a.Target.Addr, incarnation)
	}
	_ = q.inbox.Push(context.Background(), message{result: r})
}

// outcome classes the end of an attempt that brought no answer.
func outcome(err error) retry.Outcome {
	var refused *target.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == target.RefusedShed:
		return retry.Shed
	case errors.As(err, &refused):
		return retry.NotServing
	case errors.Is(err, target.ErrUnsent):
		return retry.Unsent
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return retry.Abandoned
	}
	return retry.Lost
}

// finish ends an attempt: with the answer, or with the rules of repeating.
func (q *queue) finish(r *result, now time.Time) {
	j, t := r.job, r.target
	t.measured.InFlight--
	if j.item.Long {
		q.longRunning--
	}
	q.reportCrash(r, now)
	delete(t.running, j)
	q.release(q.held)
	if r.err == nil {
		q.answered(r, now)
		return
	}
	out := outcome(r.err)
	q.measure(r, out, now)
	if out == retry.NotServing && q.pool.service.Keyed {
		q.unowned(j, now)
		return
	}
	q.again(j, out, r.err, now)
}

// reportCrash reports the end of the attempt to the watch over crashing requests.
//
// A target that dies breaks all its connections. The first result to come reports
// them together; the others belong to the same death and are not reported again.
func (q *queue) reportCrash(r *result, now time.Time) {
	switch {
	case r.died && r.job.sentAt.After(r.target.diedAt):
		r.target.diedAt = now
		q.suspects.Died(r.target.Name, r.target.requests(), now)
	case r.job.sentAt.After(r.target.diedAt):
		q.suspects.Finished(r.target.Name, r.job.request, r.err == nil, now)
	}
}

func (q *queue) answered(r *result, now time.Time) {
	j, t := r.job, r.target
	q.deadSince = time.Time{}
	wasSlow := t.measured.Slow()
	t.measured.Answered(r.took, j.expected)
	if slow := t.measured.Slow(); slow != wasSlow {
		q.journal.Add("send", fmt.Sprintf("slow is now %v: answers take %.1f times what is expected", slow, t.measured.Slowness()), q.id.String(), t.Name)
	}
	if !t.measured.Slow() || q.pool.mostlySlow() {
		q.table.Add(j.kind, r.took)
	}
	t.limit.OnAnswer(now, q.pool.service.Slots, t.measured.Slow())
	q.pool.update(t)
	if !j.parkedAt.IsZero() {
		q.release(q.parked)
	}
	delete(q.jobs, j.request.ID)
	j.answer(*r.answer)
}

// measure notes what a failed attempt says of its target.
func (q *queue) measure(r *result, out retry.Outcome, now time.Time) {
	t := r.target
	switch {
	case out == retry.Shed:
		t.limit.OnShed(now, q.pool.service.Slots)
		q.pool.update(t)
	case out == retry.Unsent || r.died:
		rest := t.measured.Failed(now)
		q.journal.Add("send", fmt.Sprintf("connection failed, no work for %v: %v", rest, r.err), q.id.String(), t.Name)
		if free, _ := q.pool.capacity(now); free == 0 && q.deadSince.IsZero() {
			q.deadSince = now
		}
	case out == retry.NotServing && !q.pool.service.Keyed:
		t.measured.RefusedLeaving(now)
		q.journal.Add("send", "gets no new work: "+r.err.Error(), q.id.String(), t.Name)
	case out == retry.Abandoned:
		q.counts.abandoned.Inc(1)
		t.measured.Overdue(r.took, r.job.expected)
	}
}

// unowned parks a job that a target refused for its grant.
func (q *queue) unowned(j *job, now time.Time) {
	if j.state.Fire(eventShed) != nil {
		return
	}
	if q.draining {
		q.end(j, q.leaving())
		return
	}
	q.parkUnlessNew(j, now)
}

// again repeats a failed job or ends it.
func (q *queue) again(j *job, out retry.Outcome, err error, now time.Time) {
	verdict := q.budget.Decide(retry.Attempt{
		Outcome: out, Idempotent: j.request.Idempotent, Attempts: j.attempts,
		Remaining: j.deadline.Sub(now), ServiceTime: q.patience(j), MayHaveRun: j.lostBefore,
	})
	if verdict == retry.AnswerUnknown {
		q.lose(j, out, err)
		return
	}
	event := map[retry.Outcome]statechart.Event{
		retry.Shed: eventShed, retry.NotServing: eventShed, retry.Unsent: eventUnsent, retry.Lost: eventRepeat,
	}[out]
	if j.state.Fire(event) != nil {
		return
	}
	if verdict == retry.Refuse || q.draining {
		q.end(j, problem.Refuse(problem.Full, "send", j.last.Name, err.Error()).After(time.Second))
		return
	}
	j.lostBefore = j.lostBefore || out == retry.Lost
	q.await(j, deadline.LatestStart(j.deadline, q.patience(j)))
	q.waiting.Requeue(&j.item)
}

// lose ends a job that may have run.
func (q *queue) lose(j *job, out retry.Outcome, err error) {
	q.counts.lost.Inc(1)
	delete(q.jobs, j.request.ID)
	if out == retry.Abandoned {
		j.lose(problem.Lost(problem.Deadline, "send", j.last.Name, "the deadline passed or the caller went away before the answer"))
		return
	}
	j.lose(problem.Lost(problem.AnswerLost, "send", j.last.Name, err.Error()))
}
