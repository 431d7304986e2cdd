package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"golang.org/x/time/rate"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/boottime"
	"hemlockquay/internal/budget"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/decide/forwarding"
	"hemlockquay/internal/gateway/leasing"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/pipeline"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/stall"
	"hemlockquay/internal/storerelay"
	"hemlockquay/internal/upstream"
)

// Gateway is the hq-gateway daemon.
type Gateway struct {
	settings   *Settings
	adapter    Adapter
	headers    Headers
	store      platform.ObjectStore
	clock      boottime.Clock
	log        *log.Logger
	registry   metrics.Registry
	life       *daemon.Lifecycle
	self       mesh.Member
	state      *routingState
	mesh       *mesh.Mesh
	counters   *counters
	requestLog *requestLogLimiter
	// memory bounds the memory of all requests, with their bodies, responses and connections.
	memory *budget.Budget
	// descriptors bounds the descriptors of the connections of callers and to targets.
	descriptors *budget.Budget
	bodyMemory  bodyMemory
	// brokenAnswers records the broken answers of targets, of the store and of other VMs.
	brokenAnswers *answers.Log
	// transfers sends configurations and lists of targets to other VMs.
	transfers *transfers
	// forwarded are the requests that this VM sends for others, forwardClients the connections over which
	// others send requests for this one.
	forwarded      *forwardedRequests
	forwardClients *peer.Pool
	forwardMetrics forwardMetrics
	inquiries      inquiryMetrics
	limits         limitMetrics
	signals        signalMetrics
	permitCalls    *permitCalls
	// placeCalls remembers which VMs have answered calls about places. A VM of an earlier version answers none, but may
	// still grant permits.
	placeCalls *permitCalls
	// places are the requests that wait for a place at an owner, lines those of the owners whose holder this VM is.
	places        *placeRequests
	lines         *placeLines
	unreadHeaders *unreadHeaders
	forwardCount  atomic.Uint64
	// lag is by how much this VM's own work is late.
	lag lagMeter
	// stalls says when this process did not run.
	stalls *stall.Meter
	// router chooses the VMs that send requests for this one. It is guarded by routerMu.
	routerMu sync.Mutex
	router   *forwarding.Router
	leasing  *leasing.Manager

	ctx    context.Context
	cancel context.CancelFunc
	// sighups receives SIGHUP.
	sighups chan os.Signal
	// attemptLog limits the log lines on attempts to fetch a value.
	attemptLog *rate.Limiter
	// fetches holds the running fetches, a *fetchSources for each kind of value.
	fetches sync.Map
	// writeCount makes the tags of writes unique.
	writeCount atomic.Uint64
	// storeUp reports whether the store responded when it was last called. storeRespondedAt is the
	// time of its last response, on clock.
	storeUp          atomic.Bool
	storeRespondedAt atomic.Int64
	// storeRelayedAt is the time of the store's last response through another VM, on clock.
	storeRelayedAt atomic.Int64
	// watching is the number of kinds of objects that this VM watches at the store.
	watching atomic.Int32
	// confirmations tracks when the objects of the store were last confirmed to be known.
	confirmations *confirmations
	// pendingCalls are the calls to the store that have no answer yet.
	pendingCalls *pendingCalls
	// joined reports whether the list of VMs was received from the store or from another VM.
	joined atomic.Bool
	// membersListed reports whether the list of VMs was read from the store.
	membersListed atomic.Bool
	// listed reports whether the list of targets is known.
	listed atomic.Bool
	// grace is the time from SIGTERM until the process is killed, in nanoseconds. It does not
	// change during the graceful shutdown.
	grace atomic.Int64
	// evacuateWithin is Settings.EvacuateWithin, in nanoseconds.
	evacuateWithin atomic.Int64
	// leaving is set by the graceful shutdown. leavingSince is set before it, on clock.
	leaving      atomic.Bool
	leavingSince atomic.Int64

	// front serves callers, ready the readiness check of the load balancer. callers are the connections of front.
	front, ready *http.Server
	callers      *pipeline.Listener
	// requestCtx is the parent context of all callers' requests. cancelRequests ends those in
	// flight.
	requestCtx     context.Context
	cancelRequests context.CancelCauseFunc
	peers          *peer.Server
}

// Module returns the fx module of the daemon for a platform.
func Module(a Adapter) fx.Option {
	return fx.Options(
		fx.Supply(fx.Annotate(a, fx.As(new(Adapter)))),
		fx.Invoke(start),
	)
}

func start(kit *daemon.Deps[*Settings], a Adapter) error {
	debug.SetGCPercent(kit.Settings.GCPercent)
	debug.SetMemoryLimit(kit.Settings.heapLimitBytes())
	g := newGateway(kit.Settings, a, boottime.System{}, kit.Log, kit.Registry)
	g.life = kit.Lifecycle
	g.receiveSIGHUP()
	kit.Lifecycle.AddDumpSection("view", g.dump)
	kit.LC.Append(fx.Hook{OnStart: g.start, OnStop: g.stop})
	return nil
}

func newGateway(s *Settings, a Adapter, clock boottime.Clock, logger *log.Logger, registry metrics.Registry) *Gateway {
	g := &Gateway{
		settings: s, adapter: a, headers: a.Headers(), clock: clock, log: logger, registry: registry,
		self:     mesh.Member{VM: s.VM, Addr: s.Peers, DataCentre: s.DataCentre, Incarnation: uint64(time.Now().UnixNano()), LinkMbps: uint32(s.LinkMbps)},
		counters: newCounters(registry), requestLog: newRequestLogLimiter(registry),
	}
	g.stalls = stall.NewMeter(clock)
	g.memory = budget.New("memory", s.requestMemoryBytes(), registry)
	g.bodyMemory, g.brokenAnswers = g.newBodyMemory(), answers.NewLog(registry, logger)
	g.descriptors = budget.New("descriptors", s.connectionDescriptors(), registry)
	g.pendingCalls, g.attemptLog = newPendingCalls(), rate.NewLimiter(maxAttemptLines, maxAttemptLines)
	g.store = observedStore{ObjectStore: a.Store(s.Store, g.memory.Share(s.memoryShare(storeMemoryShare)), g.brokenAnswers), registry: registry, clock: clock, onResult: g.recordStoreResult, pending: g.pendingCalls, onRefused: g.newRefusedLog()}
	g.confirmations = newConfirmations(clock, a.ConfigID().Kind, a.TargetKind(), a.EvacuationKind())
	g.transfers = newTransfers(g.self.LinkBytesPerSecond())
	g.forwarded, g.forwardClients = g.newForwardedRequests(), peer.NewRequestPool(forwardConnections)
	g.router, g.forwardMetrics = forwarding.NewRouter(int(catalog.Hash(s.VM))), newForwardMetrics(registry)
	g.inquiries, g.limits, g.signals = newInquiryMetrics(registry), newLimitMetrics(registry), newSignalMetrics(registry)
	g.permitCalls, g.placeCalls = newPermitCalls(), newPermitCalls()
	g.places, g.lines = newPlaceRequests(registry), newPlaceLines(clock.Now, registry, g.notifyReady)
	g.unreadHeaders = newUnreadHeaders(registry, g.headers.inResponses())
	g.sighups = make(chan os.Signal, 1)
	g.grace.Store(int64(s.Grace))
	g.evacuateWithin.Store(int64(s.EvacuateWithin))
	g.state = newRoutingState(clock, logger, registry, s.DataCentre, s.repeatLimit())
	g.state.source, _ = s.targetSource()
	g.state.answerMemory, g.state.brokenAnswers = g.newAnswerMemory(), g.brokenAnswers
	g.state.targetConns = upstream.NewConns(g.descriptors.Share(s.descriptorShare(targetDescriptorShare)), registry).ReceiveBuffer(s.Limits.ReceiveBuffer)
	g.state.vm, g.state.warmup, g.state.regions = s.VM, s.Warmup, s.Regions
	g.state.placesFromVMs = s.Places.FromVMs
	g.mesh = mesh.New(g.self, clock, logger)
	replies := peer.ReplyBounds{Memory: g.memory.Share(s.memoryShare(peerMemoryShare)), Registry: registry}
	g.forwardClients.Within(replies)
	g.mesh.BoundReplies(replies)
	g.state.announce, g.state.reachedBy = g.mesh.Announce, g.mesh.ReachedBy
	// If all VMs started with the same target, they would overload it together.
	g.state.startIndex = int(catalog.Hash(s.VM))
	g.registerGauges()
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.requestCtx, g.cancelRequests = context.WithCancelCause(context.Background())
	g.front = g.newFront()
	g.leasing = g.newLeaseManager()
	return g
}

// tag returns a unique name for a write to the store.
func (g *Gateway) tag() string {
	return g.self.VM + "/" + strconv.FormatUint(g.self.Incarnation, 36) + "/" + strconv.FormatUint(g.writeCount.Add(1), 10)
}

func (g *Gateway) start(context.Context) error {
	// Other VMs call as soon as the port is open.
	g.mesh.Start(g)
	if err := g.listen(); err != nil {
		return err
	}
	for _, duty := range []func(context.Context){
		g.expireTargets, g.joinMesh, g.leasing.Run, g.refreshLoads, g.refreshPlaces, g.closeIdleConnections, g.watchSettings, g.reportRepeats, g.probePaths, g.measureLag, g.logLag, g.logTraffic, g.reportLimits, g.reportSignals, g.lines.sweep,
	} {
		go duty(g.ctx)
	}
	g.startWatches(g.ctx)
	g.log.Info().Str("step", "start").Str("front", g.settings.Front).Str("peers", g.settings.Peers).Str("store", g.settings.Store).
		Uint64("incarnation", g.self.Incarnation).Msg("started")
	return nil
}

func (g *Gateway) listen() error {
	var err error
	if g.peers, err = peer.Listen(g.settings.Peers); err != nil {
		return err
	}
	if err := g.registerServices(); err != nil {
		return err
	}
	g.ready = &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}
	pipeline.Attach(g.ready)
	for _, s := range []struct {
		addr   string
		server *http.Server
	}{{g.settings.Front, g.front}, {g.settings.Ready, g.ready}} {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if s.server == g.front {
			g.callers = g.newCallerListener(l)
			l = g.callers
		} else {
			l = g.newReadyListener(l)
		}
		go g.serve(s.server, l)
	}
	g.peers.Bound(peer.Bounds{
		Connections: int(min(int64(g.settings.MaxPeers), g.settings.descriptorShare(peerDescriptorShare))),
		Memory:      g.memory.Share(g.settings.memoryShare(peerMemoryShare)),
		Unproven:    g.memory.Share(g.settings.memoryShare(peerMemoryShare / 4)), Registry: g.registry,
	})
	g.peers.Stalls = g.stalls
	g.peers.OnAcceptError = g.newAcceptErrorLog(g.settings.Peers)
	go g.peers.Serve()
	return nil
}

// registerServices registers the RPC services for other VMs.
func (g *Gateway) registerServices() error {
	return errors.Join(
		g.peers.Register("Mesh", mesh.Service{Mesh: g.mesh}),
		g.peers.Register("View", View{g}),
		g.peers.Register("Forward", Forward{g}),
		g.peers.Register("Permits", Permits{g}),
		g.peers.Register("Places", Places{g}),
		g.peers.Register("Store", storerelay.NewService(g.ctx, g.store, g.storeUp.Load)),
	)
}

func (g *Gateway) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error().Str("step", "listen").Str("addr", l.Addr().String()).Err(err).Msg("listener failed")
	}
}

// serveReady tells the load balancer whether to send new connections to this VM.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.leaving.Load() || g.state.view.Load().Routes == nil || !g.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reportReady marks the daemon as ready once it has a configuration and the list of targets.
func (g *Gateway) reportReady() {
	if g.life != nil && g.state.view.Load().Routes != nil && g.listed.Load() {
		g.life.MarkConfigured()
	}
}

// closeIdleConnections periodically closes idle connections to targets.
func (g *Gateway) closeIdleConnections(ctx context.Context) {
	for pause.For(ctx, time.Second) {
		g.state.mu.Lock()
		for _, t := range g.state.targets {
			t.pool.CloseExpired(time.Now())
		}
		g.state.mu.Unlock()
	}
}
