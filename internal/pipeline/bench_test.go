package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// BenchmarkRequests measures requests that follow each other on a kept connection, caller included.
func BenchmarkRequests(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("answer"))
	}), ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
	Attach(s)
	go func() { _ = s.Serve(NewListener(l, Limits{Requests: 8, ReadAhead: 16 << 10}, metrics.NewRegistry())) }()
	b.Cleanup(func() { _ = s.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(b, err)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
