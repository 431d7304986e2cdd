package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// promisingStatuses are those from which callers conclude that a request has not run.
var promisingStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// answerAfterRun answers with a status, and says nothing of whether the request has run.
func answerAfterRun(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Stamp", "s")
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Rest", "1s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "answer")
	}
}

// requireWithheld checks that a caller got a failure that promises nothing and is not the target's.
func requireWithheld(t *testing.T, resp *http.Response) {
	t.Helper()
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Empty(t, resp.Header.Get("Stamp"))
	require.Empty(t, resp.Header.Get("Retry-After"), "its caller must not come back")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NotContains(t, string(body), "answer")
}

// Guards against callers that repeat a request because of its target's status, although the target has run it.
func TestStatusOfATargetPromisesNothing(t *testing.T) {
	for status := 200; status <= 599; status++ {
		if status == http.StatusMisdirectedRequest {
			continue // It says that the target has not run the request.
		}
		b := newTestbed(t)
		b.addTarget("a", "pool", answerAfterRun(status))
		resp := b.send("once.example", nil, "b")
		require.EqualValues(t, 1, b.requests.Load())
		if slices.Contains(promisingStatuses, status) {
			requireWithheld(t, resp)
			require.EqualValues(t, 1, metrics.GetOrRegisterCounter("answers.withheld."+strconv.Itoa(status), b.registry).Count())
			resting := b.state.targets["a"].pushback.Left(b.clock.Now()) > 0
			require.Equal(t, status == http.StatusServiceUnavailable, resting, "only a 503 asks for a rest")
			continue
		}
		require.Equal(t, status, resp.StatusCode)
		require.Equal(t, "s", resp.Header.Get("Stamp"))
	}
}

// Guards against the same through another VM.
func TestStatusOfATargetPromisesNothingThroughAnotherVM(t *testing.T) {
	for _, status := range promisingStatuses {
		f := newForwardingFleet(t)
		f.handle(answerAfterRun(status))
		requireWithheld(t, f.cut.send("once.example", nil, "b"))
		require.Equal(t, 1, f.runs("r-1"))
	}
	f := newForwardingFleet(t)
	f.handle(answerAfterRun(http.StatusTooManyRequests))
	require.Equal(t, http.StatusTooManyRequests, f.cut.send("safe.example", nil, "b").StatusCode)
}

// Guards against a VM that counts a target as sound whose answer to another VM's request must be withheld.
func TestWithheldAnswerToAnotherVMCountsAsAFailure(t *testing.T) {
	for _, c := range []struct {
		host   string
		failed bool
	}{{"once.example", true}, {"safe.example", false}} {
		f := newForwardingFleet(t)
		f.handle(answerAfterRun(http.StatusTooManyRequests))
		f.cut.send(c.host, nil, "b")
		failed := false
		for _, target := range f.peer.state.targets {
			failed = failed || !strings.Contains(fmt.Sprintf("%+v", target.pick), "failures:0 ")
		}
		require.Equal(t, c.failed, failed, c.host)
	}
}

// Answers to idempotent requests, and refusals of targets that have not run the request, stay as they are.
func TestOtherAnswersWithPromisingStatusesStay(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests} {
		b := newTestbed(t)
		b.addTarget("a", "pool", answerAfterRun(status))
		resp := b.send("safe.example", nil, "b")
		require.Equal(t, status, resp.StatusCode)
		require.Equal(t, "s", resp.Header.Get("Stamp"))
	}
	for _, status := range promisingStatuses {
		b := newTestbed(t)
		b.addTarget("a", "pool", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Not-Run", "1")
			answerAfterRun(status)(w, r)
		})
		resp := b.send("once.example", nil, "b")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
}
