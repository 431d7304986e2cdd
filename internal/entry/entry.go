package entry

import (
	"context"
	"errors"
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

	"hemlockquay/internal/answers"
	"hemlockquay/internal/boottime"
	"hemlockquay/internal/budget"
	"hemlockquay/internal/caller"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/feed"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/pipeline"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/stall"
	"hemlockquay/internal/wire"
)

// processName is the daemon's name in reports and logs.
const processName = "hq-entry"

// Module provides the entry daemon and starts it.
var Module = fx.Options(
	fx.Provide(func() boottime.Clock { return boottime.System{} }, newEntry),
	fx.Invoke(func(*entry) {}),
)

// entry is the daemon: the HTTP server for callers and the components behind it.
type entry struct {
	*daemon.Deps[*Settings]
	parser    *requestParser
	feed      *feed.Feed
	forwarder *forwarder
	admitter  *admitter
	exchanger *shareExchanger
	clock     boottime.Clock
	// stalls says when this process did not run.
	stalls      *stall.Meter
	peerServer  *peer.Server
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	incarnation int64
	requests    atomic.Uint64
	answered    metrics.Timer
	refusals    metrics.Counter
	inFlight    metrics.Counter
	listener    net.Listener
	// callers are the connections that listener accepts.
	callers *pipeline.Listener
	// bodies is the memory of the bodies of all requests.
	bodies *budget.Share
	server *http.Server
}

// idleTimeout is how long a keep-alive connection stays open without a request. It exceeds the
// idle timeout of load balancers, usually 60 s: the side that sends requests must close first,
// since a request may otherwise arrive while the connection is being closed. If it were not
// set, net/http would use Settings.ReadTimeout instead.
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
	bounds := k.Settings.PeerBounds(k.Registry)
	endpoint := feed.Endpoint{Agent: k.Settings.Agent, Process: processName, Data: peers.Addr(), Replies: bounds.Replies()}
	f := feed.New(k.LC, endpoint, k.Lifecycle, k.Log, k.Registry)
	e := &entry{
		Deps:        k,
		parser:      &requestParser{vm: k.Settings.VM},
		feed:        f,
		forwarder:   &forwarder{vm: k.Settings.VM, feed: f, client: pooledClient{peer.NewRequestPool(k.Settings.PeerConnections).Within(bounds.Replies())}, broken: answers.NewLog(k.Registry, k.Log)},
		incarnation: time.Now().UnixNano(),
		answered:    metrics.GetOrRegisterTimer("entry.answered", k.Registry),
		refusals:    metrics.GetOrRegisterCounter("entry.refused", k.Registry),
		inFlight:    metrics.GetOrRegisterCounter("entry.inflight", k.Registry),
		clock:       clock,
		stalls:      stall.NewMeter(clock),
		listener:    listener,
	}
	e.admitter = newAdmitter(k.Settings.VM, e.incarnation, k.Settings.ReadTimeout.D(), clock, k.Journal, k.Registry)
	e.exchanger = newShareExchanger(k.Settings.VM, e.admitter, f, k.Lifecycle.Require(baseNotConfirmed), k.Log, k.Registry)
	e.exchanger.pool.Within(bounds.Replies())
	peers.Bound(bounds)
	e.peerServer = peers
	if err := peers.Register("Entry", &shareService{e.admitter}); err != nil {
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
	pipeline.Attach(e.server)
	memory := k.Settings.newMemory(k.Registry)
	e.bodies = memory.Share(k.Settings.memoryShare(bodyMemoryShare))
	e.callers = k.Settings.newCallerListener(listener, memory, e.stalls, k.Registry)
	k.LC.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
	return e, nil
}

func (e *entry) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.wg.Go(func() { e.exchanger.run(ctx) })
	e.wg.Go(func() { e.stalls.Run(ctx, nil) })
	e.peerServer.OnAcceptError = func(err error) {
		e.Log.Warn().Err(err).Str("step", "accept").Msg("no connection of a peer accepted, trying again")
	}
	go e.peerServer.Serve()
	go func() { _ = e.server.Serve(e.callers) }()
	return nil
}

// stop shuts the entry down gracefully. It serves new requests until the load balancer has been
// notified. After that it refuses new requests as not run and completes those in flight.
func (e *entry) stop(ctx context.Context) error {
	e.Lifecycle.BeginDrain()
	e.Lifecycle.WaitLeaveLead(ctx)
	err := errors.Join(e.server.Shutdown(ctx), e.callers.Wait(ctx))
	e.cancel()
	e.wg.Wait()
	e.exchanger.pool.Close()
	e.peerServer.Close()
	e.forwarder.client.Close()
	e.Lifecycle.MarkDrained()
	if err != nil {
		return fmt.Errorf("shut down the HTTP server for callers: %w", err)
	}
	return nil
}

func (e *entry) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	// Requests are not registered as routes: gin's routes match unescaped paths and a fixed
	// list of methods, and targets may accept other methods.
	g.NoRoute(e.serve)
	return g
}

func (e *entry) serve(c *gin.Context) {
	start := time.Now()
	if reason := e.drainReason(c); reason != "" {
		e.writeRefusal(c, problem.Refuse(problem.Leaving, stepParse, e.Settings.VM, reason).WithRetryAfter(time.Second))
		return
	}
	if ready, reason := e.Lifecycle.IsReady(); !ready && !e.Lifecycle.Serving() {
		e.writeRefusal(c, problem.Refuse(problem.NotReady, stepParse, e.Settings.VM, reason).WithRetryAfter(time.Second))
		return
	}
	req, p := e.parser.parse(e.feed.Current(), c.Request, start.Add(-pipeline.Waited(c.Request.Context())))
	if p == nil {
		req.expires = e.clock.Now() + time.Until(req.deadline)
		p = e.admitter.admit(req)
	}
	if p != nil {
		e.writeRefusal(c, p)
		return
	}
	e.inFlight.Inc(1)
	answer, p := e.process(c, req)
	e.inFlight.Dec(1)
	e.admitter.release(req, time.Since(start))
	if p != nil {
		e.writeRefusal(c, p)
		return
	}
	e.answered.UpdateSince(start)
	e.writeAnswer(c, answer)
}

// process reads the body of an admitted request, forwards the request and returns the answer.
func (e *entry) process(c *gin.Context, req *parsedRequest) (*wire.Answer, *problem.Error) {
	held := budget.Reader{Share: e.bodies}
	defer held.Release()
	if p := e.parser.readBody(c.Writer, c.Request, req, &held); p != nil {
		if p.Kind == problem.Full {
			// The rest of the body is not read.
			c.Header("Connection", "close")
		}
		return nil, p
	}
	req.wireRequest.ID = e.nextRequestID()
	return e.forwarder.forward(caller.WithExpiry(c.Request.Context(), e.clock, req.expires), req)
}

// drainReason returns why a request is refused during a graceful shutdown, "" if it is served.
// From the beginning of the shutdown it also sets Connection: close, so that the caller sends
// its next request to another entry.
func (e *entry) drainReason(c *gin.Context) string {
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

// nextRequestID returns an ID that is unique across VMs and restarts.
func (e *entry) nextRequestID() string {
	return e.Settings.VM + "-" + strconv.FormatInt(e.incarnation, 36) + "-" + strconv.FormatUint(e.requests.Add(1), 36)
}

func (e *entry) writeAnswer(c *gin.Context, a *wire.Answer) {
	header := c.Writer.Header()
	for name, values := range endToEndHeaders(a.Header) {
		header[name] = values
	}
	header.Set(problem.Header, string(problem.RanYes))
	if length := contentLength(c.Request.Method, a); length != "" {
		header.Set("Content-Length", length)
	}
	c.Status(a.Status)
	_, _ = c.Writer.Write(a.Body)
}

// contentLength returns the value of the answer's Content-Length, "" for none. The answer to
// HEAD states the length that GET would have, which only the target knows.
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

// entryState is the entry's section of the dump.
type entryState struct {
	Listen     string `json:"listen"`
	PeerListen string `json:"peerListen"`
	// InFlight counts the requests that were admitted and have not been answered.
	InFlight  int64  `json:"inFlight"`
	Forwarded uint64 `json:"forwarded"`
	Answered  int64  `json:"answered"`
	Refused   int64  `json:"refused"`
}

func (e *entry) dump() any {
	return entryState{
		Listen: e.listener.Addr().String(), PeerListen: e.peerServer.Addr(),
		InFlight: e.inFlight.Count(), Forwarded: e.requests.Load(), Answered: e.answered.Count(), Refused: e.refusals.Count(),
	}
}

// problemDocument is the body of a refusal (RFC 9457).
type problemDocument struct {
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

// problemTypePrefix followed by the kind is the type URI of a problem.
const problemTypePrefix = "urn:hemlockquay:problem:"

func (e *entry) writeRefusal(c *gin.Context, p *problem.Error) {
	e.refusals.Inc(1)
	e.Log.Debug().Str("step", p.Step).Str("peer", p.Peer).Str("kind", string(p.Kind)).Msg(p.Detail)
	if p.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int((p.RetryAfter+time.Second-1)/time.Second)))
	}
	if p.Kind == problem.TooLarge {
		// If the connection were kept alive, net/http would read the body before it sends the
		// refusal.
		c.Header("Connection", "close")
	}
	c.Header(problem.Header, string(p.Ran))
	c.Header("Content-Type", problem.ContentType)
	c.JSON(p.Status(), problemDocument{
		Type: problemTypePrefix + string(p.Kind), Title: http.StatusText(p.Status()), Status: p.Status(),
		Detail: p.Detail, Ran: p.Ran, Kind: p.Kind, Step: p.Step, Peer: p.Peer,
	})
}
