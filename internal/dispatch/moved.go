package dispatch

import (
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
)

// sendBack hands the jobs that wait for a target back to their entries where
// another target owns their key by now.
//
// Failure: the owner dies, its connections fail, and it rests for longer each
// time, 750 ms in all after four failures. The standby owns its keys after 350
// ms, but a queue whose only target rests looks at no job: it shows as keys that
// are unavailable for twice as long as the takeover took. So each new view is
// held against all that waits, whether or not the target rests. The jobs were not
// sent, so entries may send them on.
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

// ownedElsewhere tells whether another target than the queue's owns the job's key.
func (q *queue) ownedElsewhere(v *view.View, j *job) bool {
	if q.id.Target == "" {
		return false
	}
	grant := v.Owner(q.id.Service, keyspace.Of(j.request.Key))
	return grant != nil && grant.Target.Name != q.id.Target
}

func (q *queue) notOwner() *problem.Error {
	return problem.Refuse(problem.NoOwner, "grant", q.id.Target, "another target owns the key now")
}
