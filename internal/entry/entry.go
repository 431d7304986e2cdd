package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/feed"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// processName is the daemon's name in reports and logs.
const processName = "hq-entry"

// Module wires the entry.
var Module = fx.Options(fx.Invoke(start))

type params struct {
	fx.In

	LC       fx.Lifecycle
	Settings *Settings
	Life     *daemon.Life
	Log      *log.Logger
	Registry metrics.Registry
	Journal  *journal.Journal
}

// entry is the process: the callers' HTTP server and its parts.
type entry struct {
	params
	door      *door
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
	listener  net.Listener
	server    *http.Server
}

func start(p params) error {
	listener, err := net.Listen("tcp", p.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := peer.Listen(p.Settings.PeerListen)
	if err != nil {
		return err
	}
	endpoint := feed.Endpoint{Agent: p.Settings.Agent, Process: processName, Data: peers.Addr()}
	f := feed.New(p.LC, endpoint, p.Life, p.Log, p.Registry)
	e := &entry{
		params:    p,
		door:      &door{vm: p.Settings.VM},
		feed:      f,
		forwarder: &forwarder{vm: p.Settings.VM, feed: f, peers: pooled{peer.NewPool(p.Settings.PeerConnections)}},
		started:   time.Now().UnixNano(),
		answered:  metrics.GetOrRegisterTimer("entry.answered", p.Registry),
		refusals:  metrics.GetOrRegisterCounter("entry.refused", p.Registry),
		listener:  listener,
	}
	e.admitter = newAdmitter(p.Settings.VM, e.started, p.Settings.ReadTimeout.D(), boottime.System{}, p.Journal, p.Registry)
	e.sharer = newSharer(p.Settings.VM, e.admitter, f, p.Log, p.Registry)
	e.peers = peers
	if err := peers.Register("Entry", &shareReceiver{e.admitter}); err != nil {
		return err
	}
	p.Life.Section("limits", e.admitter.dump)
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: p.Settings.ReadTimeout.D(),
		ReadTimeout:       p.Settings.ReadTimeout.D(),
		MaxHeaderBytes:    p.Settings.MaxHeader,
	}
	p.LC.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
	return nil
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

// stop drains: requests are answered until the balancer has been told; then
// those in flight are answered and new ones refused as not run.
func (e *entry) stop(ctx context.Context) error {
	e.Life.BeginDrain()
	e.Life.Lead(ctx)
	err := e.server.Shutdown(ctx)
	e.cancel()
	e.duties.Wait()
	e.sharer.peers.Close()
	e.peers.Close()
	e.forwarder.peers.Close()
	e.Life.Drained()
	if err != nil {
		return fmt.Errorf("drain callers: %w", err)
	}
	return nil
}

func (e *entry) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.HandleMethodNotAllowed = false
	g.Any("/s/:service/*path", e.serve)
	g.NoRoute(func(c *gin.Context) {
		e.refuse(c, problem.Refuse(problem.UnknownService, stepDoor, e.Settings.VM, "paths begin with /s/SERVICE/"))
	})
	return g
}

func (e *entry) serve(c *gin.Context) {
	begun := time.Now()
	if why := e.leaving(c); why != "" {
		e.refuse(c, problem.Refuse(problem.Leaving, stepDoor, e.Settings.VM, why).After(time.Second))
		return
	}
	if ready, why := e.Life.IsReady(); !ready && !e.Life.Serving() {
		e.refuse(c, problem.Refuse(problem.NotReady, stepDoor, e.Settings.VM, why).After(time.Second))
		return
	}
	// The escaped form: a target must see the path as the caller wrote it.
	path := strings.TrimPrefix(c.Request.URL.EscapedPath(), "/s/"+c.Param("service"))
	if c.Request.URL.RawQuery != "" {
		path += "?" + c.Request.URL.RawQuery
	}
	visit, p := e.door.check(e.feed.Current(), c.Param("service"), path, c.Request, begun)
	if p == nil {
		p = e.admitter.admit(visit)
	}
	if p != nil {
		e.refuse(c, p)
		return
	}
	answer, p := e.run(c, visit)
	e.admitter.release(visit, time.Since(begun))
	if p != nil {
		e.refuse(c, p)
		return
	}
	e.answered.UpdateSince(begun)
	e.write(c, answer)
}

// run takes an admitted visit to its answer.
func (e *entry) run(c *gin.Context, v *visit) (*wire.Answer, *problem.Error) {
	if p := e.door.readBody(c.Writer, c.Request, v); p != nil {
		return nil, p
	}
	v.request.ID = e.nextID()
	return e.forwarder.forward(c.Request.Context(), v)
}

// leaving asks the caller to take its next request elsewhere, and says why this
// one is refused once the lead is over.
func (e *entry) leaving(c *gin.Context) string {
	select {
	case <-e.Life.Draining():
	default:
		return ""
	}
	c.Header("Connection", "close")
	if e.Life.Serving() {
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
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	c.Status(a.Status)
	_, _ = c.Writer.Write(a.Body)
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
	c.Header(problem.Header, string(p.Ran))
	c.Header("Content-Type", problem.ContentType)
	c.JSON(p.Status(), document{
		Type: typePrefix + string(p.Kind), Title: http.StatusText(p.Status()), Status: p.Status(),
		Detail: p.Detail, Ran: p.Ran, Kind: p.Kind, Step: p.Step, Peer: p.Peer,
	})
}
