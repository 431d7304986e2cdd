package hostile

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/agent"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/standin/fleet"
)

const (
	// oddHost is the host of a route to the targets that send odd bytes.
	oddHost = "odd.example"
	// oddTargets is the number of targets that send odd bytes.
	oddTargets = 40
	okHead     = "HTTP/1.1 200 OK\r\n"
)

// serveBytes listens at an address where each connection that sends something gets first, and then repeated until it ends.
func serveBytes(t *testing.T, first string, repeated []byte) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		l.Close()
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				defer context.AfterFunc(ctx, func() { conn.Close() })()
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					return
				}
				_, err := io.WriteString(conn, first)
				for err == nil && len(repeated) > 0 {
					_, err = conn.Write(repeated)
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// requireTargetsBorne exposes a gateway to targets that answer each request with the same bytes.
func requireTargetsBorne(t *testing.T, first string, repeated []byte) {
	t.Helper()
	addrs := make([]string, oddTargets)
	for i := range addrs {
		addrs[i] = serveBytes(t, first, repeated)
	}
	s := newSiteWith(t, siteOptions{targets: 1, routes: fleet.IdempotentRoute("odd", oddHost, "odd"), addrs: addrs})
	besiege(t, s.settings.Front, client{first: []byte("GET /1 HTTP/1.1\r\nHost: " + oddHost + "\r\n" + headEnd), reads: true})
	s.requireServed()
	s.check()
}

// Guards against targets whose heads do not end.
func TestTargetHeadsWithoutEnd(t *testing.T) {
	requireTargetsBorne(t, okHead, repeat("a:\r\n"))
}

// Guards against targets that send one field without end.
func TestTargetFieldWithoutEnd(t *testing.T) {
	requireTargetsBorne(t, okHead+"A: ", repeat("a"))
}

// Guards against targets whose bodies have no length and no end.
func TestTargetBodiesWithoutEnd(t *testing.T) {
	requireTargetsBorne(t, okHead+headEnd, repeat("a"))
}

// Guards against targets whose bodies come in chunks without end.
func TestTargetChunksWithoutEnd(t *testing.T) {
	requireTargetsBorne(t, okHead+chunked+headEnd, repeat("1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n"))
}

// Guards against targets that send interim answers without end.
func TestTargetInterimAnswersWithoutEnd(t *testing.T) {
	requireTargetsBorne(t, "", repeat("HTTP/1.1 100 Continue\r\n\r\n"))
}

// Guards against targets whose heads are short, cost much once they are parsed, and are held until a body ends that does not come.
func TestTargetHeadsOfManyFields(t *testing.T) {
	requireTargetsBorne(t, okHead+shortFields(15_000)+contentLength(100)+headEnd, nil)
}

// oddStore is a store that answers with odd bytes once it is told to.
type oddStore struct {
	odd      atomic.Bool
	calls    atomic.Int64
	store    http.Handler
	first    string
	repeated []byte
}

// ServeHTTP implements http.Handler.
func (s *oddStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.odd.Load() {
		s.store.ServeHTTP(w, r)
		return
	}
	s.calls.Add(1)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, s.first)
	for err == nil {
		_, err = conn.Write(s.repeated)
	}
}

// requireStoreBorne exposes a gateway to a store that answers each call with the same bytes, and to targets that do so too if
// there are any.
func requireStoreBorne(t *testing.T, first string, repeated []byte, targets ...string) {
	t.Helper()
	odd := &oddStore{first: first, repeated: repeated}
	s := newSiteWith(t, siteOptions{targets: 1, routes: fleet.IdempotentRoute("odd", oddHost, "odd"), addrs: targets, wrapStore: func(h http.Handler) http.Handler {
		odd.store = h
		return odd
	}})
	odd.odd.Store(true)
	if len(targets) > 0 {
		besiege(t, s.settings.Front, client{first: []byte("GET /1 HTTP/1.1\r\nHost: " + oddHost + "\r\n" + headEnd), reads: true})
	}
	s.eventually("calls to the store", func() error {
		if odd.calls.Load() < 20 {
			return io.ErrNoProgress
		}
		return nil
	})
	s.requireServed()
	odd.odd.Store(false)
	time.Sleep(time.Second)
	s.requireServed()
	s.check()
}

// Guards against a store whose heads do not end.
func TestStoreHeadsWithoutEnd(t *testing.T) { requireStoreBorne(t, okHead, repeat("a:\r\n")) }

// Guards against a store whose bodies do not end.
func TestStoreBodiesWithoutEnd(t *testing.T) { requireStoreBorne(t, okHead+headEnd, repeat("[")) }

// Guards against a store whose bodies come in chunks without end.
func TestStoreChunksWithoutEnd(t *testing.T) {
	requireStoreBorne(t, okHead+chunked+headEnd, repeat("1000\r\n"+strings.Repeat("[", 0x1000)+"\r\n"))
}

// Guards against bounds of targets and of the store that add up to more than the machine has.
func TestTargetsAndStoreWithoutEnd(t *testing.T) {
	addrs := make([]string, oddTargets)
	for i := range addrs {
		addrs[i] = serveBytes(t, okHead+headEnd, repeat("a"))
	}
	requireStoreBorne(t, okHead+headEnd, repeat("["), addrs...)
}

// Guards against a store whose answers and events do not end and that ends hq-agent, which reads all objects at once.
func TestAgentStoreWithoutEnd(t *testing.T) {
	for name, first := range map[string]string{"head": okHead, "body": okHead + headEnd} {
		t.Run(name, func(t *testing.T) {
			store := serveBytes(t, first, repeat("a:\r\n"))
			p, _, admin := startDaemon(t, "hq-agent", func(peers string, base daemon.Base) any {
				return agent.Settings{Base: base, Listen: peers, Store: "http://" + store}
			})
			time.Sleep(crowdTime)
			p.eventually("an ordinary request for /metrics", func() error { return requireStatus(admin, "/metrics", http.StatusOK) })
			p.check()
		})
	}
}
