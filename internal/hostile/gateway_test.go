package hostile

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/gateway"
	"hemlockquay/internal/standin/fleet"
)

const (
	// targetSlots and answerBytes are the slots of a target and the size of its answers.
	targetSlots, answerBytes = 16, 20_000
	// maxHeader and maxBody are the limits in the configuration of fleet.Config.
	maxHeader, maxBody = 16 << 10, 1 << 20
)

// site is a gateway with the targets that it needs.
type site struct {
	*process
	settings gateway.Settings
}

// siteOptions are what a site has besides a gateway.
type siteOptions struct {
	// targets is the number of targets, each of which change is called with before it starts, unless it is nil.
	targets int
	change  func(*fleet.Target)
	// routes are further routes of the configuration.
	routes string
	// addrs are the addresses of further targets.
	addrs []string
	// wrapStore returns the handler that stands before the store, unless it is nil.
	wrapStore func(http.Handler) http.Handler
}

// newSite starts a gateway with a number of targets.
func newSite(t *testing.T, targets int) *site {
	t.Helper()
	return newSiteWith(t, siteOptions{targets: targets})
}

func newSiteWith(t *testing.T, o siteOptions) *site {
	t.Helper()
	store := fleet.NewStore()
	handler := http.Handler(store)
	if o.wrapStore != nil {
		handler = o.wrapStore(store)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	store.Set("config", "main", fleet.Config(1, o.routes))
	for i := range o.targets {
		target := &fleet.Target{ID: fmt.Sprintf("p-%d", i), Service: "pool", Zone: "a", Slots: targetSlots, Pad: answerBytes}
		target.SetWork(5 * time.Millisecond)
		if o.change != nil {
			o.change(target)
		}
		require.NoError(t, target.Start(store))
		t.Cleanup(target.Kill)
	}
	for i, addr := range o.addrs {
		fleet.ListServer(store, fmt.Sprintf("odd-%d", i), "odd", addr, 64)
	}
	dir := t.TempDir()
	written, err := fleet.WriteGateways(dir, []string{"vm-1"}, 3*time.Second, func(s *gateway.Settings) error {
		s.Store, s.MemoryMB = strings.TrimPrefix(server.URL, "http://"), memoryMB
		s.Pipeline.Requests = 8
		return nil
	})
	require.NoError(t, err)
	s := &site{process: startProcess(t, "hq-gateway", filepath.Join(dir, "vm-1.jsonc")), settings: written[0]}
	s.requireServed()
	s.watch()
	return s
}

// requireServed sends an ordinary request until it is answered.
func (s *site) requireServed() {
	s.t.Helper()
	s.eventually("an ordinary request", func() error {
		return s.request(get + "X-Request-Id: ordinary\r\nConnection: close\r\n" + headEnd)
	})
}

// request sends a request on a connection of its own, and returns an error unless it is answered with 200.
func (s *site) request(text string) error {
	conn, err := net.Dial("tcp", s.settings.Front)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	answer, err := io.ReadAll(conn)
	if !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
		return errors.Join(err, fmt.Errorf("answered %.200q", answer))
	}
	return nil
}

// requireBorne exposes the front of a gateway to a crowd and checks what must hold.
func requireBorne(t *testing.T, clients ...client) {
	t.Helper()
	s := newSite(t, 1)
	besiege(t, s.settings.Front, clients...)
	s.requireServed()
	s.check()
}

// Guards against heads that are far over the limit and do not end.
func TestHeadsOfShortFieldsNotEnded(t *testing.T) {
	requireBorne(t, client{first: []byte(get + shortFields(900_000))})
}

// Guards against whole heads that are far over the limit.
func TestHeadsOfShortFieldsEnded(t *testing.T) {
	requireBorne(t, client{first: []byte(get + shortFields(900_000) + headEnd)})
}

// Guards against fields without end.
func TestFieldsWithoutEnd(t *testing.T) {
	requireBorne(t, client{first: []byte(get), repeated: repeat("a:\r\n")})
}

// Guards against one field without end.
func TestOneFieldWithoutEnd(t *testing.T) {
	requireBorne(t, client{first: []byte(get + "A: "), repeated: repeat("a")})
}

// Guards against a request target without end.
func TestRequestTargetWithoutEnd(t *testing.T) {
	requireBorne(t, client{first: []byte("GET /p/"), repeated: repeat("a")})
}

// Guards against CR without end in place of a request.
func TestCRWithoutEndBeforeARequest(t *testing.T) {
	requireBorne(t, client{repeated: repeat("\r")})
}

// Guards against empty lines without end in place of a request.
func TestEmptyLinesWithoutEndBeforeARequest(t *testing.T) {
	requireBorne(t, client{repeated: repeat("\r\n")}, client{repeated: repeat("\n")})
}

// Guards against empty lines without end behind a request.
func TestEmptyLinesWithoutEndBehindARequest(t *testing.T) {
	requireBorne(t, client{first: []byte(get + headEnd), repeated: repeat("\r\n")}, client{first: []byte(get + headEnd), repeated: repeat("\n")})
}

// Guards against empty lines without end behind the body of a POST, where some are allowed.
func TestEmptyLinesWithoutEndBehindABody(t *testing.T) {
	first := []byte(post + contentLength(4) + headEnd + "body")
	requireBorne(t, client{first: first, repeated: repeat("\r\n")}, client{first: first, repeated: repeat("\n")})
}

// Guards against heads inside the limit that cost many times their size once they are parsed.
func TestHeadsOfShortFieldsInsideTheLimit(t *testing.T) {
	requireBorne(t, client{first: []byte(post + shortFields(15_000) + contentLength(1000) + headEnd)})
}

// Guards against the same heads in whole requests whose answers are not read.
func TestHeadsOfShortFieldsInsideTheLimitAnswered(t *testing.T) {
	requireBorne(t, client{repeated: []byte(get + shortFields(15_000) + headEnd)})
}

// Guards against heads that arrive byte by byte.
func TestHeadsInPieces(t *testing.T) {
	requireBorne(t, client{first: []byte(get + shortFields(15_000)), pieces: true})
}

// Guards against pipelined requests whose answers are not read, and which take all descriptors for connections to targets.
func TestPipelinedRequestsWithUnreadAnswers(t *testing.T) {
	requireBorne(t, client{first: []byte(strings.Repeat(get+headEnd, 400))})
}

// Guards against requests without end whose answers are not read.
func TestRequestsWithoutEnd(t *testing.T) {
	requireBorne(t, client{repeated: repeat(get + headEnd)})
}

// Guards against requests without end whose answers are read.
func TestRequestsWithoutEndThatAreRead(t *testing.T) {
	requireBorne(t, client{repeated: repeat(get + headEnd), reads: true})
}

// Guards against the same requests with two targets, which a VM may both take for lost.
func TestPipelinedRequestsToTwoTargets(t *testing.T) {
	s := newSite(t, 2)
	besiege(t, s.settings.Front, client{first: []byte(strings.Repeat(get+headEnd, 400))})
	s.requireServed()
	s.check()
}

const chunked = "Transfer-Encoding: chunked\r\n"

// Guards against chunk sizes without end.
func TestChunkSizesWithoutEnd(t *testing.T) {
	requireBorne(t, client{first: []byte(post + chunked + headEnd), repeated: repeat("0")})
}

// Guards against chunk extensions without end.
func TestChunkExtensionsWithoutEnd(t *testing.T) {
	requireBorne(t, client{first: []byte(post + chunked + headEnd + "1;"), repeated: repeat("a")})
}

// Guards against chunks of one byte without end, most of which are framing.
func TestChunksOfOneByteWithoutEnd(t *testing.T) {
	requireBorne(t, client{first: []byte(post + chunked + headEnd), repeated: repeat("1\r\na\r\n")})
}

// Guards against trailers without end.
func TestTrailersWithoutEnd(t *testing.T) {
	requireBorne(t, client{first: []byte(post + chunked + headEnd + "0\r\n"), repeated: repeat("a:\r\n")})
}

// Guards against bodies of the largest size by all clients at once.
func TestLargeBodies(t *testing.T) {
	whole := []byte(post + contentLength(maxBody) + headEnd + strings.Repeat("b", maxBody))
	requireBorne(t, client{first: whole}, client{first: whole, reads: true})
}

// Guards against large bodies that stop halfway.
func TestBodiesThatStopHalfway(t *testing.T) {
	half := strings.Repeat("b", maxBody/2)
	requireBorne(t, client{first: []byte(post + contentLength(maxBody) + headEnd + half)}, client{first: []byte(post + chunked + headEnd + fmt.Sprintf("%x\r\n", maxBody) + half)})
}

// Guards against bodies without end.
func TestBodiesWithoutEnd(t *testing.T) {
	requireBorne(t, client{first: []byte(post + contentLength(1<<39) + headEnd), repeated: repeat("b")}, client{first: []byte(post + chunked + headEnd + "7fffffffff\r\n"), repeated: repeat("b")})
}

// Guards against bytes without end behind a request to change the protocol.
func TestUpgrades(t *testing.T) {
	requireBorne(t,
		client{first: []byte(get + "Connection: Upgrade\r\nUpgrade: websocket\r\n" + headEnd), repeated: repeat("\x81\x05hello")},
		client{first: []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), repeated: repeat("\x00\x00\x00\x04\x00\x00\x00\x00\x00")},
		client{first: []byte("CONNECT p.example:80 HTTP/1.1\r\nHost: p.example\r\n\r\n"), repeated: repeat("c")})
}

// Guards against requests of HTTP/1.0, and heads without end of it.
func TestRequestsOfHTTP10(t *testing.T) {
	old := "GET /p/1 HTTP/1.0\r\nHost: p.example\r\nConnection: keep-alive\r\n"
	requireBorne(t, client{repeated: repeat(old + headEnd)}, client{first: []byte(old), repeated: repeat("a:\r\n")})
}

// Guards against heads whose lines end without CR.
func TestHeadsWithBareLineFeeds(t *testing.T) {
	requireBorne(t, client{first: []byte("GET /p/1 HTTP/1.1\nHost: p.example\n"), repeated: repeat("a:\n")}, client{first: []byte(get + "a: b\r\n"), repeated: repeat(" folded\r\n")})
}

// Guards against clients that end their direction and do not read.
func TestHalfClosedConnections(t *testing.T) {
	requireBorne(t, client{first: []byte(strings.Repeat(get+headEnd, 400)), halfCloses: true}, client{first: []byte(get + shortFields(15_000)), halfCloses: true})
}

// Guards against more silent connections than the process has descriptors.
func TestSilentConnections(t *testing.T) {
	requireBorne(t, client{connections: 2 * descriptors})
}

// Guards against connections that hold an incomplete head, more than the process has descriptors.
func TestIncompleteHeadsOnManyConnections(t *testing.T) {
	requireBorne(t, client{first: []byte(get), connections: 2 * descriptors})
}

// Guards against crowds of several kinds that fill different parts of the memory together.
func TestCrowdsOfSeveralKinds(t *testing.T) {
	requireBorne(t,
		client{first: []byte(post + contentLength(maxBody) + headEnd + strings.Repeat("b", maxBody)), connections: 80},
		client{first: []byte(strings.Repeat(get+headEnd, 400)), connections: 80},
		client{first: []byte(post + shortFields(15_000) + contentLength(1000) + headEnd), connections: 80},
		client{first: []byte(get + shortFields(900_000)), connections: 80},
		client{connections: descriptors})
}

// Guards against a bound that refuses a head at the limit.
func TestHeadAtTheLimitIsServedInCalm(t *testing.T) {
	s := newSite(t, 1)
	start := get + "X-Request-Id: calm\r\nConnection: close\r\n"
	fill := maxHeader - len(start) - len(headEnd)
	for name, fields := range map[string]string{
		"one field":    "F: " + strings.Repeat("f", fill-len("F: \r\n")) + "\r\n",
		"many fields":  strings.Repeat("f:\r\n", fill/4-1) + "g:" + strings.Repeat("g", fill%4) + "\r\n",
		"short fields": padded(shortFields(fill-20), fill),
	} {
		require.NoError(t, s.request(start+fields+headEnd), name)
	}
	s.check()
}

// padded adds a field that makes fields as long as size.
func padded(fields string, size int) string {
	return fields + "zzzzz: " + strings.Repeat("z", size-len(fields)-len("zzzzz: \r\n")) + "\r\n"
}

// Guards against a limit of heads that is not the one of the configuration.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	s := newSite(t, 1)
	start := get + "X-Request-Id: over\r\nConnection: close\r\n"
	fields := "F: " + strings.Repeat("f", maxHeader-len(start)-len(headEnd)+1-len("F: \r\n")) + "\r\n"
	err := s.request(start + fields + headEnd)
	require.ErrorContains(t, err, fmt.Sprint(http.StatusRequestHeaderFieldsTooLarge))
	s.check()
}
