package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link/linktest"
)

// truncatedBy returns a handler that breaks its answer off.
func truncatedBy(b linktest.Truncation) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			b.End(conn)
		}
	}
}

const (
	interimThenOK = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 4\r\n\r\nbody"
	refusedNotRun = "HTTP/1.1 503 Service Unavailable\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// Guards against a head of a target that breaks off and reaches the caller as a whole answer, or as a promise of "not run".
func TestTruncatedHeadReachesNoCaller(t *testing.T) {
	for name, answer := range map[string]string{"interim": interimThenOK, "refusal": refusedNotRun} {
		t.Run(name, func(t *testing.T) {
			linktest.EachTruncation(t, answer, len(answer), func(t *testing.T, truncated linktest.Truncation) {
				b := newTestbed(t)
				b.addTarget("a", "pool", truncatedBy(truncated))
				require.Equal(t, http.StatusBadGateway, b.send("once.example", nil, "").StatusCode)
				require.EqualValues(t, 1, b.requests.Load())
			})
		})
	}
}

// Guards against the same for a request that another VM sends.
func TestTruncatedHeadReachesNoCallerOfAnotherVM(t *testing.T) {
	for name, answer := range map[string]string{"interim": interimThenOK, "refusal": refusedNotRun} {
		t.Run(name, func(t *testing.T) {
			linktest.EachTruncation(t, answer, len(answer), func(t *testing.T, truncated linktest.Truncation) {
				f := newForwardingFleet(t)
				f.handle(truncatedBy(truncated))
				require.Equal(t, http.StatusBadGateway, f.cut.send("once.example", nil, "").StatusCode)
				require.Equal(t, 1, f.runs("r-1"))
				require.EqualValues(t, 1, f.cut.forwardMetrics.sent.Count())
			})
		})
	}
}
