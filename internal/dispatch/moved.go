package dispatch

import (
	"time"

	"hemlockquay/internal/decide/deadline"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
)

// sendBack hands the jobs that wait for a target back to their entries where
// another target owns their key by now.
// A queue whose only target rests examines no job, so each new view is compared with all that waits.
// The jobs were not sent, so entries may send them on.
func (q *queue) sendBack() {
	if q.id.Target == "" {
		return
	}
	v := q.feed.Current()
	var moved []*job
	for _, j := range q.given {
		if q.ownedElsewhere(v, j) {
			moved = append(moved, j)
		}
	}
	for _, j := range moved {
		q.end(j, q.notOwner())
	}
}

// ownedElsewhere reports whether another target than the queue's owns the job's key.
func (q *queue) ownedElsewhere(v *view.View, j *job) bool {
	if q.id.Target == "" {
		return false
	}
	grant := v.Owner(q.id.Service, keyspace.PointOf(j.request.Key))
	return grant != nil && grant.Target.Name != q.id.Target
}

func (q *queue) notOwner() *problem.Error {
	return problem.Refuse(problem.NoOwner, "grant", q.id.Target, "another target owns the key now")
}

// parkUnlessNew parks a job that a target refused for its grant, unless the view
// in force is newer than the one that it was sent by.
// The refusal of an old owner may arrive after the view with the new one; waiting for the next view
// would then last until some other group changes.
func (q *queue) parkUnlessNew(j *job, now time.Time) {
	v := q.feed.Current()
	grant := v.Owner(q.id.Service, keyspace.PointOf(j.request.Key))
	switch {
	case q.ownedElsewhere(v, j):
		q.end(j, q.notOwner())
	case grant != nil && j.grant != nil && grant.Rank != j.grant.Rank:
		q.await(j, deadline.LatestStart(j.deadline, q.patience(j)))
		q.waiting.Requeue(&j.item)
	default:
		q.park(j, now)
	}
}

// probe tries as many parked jobs again as the target has slots; the first that
// is answered brings all others back.
// A grant that expired and is renewed at the same rank changes no view, so nothing else would end the
// wait.
func (q *queue) probe() {
	left := q.probes()
	for j := range q.parked {
		if left == 0 {
			return
		}
		left--
		delete(q.parked, j)
		q.await(j, deadline.LatestStart(j.deadline, q.patience(j)))
		q.waiting.Requeue(&j.item)
	}
}

// probes is how many parked jobs are tried at once.
func (q *queue) probes() int {
	if q.pool.service == nil {
		return 0
	}
	return q.pool.service.Slots
}
