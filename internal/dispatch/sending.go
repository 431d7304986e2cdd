package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/caller"
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

// result is the result of one attempt.
type result struct {
	job    *job
	target *poolTarget
	answer *wire.Answer
	err    error
	took   time.Duration
	// died reports whether the target was found to have ended right after the
	// connection broke.
	died bool
}

// sendWaiting sends waiting jobs while slots are free.
func (q *queue) sendWaiting(ctx context.Context, now time.Time) {
	if q.waiting.Len() == 0 {
		return
	}
	q.syncService()
	v := q.feed.Current()
	if v.Service(q.id.Service) == nil || len(q.pool.targets) == 0 {
		q.failWaiting(problem.Refuse(problem.UnknownService, stepQueue, q.vm, "the service or target is gone"))
		return
	}
	// skipped holds jobs for which only the target of their last attempt is free now.
	var skipped []*job
	for q.waiting.Len() > 0 && q.chooseTarget(nil, now) != nil {
		item := q.waiting.Next(q.mayStartLong(now))
		if item == nil {
			break
		}
		t := q.chooseTarget(item.Value, now)
		if t == nil {
			skipped = append(skipped, item.Value)
			continue
		}
		q.sendOrHold(ctx, v, t, item.Value, now)
	}
	for _, j := range skipped {
		q.waiting.Requeue(&j.item)
	}
}

// failWaiting ends all jobs that wait for a slot.
func (q *queue) failWaiting(p *problem.Error) {
	for item := q.waiting.Next(true); item != nil; item = q.waiting.Next(true) {
		q.fail(item.Value, p)
	}
}

// mayStartLong reports whether another long job may be sent now.
func (q *queue) mayStartLong(now time.Time) bool {
	_, total := q.pool.capacity(now)
	return q.fifo || q.longRunning < slots.MaxLongJobs(total)
}

// chooseTarget returns the target for the job, or nil if the job must wait. If j is nil, it
// returns a target that is free for some job.
func (q *queue) chooseTarget(j *job, now time.Time) *poolTarget {
	effective, _ := q.pool.capacity(now)
	c := balance.Choice{Now: now, Avoid: -1, Service: q.serviceTimes.Mean()}
	c.Wait = deadline.Wait(q.waiting.Work(fairqueue.Interactive)+q.waiting.Work(fairqueue.Background), effective)
	if j != nil && j.lastTarget != nil {
		c.Avoid = q.pool.index(j.lastTarget)
	}
	i := balance.Choose(q.pool.measured, c)
	if i < 0 {
		return nil
	}
	return q.pool.targets[i]
}

// sendOrHold sends the job, unless quarantine holds or refuses it or its key has no owner.
func (q *queue) sendOrHold(ctx context.Context, v *view.View, t *poolTarget, j *job, now time.Time) {
	switch admission, p := q.quarantine.Admit(t.Name, j.request, now); admission {
	case AdmitHold:
		q.held[j] = struct{}{}
		return
	case AdmitRefuse:
		q.fail(j, p)
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
			q.fail(j, problem.Refuse(problem.NoOwner, "grant", t.Name, "another target owns the key now"))
			return
		}
	}
	q.send(ctx, t, grant, j, now)
}

// park makes a job wait for the next view.
// During a planned move no target owns the slice for a moment. The number of parked jobs
// is bounded by the limit of the queue, and the wait by maxOwnerWait from when the job was
// first parked.
func (q *queue) park(j *job, now time.Time) {
	if j.parkedAt.IsZero() {
		j.parkedAt = now
	}
	q.parked[j] = struct{}{}
	giveUp := deadline.LatestStart(j.deadline, q.reservedServiceTime(j))
	if bound := j.parkedAt.Add(maxOwnerWait); bound.Before(giveUp) {
		giveUp = bound
	}
	q.scheduleGiveUp(j, giveUp)
}

func (q *queue) send(ctx context.Context, t *poolTarget, grant *wire.Grant, j *job, now time.Time) {
	if j.state.Fire(eventSend) != nil {
		return
	}
	q.removeWaiting(j)
	sendCtx, cancel := context.WithDeadline(caller.WithExpiry(caller.WithConnection(ctx, j.request.From()), boottime.System{}, j.expires), j.deadline)
	j.cancel, j.lastTarget, j.sentAt, j.grant = cancel, t, now, grant
	j.attempts++
	q.counters.sent.Inc(1)
	if j.attempts == 1 {
		q.budget.AddRequest()
	} else {
		q.counters.repeated.Inc(1)
	}
	if j.item.Long {
		q.longRunning++
	}
	if j.item.Class == fairqueue.Interactive {
		q.interactiveRate.Add(now, j.item.Cost)
	}
	t.measured.Sent(now)
	t.running[j] = struct{}{}
	q.quarantine.Started(t.Name, j.request, now)
	attempt := &target.Attempt{Request: j.request, Target: t.Target, Grant: grant, MaxAnswer: q.pool.service.MaxBody, Deadline: j.deadline}
	incarnation := t.incarnation
	q.workers.run(ctx, func() { q.attempt(sendCtx, cancel, attempt, &result{job: j, target: t}, incarnation) })
}

// attempt sends once and reports the result.
func (q *queue) attempt(ctx context.Context, cancel context.CancelFunc, a *target.Attempt, r *result, incarnation string) {
	defer cancel()
	start := time.Now()
	r.answer, r.err = q.sender.Send(ctx, a)
	r.took = time.Since(start)
	if r.err != nil && outcomeOf(r.err) == retry.Lost {
		r.died = q.targetDied(a.Target.Addr, incarnation)
	}
	_ = q.inbox.Push(context.Background(), message{result: r})
}

// outcomeOf classifies the error of an attempt that ended without an answer.
func outcomeOf(err error) retry.Outcome {
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

// handleResult ends an attempt. It answers the job, or retries or fails it according to
// the outcome.
func (q *queue) handleResult(r *result, now time.Time) {
	j, t := r.job, r.target
	t.measured.InFlight--
	if j.item.Long {
		q.longRunning--
	}
	q.reportToQuarantine(r, now)
	delete(t.running, j)
	q.requeue(q.held)
	if r.err == nil {
		q.handleAnswer(r, now)
		return
	}
	if errors.Is(r.err, target.ErrWithheld) {
		q.handleWithheld(r)
		return
	}
	out := outcomeOf(r.err)
	q.recordFailure(r, out, now)
	if out == retry.NotServing && q.pool.service.Keyed {
		q.handleNotServing(j, now)
		return
	}
	q.retryOrFail(j, out, r.err, now)
}

// handleWithheld ends a job whose request was not sent because nobody waits for it any more. It shows nothing about the target.
func (q *queue) handleWithheld(r *result) {
	q.counters.withheld.Inc(1)
	if r.job.state.Fire(eventUnsent) == nil {
		q.fail(r.job, problem.Refuse(problem.Deadline, "send", r.target.Name, r.err.Error()))
	}
}

// reportToQuarantine reports the end of the attempt to the quarantine.
//
// A target that dies breaks all its connections. The first such result reports the death
// with all requests in flight; the results of the others belong to the same death and are
// not reported again.
func (q *queue) reportToQuarantine(r *result, now time.Time) {
	switch {
	case r.died && r.job.sentAt.After(r.target.diedAt):
		r.target.diedAt = now
		q.quarantine.Died(r.target.Name, r.target.requests(), now)
	case r.job.sentAt.After(r.target.diedAt):
		q.quarantine.Finished(r.target.Name, r.job.request, r.err == nil, now)
	}
}

func (q *queue) handleAnswer(r *result, now time.Time) {
	j, t := r.job, r.target
	q.unreachableSince = time.Time{}
	wasSlow := t.measured.Slow()
	t.measured.Answered(r.took, j.expected)
	if slow := t.measured.Slow(); slow != wasSlow {
		q.journal.Add("send", fmt.Sprintf("slow is now %v: service times are %.1f times the expected ones", slow, t.measured.Slowness()), q.id.String(), t.Name)
	}
	if !t.measured.Slow() || q.pool.mostlySlow() {
		q.serviceTimes.Add(j.kind, r.took)
	}
	t.limit.OnAnswer(now, q.pool.service.Slots, t.measured.Slow())
	q.pool.update(t)
	if !j.parkedAt.IsZero() {
		q.requeue(q.parked)
	}
	delete(q.jobs, j.request.ID)
	j.answer(*r.answer)
}

// recordFailure updates the measurements of the target after a failed attempt.
func (q *queue) recordFailure(r *result, out retry.Outcome, now time.Time) {
	t := r.target
	switch {
	case out == retry.Shed:
		t.limit.OnShed(now, q.pool.service.Slots)
		q.pool.update(t)
	case out == retry.Unsent || r.died:
		backoff := t.measured.Failed(now)
		q.journal.Add("send", fmt.Sprintf("connection failed, in back-off for %v: %v", backoff, r.err), q.id.String(), t.Name)
		if free, _ := q.pool.capacity(now); free == 0 && q.unreachableSince.IsZero() {
			q.unreachableSince = now
		}
	case out == retry.NotServing && !q.pool.service.Keyed:
		t.measured.RefusedLeaving(now)
		q.journal.Add("send", "is leaving, gets no new work: "+r.err.Error(), q.id.String(), t.Name)
	case out == retry.Abandoned:
		q.counters.abandoned.Inc(1)
		t.measured.Overdue(r.took, r.job.expected)
	}
}

// handleNotServing parks a job that the target refused because of its grant.
func (q *queue) handleNotServing(j *job, now time.Time) {
	if j.state.Fire(eventShed) != nil {
		return
	}
	if q.draining {
		q.fail(j, q.leavingProblem())
		return
	}
	q.parkUnlessRegranted(j, now)
}

// retryOrFail requeues a job whose attempt failed, or ends it.
func (q *queue) retryOrFail(j *job, out retry.Outcome, err error, now time.Time) {
	verdict := q.budget.Decide(retry.Attempt{
		Outcome: out, Idempotent: j.request.Idempotent, Attempts: j.attempts,
		Remaining: j.deadline.Sub(now), ServiceTime: q.reservedServiceTime(j), MayHaveRun: j.lostBefore,
	})
	if verdict == retry.AnswerUnknown {
		q.failUnknown(j, out, err)
		return
	}
	event := map[retry.Outcome]statechart.Event{
		retry.Shed: eventShed, retry.NotServing: eventShed, retry.Unsent: eventUnsent, retry.Lost: eventRepeat,
	}[out]
	if j.state.Fire(event) != nil {
		return
	}
	if verdict == retry.Refuse || q.draining {
		q.fail(j, problem.Refuse(problem.Full, "send", j.lastTarget.Name, err.Error()).WithRetryAfter(time.Second))
		return
	}
	j.lostBefore = j.lostBefore || out == retry.Lost
	q.scheduleGiveUp(j, deadline.LatestStart(j.deadline, q.reservedServiceTime(j)))
	q.waiting.Requeue(&j.item)
}

// failUnknown ends a job that may have run, with an answer that says so.
func (q *queue) failUnknown(j *job, out retry.Outcome, err error) {
	q.counters.lost.Inc(1)
	delete(q.jobs, j.request.ID)
	if out == retry.Abandoned {
		j.failUnknown(problem.Lost(problem.Deadline, "send", j.lastTarget.Name, "the deadline passed or the caller went away before the answer"))
		return
	}
	j.failUnknown(problem.Lost(problem.AnswerLost, "send", j.lastTarget.Name, err.Error()))
}
