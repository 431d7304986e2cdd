package dispatch

import (
	"time"

	"hemlockquay/internal/decide/deadline"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
)

// failMoved refuses the waiting jobs whose keys are now owned by another target. They
// were not sent, so entries may send them to the new owner.
// It is called for each new view, since a queue whose only target is in back-off examines
// no jobs otherwise.
func (q *queue) failMoved() {
	if q.id.Target == "" {
		return
	}
	v := q.feed.Current()
	var moved []*job
	for _, j := range q.unsent {
		if q.ownedElsewhere(v, j) {
			moved = append(moved, j)
		}
	}
	for _, j := range moved {
		q.fail(j, q.notOwnerProblem())
	}
}

// ownedElsewhere reports whether a target other than that of the queue owns the job's key.
func (q *queue) ownedElsewhere(v *view.View, j *job) bool {
	if q.id.Target == "" {
		return false
	}
	grant := v.Owner(q.id.Service, keyspace.PointOf(j.request.Key))
	return grant != nil && grant.Target.Name != q.id.Target
}

func (q *queue) notOwnerProblem() *problem.Error {
	return problem.Refuse(problem.NoOwner, "grant", q.id.Target, "another target owns the key now")
}

// parkUnlessRegranted parks a job that the target refused because of its grant, unless
// the current view already has a newer grant: it then returns the job to the entry or
// requeues it.
// The refusal of the old owner may arrive after the view that has the new one. Waiting for
// the next view would then last until the owner of some other group changes.
func (q *queue) parkUnlessRegranted(j *job, now time.Time) {
	v := q.feed.Current()
	grant := v.Owner(q.id.Service, keyspace.PointOf(j.request.Key))
	switch {
	case q.ownedElsewhere(v, j):
		q.fail(j, q.notOwnerProblem())
	case grant != nil && j.grant != nil && grant.Rank != j.grant.Rank:
		q.scheduleGiveUp(j, deadline.LatestStart(j.deadline, q.reservedServiceTime(j)))
		q.waiting.Requeue(&j.item)
	default:
		q.park(j, now)
	}
}

// retryParked requeues as many parked jobs as the target has slots. The first one that is
// answered requeues all others.
// It is needed because an expired grant that is renewed at the same rank changes no view,
// so that nothing else would end the wait.
func (q *queue) retryParked() {
	left := q.maxParkedRetries()
	for j := range q.parked {
		if left == 0 {
			return
		}
		left--
		delete(q.parked, j)
		q.scheduleGiveUp(j, deadline.LatestStart(j.deadline, q.reservedServiceTime(j)))
		q.waiting.Requeue(&j.item)
	}
}

// maxParkedRetries returns how many parked jobs are retried at once.
func (q *queue) maxParkedRetries() int {
	if q.pool.service == nil {
		return 0
	}
	return q.pool.service.Slots
}
