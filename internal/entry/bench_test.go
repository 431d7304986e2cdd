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

// startRequestPath starts a target, a dispatcher, an entry and a fake agent in this process and
// returns the entry's address.
func startRequestPath(b *testing.B) string {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 64))
	}))
	b.Cleanup(target.Close)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	addr := reserved.Addr().String()
	l := startWithDispatcher(b, addr, testObjects(target.Listener.Addr().String()), nil)
	require.NoError(b, reserved.Close())
	s := &dispatch.Settings{Listen: addr, Agent: l.agent, TargetConnections: 110}
	s.Base = daemon.Base{VM: "vm1", DataCentre: "a", Admin: "127.0.0.1:0", Log: "error", LeaveLead: model.Duration(time.Millisecond)}
	require.NoError(b, s.Check())
	app := fxtest.New(b, daemon.BaseModule("hq-dispatch", s, discardLogger), dispatch.Module)
	app.RequireStart()
	b.Cleanup(func() {
		l.app.RequireStop()
		app.RequireStop()
	})
	return l.addr
}

// BenchmarkPath measures one request from a caller through the entry and the dispatcher to the
// target and back, all in this process. The figures include the HTTP client of the caller and
// the HTTP server of the target; BenchmarkDirect measures these two alone.
func BenchmarkPath(b *testing.B) { benchmarkCalls(b, "http://"+startRequestPath(b)+"/s/booth/a") }

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
	// Wait until the dispatcher has received its configuration.
	for start := time.Now(); call() != http.StatusOK; {
		if time.Since(start) > testTimeout {
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
