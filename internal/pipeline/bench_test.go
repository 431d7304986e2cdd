package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// BenchmarkRequests measures requests that follow each other on a kept connection, caller included.
func BenchmarkRequests(b *testing.B) {
	benchmarkRequests(b, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", 0)
}

// BenchmarkUploads measures requests with a body of 4 MiB.
func BenchmarkUploads(b *testing.B) {
	const size = 4 << 20
	benchmarkRequests(b, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)), size)
}

func benchmarkRequests(b *testing.B, request string, size int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, r.ContentLength)
		_, _ = io.ReadFull(r.Body, body)
		_, _ = w.Write([]byte("answer"))
	}), ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
	Attach(s)
	go func() { _ = s.Serve(NewListener(l, Limits{Requests: 8, ReadAhead: 16 << 10}, metrics.NewRegistry())) }()
	b.Cleanup(func() { _ = s.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(conn, request)
		require.NoError(b, err)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
