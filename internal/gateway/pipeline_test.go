package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pipelinedTo returns a request for each path.
func pipelinedTo(host string, paths ...string) string {
	var out strings.Builder
	for i, path := range paths {
		fmt.Fprintf(&out, "GET %s HTTP/1.1\r\nHost: %s\r\nId: r-%d\r\n\r\n", path, host, i)
	}
	return out.String()
}

// Guards against targets that work on for a caller that has left while a further request of its waits on the connection.
func TestRequestIsCancelledIfItsCallerLeavesBehindAFurtherOne(t *testing.T) {
	b := newTestbed(t)
	b.pipelineRequests(1)
	started, cancelled := make(chan string, 2), make(chan struct{})
	b.addTarget("a", "pool", func(_ http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		<-r.Context().Done()
		close(cancelled)
	})
	conn, _ := b.dialFront()
	_, err := io.WriteString(conn, pipelinedTo("patient.example", "/1"))
	require.NoError(t, err)
	require.Equal(t, "/1", <-started)
	_, err = io.WriteString(conn, pipelinedTo("patient.example", "/2"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	select {
	case <-cancelled:
	case <-time.After(2 * time.Second):
		require.Fail(t, "the target still works on the request")
	}
	require.Empty(t, started, "the further request has run")
}

// Guards against a non-idempotent request that has run when its connection ends with an earlier response, and is sent again.
func TestNonIdempotentRequestWaitsForThoseBeforeIt(t *testing.T) {
	b := newTestbed(t)
	b.pipelineRequests(8)
	started, release := make(chan string, 3), make(chan struct{})
	b.addTarget("a", "pool", func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path != "/3" {
			<-release
		}
		_, _ = w.Write([]byte(r.URL.Path))
	})
	conn, reader := b.dialFront()
	_, err := io.WriteString(conn, pipelinedTo("patient.example", "/1", "/2")+pipelinedTo("once.example", "/3"))
	require.NoError(t, err)
	require.ElementsMatch(t, []string{"/1", "/2"}, []string{<-started, <-started})
	require.Empty(t, started)
	close(release)
	for _, want := range []string{"/1", "/2", "/3"} {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, want, string(body))
	}
}
