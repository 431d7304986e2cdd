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

// step is one event of a drawn history.
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

// A caller books a session while targets die, shed, leave and lose answers, callers
// go away, and the dispatcher drains at the end. Whatever the order: each request
// gets one answer, its own; none refused as not run has run; no booking runs twice;
// no slot idles while a request waits that it could run.
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
			rt.Fatal("a promise was broken; see above")
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

// checkWorkConserved runs while nothing is in flight to the queue.
func (b *testbed) checkWorkConserved(q *queue) {
	now := time.Now()
	for _, t := range q.pool.targets {
		m := &t.measured
		if !m.Serves(now) || m.Slow() || m.InFlight > 0 {
			continue
		}
		for _, j := range q.jobs {
			if j.item.Waiting() && j.lastTarget != t && !j.item.Long {
				b.t.Errorf("%s idles while %s waits", t.Name, j.request.ID)
			}
		}
	}
}

// Two targets, one taken by a long request. The other sheds a request, which is next
// in the order and waits for the first; the ones behind it must not wait with it.
func TestWaitingHeadDoesNotBlockOthers(t *testing.T) {
	withTestbed(t, 2, false, func(b *testbed) {
		s := stream{customer: "listeners", deadline: 5 * time.Second}
		b.set("master-2", func(f *fakeTarget) { f.refusal = target.RefusedShed })
		for i := range 3 {
			b.callers.Go(func() { b.call(s, fmt.Sprint("long", i), time.Second) })
			time.Sleep(time.Millisecond)
		}
		b.set("master-2", func(f *fakeTarget) { f.refusal = "" })
		begun := time.Now()
		b.call(s, "behind", time.Millisecond)
		require.Less(t, time.Since(begun), 100*time.Millisecond)
	})
}

// A slice moves: its owner refuses new work, for 200 ms nobody owns it, then another
// target does. Callers must see no refusal: what waited goes back to the entry as
// not run, for the dispatcher of the new owner.
func TestPlannedMoveHoldsRequests(t *testing.T) {
	withTestbed(t, 2, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedReleased })
		s := stream{customer: "listeners", deadline: time.Second}
		var a wire.Answer
		begun := time.Now()
		b.callers.Go(func() { a = b.call(s, "early", time.Millisecond) })
		time.Sleep(100 * time.Millisecond)
		b.own("")
		time.Sleep(100 * time.Millisecond)
		b.own("master-2")
		b.callers.Wait()
		require.Equal(t, 200*time.Millisecond, time.Since(begun))
		require.Equal(t, problem.NoOwner, a.Problem.Kind)
		require.Equal(t, problem.RanNo, a.Problem.Ran)
	})
}

// The owner dies. Its connections are refused, so that it rests, longer each time,
// and by the fourth failure for 400 ms. The standby owns the keys meanwhile; a child
// still waits for the end of the rest before the story goes on. Cause: a queue whose
// only target rested did not look at what waited.
func TestTakeoverDoesNotWaitForBackoff(t *testing.T) {
	withTestbed(t, 2, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.down = true })
		s := stream{customer: "listeners", deadline: 2 * time.Second}
		var a wire.Answer
		begun := time.Now()
		b.callers.Go(func() { a = b.call(s, "early", time.Millisecond) })
		time.Sleep(400 * time.Millisecond)
		b.own("master-2")
		b.callers.Wait()
		require.Equal(t, 400*time.Millisecond, time.Since(begun))
		require.Equal(t, problem.NoOwner, a.Problem.Kind)
		require.Equal(t, problem.RanNo, a.Problem.Ran)

		a = b.call(s, "late", time.Millisecond)
		require.Equal(t, problem.NoOwner, a.Problem.Kind, "an entry that does not know the new owner yet")
		require.Equal(t, 400*time.Millisecond, time.Since(begun))
	})
}

// A slice moves while a request is in flight to the old owner. The view with the
// new owner arrives first, the refusal 50 ms later. The caller waited for a second
// and was refused. Cause: the job waited for the next view, and none was due.
func TestRefusalAfterNewViewReturnsRequest(t *testing.T) {
	withTestbed(t, 2, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal, f.refuseAfter = target.RefusedReleased, 50*time.Millisecond })
		begun := time.Now()
		var a wire.Answer
		b.callers.Go(func() {
			a = b.call(stream{customer: "listeners", deadline: 2 * time.Second}, "r", time.Millisecond)
			require.Equal(t, 50*time.Millisecond, time.Since(begun))
		})
		time.Sleep(20 * time.Millisecond)
		b.own("master-2")
		b.callers.Wait()
		require.Equal(t, problem.NoOwner, a.Problem.Kind)
	})
}

// A grantor stalls until its grant is out, and renews it 100 ms later at the same
// rank. No view changes, as nobody else was granted. All that came meanwhile was
// refused after a second, though the owner served again.
func TestRenewedGrantServesWaitingRequests(t *testing.T) {
	withTestbed(t, 1, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedFence })
		begun := time.Now()
		b.burst(stream{customer: "listeners", deadline: 5 * time.Second}, 5)
		time.Sleep(100 * time.Millisecond)
		b.set("master-1", func(f *fakeTarget) { f.refusal = "" })
		b.callers.Wait()
		require.Equal(t, 5, b.tallies["listeners"].answered)
		require.Less(t, time.Since(begun), 200*time.Millisecond)
	})
}

// The same owner gets a grant of a higher rank after it refused: what waited is sent
// to it, not refused.
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

// No owner comes. The caller must be answered after the stated second, not at the end of
// its patience of 20 s.
func TestMissingOwnerIsReportedWithinASecond(t *testing.T) {
	withTestbed(t, 1, true, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedFence })
		begun := time.Now()
		a := b.call(stream{customer: "listeners", deadline: 20 * time.Second}, "r", time.Millisecond)
		require.Equal(t, problem.NoOwner, a.Problem.Kind)
		require.InDelta(t, maxOwnerWait.Seconds(), time.Since(begun).Seconds(), 0.05)
	})
}

// All slots are taken and the dispatcher leaves. What waits goes back at once, what
// runs is answered.
func TestDrainReturnsWaitingRequestsAtOnce(t *testing.T) {
	withTestbed(t, 1, false, func(b *testbed) {
		s := stream{customer: "listeners", deadline: 5 * time.Second}
		var sent, waiting wire.Answer
		b.callers.Go(func() { sent = b.call(s, "r1", time.Second) })
		b.callers.Go(func() { b.call(s, "r2", time.Second) })
		time.Sleep(10 * time.Millisecond)
		begun := time.Now()
		b.callers.Go(func() {
			waiting = b.call(s, "r3", time.Second)
			require.Less(b.t, time.Since(begun), 20*time.Millisecond)
		})
		time.Sleep(10 * time.Millisecond)
		_ = b.queue.inbox.Push(context.Background(), message{drain: true})
		b.callers.Wait()
		require.Nil(t, sent.Problem)
		require.Equal(t, problem.Leaving, waiting.Problem.Kind)
		require.Equal(t, problem.RanNo, waiting.Problem.Ran)
	})
}

// Three requests run on a target when it dies. The watch over crashing requests must
// are notified of one death with all of them, and of no other end.
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
