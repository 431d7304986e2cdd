package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/route"
	"hemlockquay/internal/standin/link/linktest"
)

// plays is how often an exchange is repeated whose outcome depends on which part of a process learns first of a reset.
const plays = 4

// addServer adds a target that sends replies byte for byte.
func (b *testbed) addServer(id string, replies ...linktest.Reply) *linktest.Server {
	s := linktest.ServeReplies(b.t, "Id", replies...)
	b.targets = append(b.targets, catalog.Target{ID: id, Service: "pool", Addr: s.Addr, Slots: 2, Born: 1})
	b.state.setTargets(uint64(len(b.targets)), b.targets...)
	return s
}

// newUploadTestbed returns a testbed that accepts all uploads of package linktest.
func newUploadTestbed(t *testing.T) *testbed {
	b := newTestbed(t)
	config := *b.state.view.Load().Routes.Config()
	config.Version++
	config.Limits = route.Limits{BodyBytes: linktest.MaxUpload}
	b.state.setConfig(&config, "test")
	b.confirmations.confirm("config", 1, config.Version, b.clock.Now())
	return b
}

// brokenPlay is a gateway whose target sends its replies byte for byte, and the server for its callers.
type brokenPlay struct {
	*testbed
	front *httptest.Server
	sent  int
}

// newBrokenPlay returns a gateway in front of a server that answers the n-th request with the n-th reply.
func newBrokenPlay(t *testing.T, exchanges []linktest.Exchange) (*brokenPlay, *linktest.Server) {
	b := newUploadTestbed(t)
	replies := make([]linktest.Reply, len(exchanges))
	for i, e := range exchanges {
		replies[i] = e.Reply
	}
	s := b.addServer("a", replies...)
	p := &brokenPlay{testbed: b, front: httptest.NewServer(b.Gateway)}
	t.Cleanup(p.front.Close)
	return p, s
}

// send sends a request that must run once at most, with a body of some bytes, and returns the status and the body of the answer.
func (p *brokenPlay) send(t *testing.T, upload int) (int, string) {
	t.Helper()
	p.sent++
	req, err := http.NewRequest(http.MethodPost, p.front.URL+"/x", strings.NewReader(strings.Repeat("x", upload)))
	require.NoError(t, err)
	req.Host = "once.example"
	req.Header.Set("Id", "r-"+strconv.Itoa(p.sent))
	resp, err := p.front.Client().Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// requireNoAnswers plays exchanges whose replies are broken.
func requireNoAnswers(t *testing.T, exchanges []linktest.Exchange) {
	p, s := newBrokenPlay(t, exchanges)
	for i, e := range exchanges {
		t.Run(e.Name, func(t *testing.T) {
			status, body := p.send(t, e.Upload)
			require.Equal(t, http.StatusBadGateway, status, "%q", body)
			require.NotContains(t, body, "body")
			require.EqualValues(t, i+1, s.Requests.Load(), "a request that may have run is not sent again")
			require.EqualValues(t, i+1, s.Conns.Load(), "a connection with a broken answer is not used again")
		})
	}
	require.EqualValues(t, len(exchanges), metrics.GetOrRegisterCounter("answers.broken", p.registry).Count())
}

// requireAnswers plays exchanges whose replies are sound.
func requireAnswers(t *testing.T, exchanges []linktest.Exchange) {
	p, s := newBrokenPlay(t, exchanges)
	for i, e := range exchanges {
		t.Run(e.Name, func(t *testing.T) {
			status, body := p.send(t, e.Upload)
			require.Equal(t, e.Body, body)
			require.Equal(t, e.Status, status)
			require.EqualValues(t, i+1, s.Requests.Load())
		})
	}
	require.Zero(t, metrics.GetOrRegisterCounter("answers.broken", p.registry).Count())
}

// Guards against a part of an answer that a caller gets as a whole one, because the connection was reset while the upload was written.
func TestAnswerCutDuringTheUploadReachesNoCaller(t *testing.T) {
	for range plays {
		requireNoAnswers(t, linktest.Cuts())
	}
}

// Guards against the loss of idempotent requests whose answer was cut, although another target has an answer.
func TestIdempotentRequestGoesElsewhereAfterACutAnswer(t *testing.T) {
	whole := linktest.Reply{Text: "HTTP/1.1 200 OK\r\nId: $id\r\nContent-Length: 5\r\n\r\nwhole"}
	for _, e := range linktest.Cuts() {
		t.Run(e.Name, func(t *testing.T) {
			b := newUploadTestbed(t)
			s := b.addServer("a", e.Reply, whole)
			b.targets = append(b.targets, catalog.Target{ID: "b", Service: "pool", Addr: s.Addr, Slots: 2, Born: 1})
			b.state.setTargets(uint64(len(b.targets)), b.targets...)
			resp := b.send("safe.example", nil, strings.Repeat("x", e.Upload))
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "whole", string(body))
			require.EqualValues(t, 2, s.Requests.Load())
		})
	}
}

// Guards against sound answers that count as broken: without a length and with a FIN, or early and with a length.
func TestSoundAnswersStayWhole(t *testing.T) {
	for _, e := range linktest.SoundReplies() {
		requireAnswers(t, []linktest.Exchange{e})
	}
	requireAnswers(t, linktest.SoundNames())
}

// Guards against answers that are no answers, as their status is none, and that reach a caller or hide the next answer.
func TestAnswerWithoutAStatusReachesNoCaller(t *testing.T) {
	requireNoAnswers(t, linktest.BrokenStatuses())
}

// Guards against a head with a malformed name of a field, which is passed on or makes other bytes the body.
func TestAnswerWithAMalformedNameReachesNoCaller(t *testing.T) {
	requireNoAnswers(t, linktest.BrokenNames())
}

// Guards against a kept connection that is used again after a broken answer on it, and against a second sending of its request.
func TestConnectionWithABrokenAnswerIsNotUsedAgain(t *testing.T) {
	exchanges := linktest.OnKeptConns(slices.Concat(linktest.Cuts(), linktest.BrokenStatuses(), linktest.BrokenNames()))
	p, s := newBrokenPlay(t, exchanges)
	reused := 0
	for i, e := range exchanges {
		want := http.StatusBadGateway
		if e.Status != 0 {
			want = e.Status
		}
		status, body := p.send(t, e.Upload)
		require.Equal(t, want, status, "%s: %q", e.Name, body)
		require.EqualValues(t, i+1, s.Requests.Load(), e.Name)
		if i > 0 && s.Followed(i-1) {
			reused++
			require.NotZero(t, exchanges[i-1].Status, "%s is followed by another request", exchanges[i-1].Name)
		}
	}
	require.NotZero(t, reused)
}

// passingPeer is a VM that passes on whatever answer a target sends.
type passingPeer struct {
	status int
	header http.Header
	asked  *atomic.Int32
}

// Send answers a forwarded request.
func (p passingPeer) Send(in *ForwardArgs, out *ForwardReply) error {
	p.asked.Add(1)
	*out = ForwardReply{Result: answeredToPeer, Status: p.status, Header: p.header.Clone(), Body: []byte("first part")}
	out.Header.Set("Id", in.ID)
	return nil
}

// Cancel cancels a forwarded request.
func (p passingPeer) Cancel(*ForwardID, *struct{}) error { return nil }

// Guards against a broken answer that another VM, which runs an earlier version, passes on.
func TestBrokenAnswerThroughAnotherVMReachesNoCaller(t *testing.T) {
	for name, broken := range map[string]passingPeer{
		"status 0": {status: 0}, "status 99": {status: 99}, "interim": {status: 103}, "status 600": {status: 600}, "status 1000": {status: 1000},
		"blank in a name": {status: 200, header: http.Header{"X A": {"b"}}},
		"no name":         {status: 200, header: http.Header{"": {"b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := peer.Listen("127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(server.Close)
			broken.asked = new(atomic.Int32)
			if broken.header == nil {
				broken.header = make(http.Header)
			}
			require.NoError(t, server.Register("Forward", broken))
			go server.Serve()
			f := newForwardingFleet(t)
			b := f.peer.Heartbeat()
			b.From.Addr, b.From.Incarnation = server.Addr(), b.From.Incarnation+1
			f.cut.receiveHeartbeat(b)
			resp := f.cut.send("once.example", nil, "")
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%q", body)
			require.NotContains(t, string(body), "first part")
			require.EqualValues(t, 1, broken.asked.Load())
		})
	}
}
