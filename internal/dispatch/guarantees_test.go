package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

// step is one event of a generated history.
type step struct {
	after      time.Duration
	kind       string
	target     string
	idempotent bool
	work       time.Duration
	deadline   time.Duration
}

var stepKinds = []string{"call", "call", "call", "call", "cancel", "down", "up", "shed", "leave", "serve", "lose", "keep"}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(1, most).Draw(t, name)) * time.Millisecond
		}
		return step{
			after:      ms("after", 20) - time.Millisecond,
			kind:       rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			target:     fmt.Sprintf("master-%d", rapid.IntRange(1, 3).Draw(t, "target")),
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			work:       ms("work", 60),
			deadline:   ms("deadline", 400),
		}
	}), 1, 80).Draw(t, "steps")
}

// Targets die, shed, leave and lose answers, callers go away, and the dispatcher may drain
// at the end. For any order of these events, each request must get one answer, its own; no
// request that was refused as not run may have run; no non-idempotent request may run twice;
// and no slot may be idle while a request waits that could use it.
func TestGuaranteesOverAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps, drain := drawSteps(rt), rapid.Bool().Draw(rt, "drain")
		withTestbed(t, 3, false, func(b *testbed) {
			for n, s := range steps {
				time.Sleep(s.after)
				b.play(n, s)
				synctest.Wait()
				b.queue.inspect(b.t.Context(), b.checkWorkConserved)
			}
			if drain {
				_ = b.queue.inbox.Push(t.Context(), message{drain: true})
				synctest.Wait()
				b.queue.inspect(b.t.Context(), func(q *queue) { require.Zero(b.t, q.waiting.Len()) })
			}
		})
		if t.Failed() {
			rt.Fatal("a guarantee was violated; see above")
		}
	})
}

func (b *testbed) play(n int, s step) {
	switch s.kind {
	case "call":
		id := fmt.Sprintf("%d", n)
		call := stream{customer: s.target, class: model.Interactive, deadline: s.deadline, idempotent: s.idempotent}
		b.callers.Go(func() {
			a := b.call(call, id, s.work)
			if a.ID != id {
				b.t.Errorf("request %s got the answer of %s", id, a.ID)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if !s.idempotent && b.runs[id] > 1 {
				b.t.Errorf("request %s ran %d times", id, b.runs[id])
			}
		})
	case "cancel":
		_ = b.queue.inbox.Push(b.t.Context(), message{cancel: fmt.Sprint(n - 1)})
	default:
		b.set(s.target, func(f *fakeTarget) { f.fault(s.kind) })
	}
}

func (f *fakeTarget) fault(kind string) {
	switch kind {
	case "down":
		f.down = true
	case "up":
		f.down = false
	case "shed":
		f.refusal = target.RefusedShed
	case "leave":
		f.refusal = target.RefusedLeaving
	case "serve":
		f.refusal = ""
	case "lose":
		f.loseShare = 1
	case "keep":
		f.loseShare = 0
	}
}

// checkWorkConserved checks that no target is idle while a job waits that it could run. No
// message to the queue may be pending.
func (b *testbed) checkWorkConserved(q *queue) {
	now := time.Now()
	for _, t := range q.pool.targets {
		m := &t.measured
		if !m.Serves(now) || m.Slow() || m.InFlight > 0 {
			continue
		}
		for _, j := range q.jobs {
			if j.item.Waiting() && j.lastTarget != t && !j.item.Long {
				b.t.Errorf("%s is idle while %s waits", t.Name, j.request.ID)
			}
		}
	}
}

// One of two targets is full of long requests. The other one sheds a request, which is then
// first in the order and waits for the full target. The requests behind it must not wait
// too.
func TestWaitingHeadDoesNotBlockOthers(t *testing.T) {
	withTestbed(t, 2, false, func(b *testbed) {
		s := stream{customer: "listeners", deadline: 5 * time.Second}
		b.set("master-2", func(f *fakeTarget) { f.refusal = target.RefusedShed })
		for i := range 3 {
			b.callers.Go(func() { b.call(s, fmt.Sprint("long", i), time.Second) })
			time.Sleep(time.Millisecond)
		}
		b.set("master-2", func(f *fakeTarget) { f.refusal = "" })
		start := time.Now()
		b.call(s, "behind", time.Millisecond)
		require.Less(t, time.Since(start), 100*time.Millisecond)
	})
}

// In a planned move of a slice the old owner refuses requests, then nobody owns the slice,
// and after 200 ms another target does. Waiting requests must be held during that time and
// then be returned to the entry as not run, which sends them to the new owner.
func TestPlannedMoveHoldsRequests(t *testing.T) {
	withTestbed(t, 2, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedReleased })
		s := stream{customer: "listeners", deadline: time.Second}
		var a wire.Answer
		start := time.Now()
		b.callers.Go(func() { a = b.call(s, "early", time.Millisecond) })
		time.Sleep(100 * time.Millisecond)
		b.own("")
		time.Sleep(100 * time.Millisecond)
		b.own("master-2")
		b.callers.Wait()
		require.Equal(t, 200*time.Millisecond, time.Since(start))
		require.Equal(t, problem.NoOwner, a.Problem.Kind)
		require.Equal(t, problem.RanNo, a.Problem.Ran)
	})
}

// The owner dies and refuses connections, so its back-off grows, to 400 ms at the fourth
// failure. When a standby has taken over the keys, requests must not wait for the end of the
// back-off. They did, since a queue whose only target is in back-off did not examine its
// waiting jobs.
func TestTakeoverDoesNotWaitForBackoff(t *testing.T) {
	withTestbed(t, 2, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.down = true })
		s := stream{customer: "listeners", deadline: 2 * time.Second}
		var a wire.Answer
		start := time.Now()
		b.callers.Go(func() { a = b.call(s, "early", time.Millisecond) })
		time.Sleep(400 * time.Millisecond)
		b.own("master-2")
		b.callers.Wait()
		require.Equal(t, 400*time.Millisecond, time.Since(start))
		require.Equal(t, problem.NoOwner, a.Problem.Kind)
		require.Equal(t, problem.RanNo, a.Problem.Ran)

		a = b.call(s, "late", time.Millisecond)
		require.Equal(t, problem.NoOwner, a.Problem.Kind, "sent by an entry that does not know the new owner yet")
		require.Equal(t, 400*time.Millisecond, time.Since(start))
	})
}

// A slice moves while a request is in flight to the old owner. The view with the new owner
// arrives before the refusal of the old one, which takes 50 ms. The job then waited for the
// next view, though none was due, and was refused after a second.
func TestRefusalAfterNewViewReturnsRequest(t *testing.T) {
	withTestbed(t, 2, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal, f.refuseAfter = target.RefusedReleased, 50*time.Millisecond })
		start := time.Now()
		var a wire.Answer
		b.callers.Go(func() {
			a = b.call(stream{customer: "listeners", deadline: 2 * time.Second}, "r", time.Millisecond)
			require.Equal(t, 50*time.Millisecond, time.Since(start))
		})
		time.Sleep(20 * time.Millisecond)
		b.own("master-2")
		b.callers.Wait()
		require.Equal(t, problem.NoOwner, a.Problem.Kind)
	})
}

// A grant expires and is renewed 100 ms later at the same rank, which changes no view.
// Requests that arrived in the meantime were refused after a second, though the owner served
// again.
func TestRenewedGrantServesWaitingRequests(t *testing.T) {
	withTestbed(t, 1, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedFence })
		start := time.Now()
		b.burst(stream{customer: "listeners", deadline: 5 * time.Second}, 5)
		time.Sleep(100 * time.Millisecond)
		b.set("master-1", func(f *fakeTarget) { f.refusal = "" })
		b.callers.Wait()
		require.Equal(t, 5, b.tallies["listeners"].answered)
		require.Less(t, time.Since(start), 200*time.Millisecond)
	})
}

// The owner refuses requests and then gets a grant of a higher rank. Waiting requests must be
// sent to it and not be refused.
func TestRegrantedOwnerServesWaitingRequests(t *testing.T) {
	withTestbed(t, 1, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedFence })
		b.burst(stream{customer: "listeners", deadline: time.Second}, 5)
		time.Sleep(100 * time.Millisecond)
		b.set("master-1", func(f *fakeTarget) { f.refusal = "" })
		b.own("master-1")
		b.callers.Wait()
		require.Equal(t, 5, b.tallies["listeners"].answered)
	})
}

// A key gets no owner. The caller must be answered after maxOwnerWait, and not only at its
// deadline of 20 s.
func TestMissingOwnerIsReportedWithinASecond(t *testing.T) {
	withTestbed(t, 1, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedFence })
		start := time.Now()
		a := b.call(stream{customer: "listeners", deadline: 20 * time.Second}, "r", time.Millisecond)
		require.Equal(t, problem.NoOwner, a.Problem.Kind)
		require.InDelta(t, maxOwnerWait.Seconds(), time.Since(start).Seconds(), 0.05)
	})
}

// The dispatcher drains while all slots are taken. Waiting requests must be returned at once,
// and running ones must be answered.
func TestDrainReturnsWaitingRequestsAtOnce(t *testing.T) {
	withTestbed(t, 1, false, func(b *testbed) {
		s := stream{customer: "listeners", deadline: 5 * time.Second}
		var sent, waiting wire.Answer
		b.callers.Go(func() { sent = b.call(s, "r1", time.Second) })
		b.callers.Go(func() { b.call(s, "r2", time.Second) })
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		b.callers.Go(func() {
			waiting = b.call(s, "r3", time.Second)
			require.Less(b.t, time.Since(start), 20*time.Millisecond)
		})
		time.Sleep(10 * time.Millisecond)
		_ = b.queue.inbox.Push(context.Background(), message{drain: true})
		b.callers.Wait()
		require.Nil(t, sent.Problem)
		require.Equal(t, problem.Leaving, waiting.Problem.Kind)
		require.Equal(t, problem.RanNo, waiting.Problem.Ran)
	})
}

// Two requests run on a target when it dies. The quarantine must be notified of one death with
// both of them, and of no other end.
func TestDeathIsReportedOnceWithAllRunningRequests(t *testing.T) {
	withTestbed(t, 1, false, func(b *testbed) {
		d := &deathRecorder{}
		b.queue.quarantine = d
		s := stream{customer: "listeners", deadline: time.Second}
		for i := range 2 {
			b.callers.Go(func() { b.call(s, fmt.Sprint(i), 50*time.Millisecond) })
		}
		time.Sleep(20 * time.Millisecond)
		b.set("master-1", func(f *fakeTarget) { f.down = true })
		b.callers.Wait()
		require.Equal(t, []int{2}, d.died)
		require.Zero(t, d.finished)
		require.Equal(t, 2, b.tallies["listeners"].unknown)
	})
}

type deathRecorder struct {
	noQuarantine
	died     []int
	finished int
}

func (d *deathRecorder) Died(_ string, running []*wire.Request, _ time.Time) {
	d.died = append(d.died, len(running))
}

func (d *deathRecorder) Finished(string, *wire.Request, bool, time.Time) { d.finished++ }
