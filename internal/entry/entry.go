package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/feed"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// processName is the daemon's name in reports and logs.
const processName = "hq-entry"

// Module wires the entry.
var Module = fx.Options(
	fx.Provide(func() boottime.Clock { return boottime.System{} }, newEntry),
	fx.Invoke(func(*entry) {}),
)

// entry is the process: the callers' HTTP server and its parts.
type entry struct {
	*daemon.Deps[*Settings]
	parser    *requestParser
	feed      *feed.Feed
	forwarder *forwarder
	admitter  *admitter
	sharer    *sharer
	peers     *peer.Server
	cancel    context.CancelFunc
	duties    sync.WaitGroup
	started   int64
	requests  atomic.Uint64
	answered  metrics.Timer
	refusals  metrics.Counter
	inFlight  metrics.Counter
	listener  net.Listener
	server    *http.Server
}

// idleTimeout is how long a kept connection without a request stays open.
// It is longer than balancers keep idle connections, 60 s by custom: the side that sends must close
// first, or a request crosses the close. Without it net/http uses readTimeout.
const idleTimeout = 3 * time.Minute

func newEntry(k *daemon.Deps[*Settings], clock boottime.Clock) (*entry, error) {
	listener, err := net.Listen("tcp", k.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := peer.Listen(k.Settings.PeerListen)
	if err != nil {
		return nil, err
	}
	endpoint := feed.Endpoint{Agent: k.Settings.Agent, Process: processName, Data: peers.Addr()}
	f := feed.New(k.LC, endpoint, k.Lifecycle, k.Log, k.Registry)
	e := &entry{
		Deps:      k,
		parser:    &requestParser{vm: k.Settings.VM},
		feed:      f,
		forwarder: &forwarder{vm: k.Settings.VM, feed: f, peers: pooled{peer.NewRequestPool(k.Settings.PeerConnections)}},
		started:   time.Now().UnixNano(),
		answered:  metrics.GetOrRegisterTimer("entry.answered", k.Registry),
		refusals:  metrics.GetOrRegisterCounter("entry.refused", k.Registry),
		inFlight:  metrics.GetOrRegisterCounter("entry.inflight", k.Registry),
		listener:  listener,
	}
	e.admitter = newAdmitter(k.Settings.VM, e.started, k.Settings.ReadTimeout.D(), clock, k.Journal, k.Registry)
	e.sharer = newSharer(k.Settings.VM, e.admitter, f, k.Lifecycle.Require(needsBase), k.Log, k.Registry)
	e.peers = peers
	if err := peers.Register("Entry", &shareReceiver{e.admitter}); err != nil {
		return nil, err
	}
	k.Lifecycle.AddDumpSection("entry", e.dump)
	k.Lifecycle.AddDumpSection("limits", e.admitter.dump)
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: k.Settings.ReadTimeout.D(),
		ReadTimeout:       k.Settings.ReadTimeout.D(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    k.Settings.MaxHeader,
	}
	k.LC.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
	return e, nil
}

func (e *entry) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.duties.Go(func() { e.sharer.run(ctx) })
	go func() {
		if err := e.peers.Serve(); err != nil {
			e.Log.Error().Err(err).Str("step", "serve").Msg("peer server ended")
		}
	}()
	go func() { _ = e.server.Serve(e.listener) }()
	return nil
}

// stop drains: requests are answered until the balancer has been notified; then
// those in flight are answered and new ones refused as not run.
func (e *entry) stop(ctx context.Context) error {
	e.Lifecycle.BeginDrain()
	e.Lifecycle.WaitLeaveLead(ctx)
	err := e.server.Shutdown(ctx)
	e.cancel()
	e.duties.Wait()
	e.sharer.peers.Close()
	e.peers.Close()
	e.forwarder.peers.Close()
	e.Lifecycle.Drained()
	if err != nil {
		return fmt.Errorf("drain callers: %w", err)
	}
	return nil
}

func (e *entry) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	// Not a route: gin's routes match unescaped paths and a fixed list of
	// methods, and targets may take others.
	g.NoRoute(e.serve)
	return g
}

func (e *entry) serve(c *gin.Context) {
	begun := time.Now()
	if why := e.leaving(c); why != "" {
		e.refuse(c, problem.Refuse(problem.Leaving, stepParse, e.Settings.VM, why).After(time.Second))
		return
	}
	if ready, why := e.Lifecycle.IsReady(); !ready && !e.Lifecycle.Serving() {
		e.refuse(c, problem.Refuse(problem.NotReady, stepParse, e.Settings.VM, why).After(time.Second))
		return
	}
	req, p := e.parser.parse(e.feed.Current(), c.Request, begun)
	if p == nil {
		p = e.admitter.admit(req)
	}
	if p != nil {
		e.refuse(c, p)
		return
	}
	e.inFlight.Inc(1)
	answer, p := e.run(c, req)
	e.inFlight.Dec(1)
	e.admitter.release(req, time.Since(begun))
	if p != nil {
		e.refuse(c, p)
		return
	}
	e.answered.UpdateSince(begun)
	e.write(c, answer)
}

// run takes an admitted req to its answer.
func (e *entry) run(c *gin.Context, v *parsedRequest) (*wire.Answer, *problem.Error) {
	if p := e.parser.readBody(c.Writer, c.Request, v); p != nil {
		return nil, p
	}
	v.request.ID = e.nextID()
	return e.forwarder.forward(c.Request.Context(), v)
}

// leaving asks the caller to take its next request elsewhere, and says why this
// one is refused once the lead is over.
func (e *entry) leaving(c *gin.Context) string {
	select {
	case <-e.Lifecycle.Draining():
	default:
		return ""
	}
	c.Header("Connection", "close")
	if e.Lifecycle.Serving() {
		return ""
	}
	return "the entry is leaving"
}

// nextID names a request: unique over VMs and restarts.
func (e *entry) nextID() string {
	return e.Settings.VM + "-" + strconv.FormatInt(e.started, 36) + "-" + strconv.FormatUint(e.requests.Add(1), 36)
}

func (e *entry) write(c *gin.Context, a *wire.Answer) {
	header := c.Writer.Header()
	for name, values := range endToEnd(a.Header) {
		header[name] = values
	}
	header.Set(problem.Header, string(problem.RanYes))
	if length := contentLength(c.Request.Method, a); length != "" {
		header.Set("Content-Length", length)
	}
	c.Status(a.Status)
	_, _ = c.Writer.Write(a.Body)
}

// contentLength returns the answer's length, "" where it has none. The answer to
// HEAD returns the length that GET would have, which only the target knows.
func contentLength(method string, a *wire.Answer) string {
	switch {
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		return ""
	case method != http.MethodHead:
		return strconv.Itoa(len(a.Body))
	}
	length := a.Header.Get("Content-Length")
	if _, err := strconv.ParseUint(length, 10, 63); err != nil {
		return ""
	}
	return length
}

// state is the entry's section of the dump.
type state struct {
	Listen     string `json:"listen"`
	PeerListen string `json:"peerListen"`
	// InFlight are the requests that were admitted and are not answered yet.
	InFlight  int64  `json:"inFlight"`
	Forwarded uint64 `json:"forwarded"`
	Answered  int64  `json:"answered"`
	Refused   int64  `json:"refused"`
}

func (e *entry) dump() any {
	return state{
		Listen: e.listener.Addr().String(), PeerListen: e.peers.Addr(),
		InFlight: e.inFlight.Count(), Forwarded: e.requests.Load(), Answered: e.answered.Count(), Refused: e.refusals.Count(),
	}
}

// document is the body of a refusal, RFC 9457.
type document struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Ran       problem.Ran  `json:"ran"`
	Kind      problem.Kind `json:"kind"`
	Step      string       `json:"step"`
	Peer      string       `json:"peer,omitempty"`
	RequestID string       `json:"requestId,omitempty"`
}

// typePrefix makes a problem's type URI of its kind.
const typePrefix = "urn:hemlockquay:problem:"

func (e *entry) refuse(c *gin.Context, p *problem.Error) {
	e.refusals.Inc(1)
	e.Log.Debug().Str("step", p.Step).Str("peer", p.Peer).Str("kind", string(p.Kind)).Msg(p.Detail)
	if p.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int((p.RetryAfter+time.Second-1)/time.Second)))
	}
	if p.Kind == problem.TooLarge {
		// On a connection that it keeps, net/http reads the body before it
		// sends the refusal.
		c.Header("Connection", "close")
	}
	c.Header(problem.Header, string(p.Ran))
	c.Header("Content-Type", problem.ContentType)
	c.JSON(p.Status(), document{
		Type: typePrefix + string(p.Kind), Title: http.StatusText(p.Status()), Status: p.Status(),
		Detail: p.Detail, Ran: p.Ran, Kind: p.Kind, Step: p.Step, Peer: p.Peer,
	})
}
