package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// Guards against repeats whose cause does not appear in the metrics.
func TestRepeatsAreCountedByCause(t *testing.T) {
	b := newTestbed(t)
	count := func(service string, cause repeatCause) int64 { return b.repeatCounter(service, cause).Count() }
	b.addTarget("t", "pool", resetConnection)
	b.addTarget("u", "pool", resetConnection)
	require.Equal(t, http.StatusBadGateway, b.send("safe.example", nil, "").StatusCode)
	require.EqualValues(t, 1, count("pool", causeLost))

	b.addTarget("k", "keyed", firstThen(refuseAsNotRun, succeed))
	b.state.setOwner("keyed", 1, 1, "k", lease.Served)
	require.Equal(t, http.StatusOK, b.send("keyed.example", http.Header{"Key": {"7"}}, "").StatusCode)
	require.EqualValues(t, 1, count("keyed", causeRefused))
	require.EqualValues(t, 1, b.repeatCount("keyed"))

	c := &call{service: "keyed", lastFailure: causeMisdirected, misdirectedBy: mesh.LeaseVersion{Service: "keyed", Epoch: 1, Seq: 1}}
	require.Equal(t, causeMisdirected, b.repeatCauseOf(c))
	b.state.setOwner("keyed", 1, 2, "k", lease.Served)
	require.Equal(t, causeMoved, b.repeatCauseOf(c))
}

// Guards against a log line about an empty budget that does not show the values that were
// compared.
func TestBudgetStateShowsItsInputs(t *testing.T) {
	b := newTestbed(t)
	require.NotContains(t, b.budgetStates(), "s")
	b.state.recordRequest("s", 0, b.clock.Now())
	require.Contains(t, b.budgetStates()["s"].String(), "requests 1 vms 1")
}
