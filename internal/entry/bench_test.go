package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx/fxtest"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/dispatch"
	"hemlockquay/internal/model"
)

// startPath starts a target, a real dispatcher and a real entry in this process,
// with a fake agent, and returns the entry's address.
func startPath(b *testing.B) string {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 64))
	}))
	b.Cleanup(target.Close)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	addr := reserved.Addr().String()
	l := startBefore(b, addr, labObjects(target.Listener.Addr().String()), nil)
	require.NoError(b, reserved.Close())
	s := &dispatch.Settings{Listen: addr, Agent: l.agent, TargetConnections: 110}
	s.Base = daemon.Base{VM: "vm1", DataCentre: "a", Admin: "127.0.0.1:0", Log: "error", LeaveLead: model.Duration(time.Millisecond)}
	require.NoError(b, s.Check())
	app := fxtest.New(b, daemon.BaseModule("hq-dispatch", s, quiet), dispatch.Module)
	app.RequireStart()
	b.Cleanup(func() {
		l.app.RequireStop()
		app.RequireStop()
	})
	return l.addr
}

// BenchmarkPath is one request from a caller through the entry, the dispatcher and
// the target and back, all in this process. Its figures include the caller's and the
// target's side of HTTP; BenchmarkDirect is these two alone.
func BenchmarkPath(b *testing.B) { benchmarkCalls(b, "http://"+startPath(b)+"/s/booth/a") }

func BenchmarkDirect(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 64))
	}))
	defer target.Close()
	benchmarkCalls(b, target.URL)
}

func benchmarkCalls(b *testing.B, url string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	call := func() int {
		r, _ := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
		r.Header.Set("Authorization", "Bearer "+testToken)
		resp, err := client.Do(r)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	// The dispatcher must have its view.
	for begun := time.Now(); call() != http.StatusOK; {
		if time.Since(begun) > patience {
			b.Fatal("no answer")
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if status := call(); status != http.StatusOK {
				b.Errorf("status %d", status)
				return
			}
		}
	})
}
