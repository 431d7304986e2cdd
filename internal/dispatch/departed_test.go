package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
)

type departed struct{}

// Left implements caller.Connection.
func (departed) Left() bool { return true }

// Guards against a request that runs for nobody, and against a target that counts as failed because a caller left.
func TestRequestOfACallerThatLeftIsRefusedAsNotRun(t *testing.T) {
	withTestbed(t, 1, false, func(b *testbed) {
		s := stream{customer: "c", class: model.Interactive, deadline: time.Second}
		r := b.request(s, "left", time.Millisecond)
		r.SetOrigin(departed{}, 0)
		j := newJob(r, time.Now())
		_ = b.queue.inbox.Push(t.Context(), message{arrive: j})
		a := <-j.done
		require.NotNil(t, a.Problem)
		require.Equal(t, problem.RanNo, a.Problem.Ran)
		require.Zero(t, b.sent())
		require.EqualValues(t, 1, b.queue.counters.withheld.Count())
		require.Nil(t, b.call(s, "waits", time.Millisecond).Problem, "the target serves at once")
	})
}
