package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// noQuarantine is a Quarantine that admits all requests.
type noQuarantine struct{}

func (noQuarantine) Admit(string, *wire.Request, time.Time) (Admission, *problem.Error) {
	return AdmitRun, nil
}
func (noQuarantine) Started(string, *wire.Request, time.Time)        {}
func (noQuarantine) Finished(string, *wire.Request, bool, time.Time) {}
func (noQuarantine) Died(string, []*wire.Request, time.Time)         {}

// A target restarts between two health checks, and answers ordinary requests. Each answer was
// taken for a death of the target, since the incarnation was not the known one, and ordinary
// requests were quarantined.
func TestAnswerOfRestartedTargetIsNotADeath(t *testing.T) {
	withTestbed(t, 1, false, func(b *testbed) {
		d := &deathRecorder{}
		b.queue.quarantine = d
		b.set("master-1", func(f *fakeTarget) { f.health.Incarnation = "master-1-1" })
		s := stream{customer: "listeners", deadline: time.Second}
		b.callers.Go(func() { b.call(s, "before", time.Millisecond) })
		b.callers.Wait()
		time.Sleep(time.Second)
		b.set("master-1", func(f *fakeTarget) { f.health.Incarnation = "master-1-2" })
		b.callers.Go(func() { b.call(s, "after", time.Millisecond) })
		b.callers.Wait()
		require.Empty(t, d.died)
		require.Equal(t, 2, d.finished)
	})
}
