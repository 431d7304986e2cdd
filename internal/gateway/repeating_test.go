package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// Guards against repeats of which nobody can say why they were sent.
func TestRepeatsAreCountedByCause(t *testing.T) {
	b := newBench(t)
	count := func(service string, why cause) int64 { return b.repeatCounter(service, why).Count() }
	b.target("t", "pool", breaks)
	b.target("u", "pool", breaks)
	require.Equal(t, http.StatusBadGateway, b.get("safe.example", nil, "").StatusCode)
	require.EqualValues(t, 1, count("pool", causeLost))

	b.target("k", "keyed", firstThen(sheds, works))
	b.state.own("keyed", 1, 1, "k", lease.Served)
	require.Equal(t, http.StatusOK, b.get("keyed.example", http.Header{"Key": {"7"}}, "").StatusCode)
	require.EqualValues(t, 1, count("keyed", causeRefused))
	require.EqualValues(t, 1, b.repeatsOf("keyed"))

	c := &call{service: "keyed", failed: causeMisdirected, misdirected: mesh.LeaseVersion{Service: "keyed", Epoch: 1, Seq: 1}}
	require.Equal(t, causeMisdirected, b.causeOf(c))
	b.state.own("keyed", 1, 2, "k", lease.Served)
	require.Equal(t, causeMoved, b.causeOf(c))
}

// Guards against a refusal for want of repeats whose log line does not show what was compared.
func TestStateOfABudgetShowsWhatIsCompared(t *testing.T) {
	b := newBench(t)
	require.NotContains(t, b.budgetStates(), "s")
	b.state.request("s", 0, b.clock.Now())
	require.Contains(t, b.budgetStates()["s"].String(), "requests 1 vms 1")
}
