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

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/gateway/leasing"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/storerelay"
)

// Gateway is the daemon's parts joined together.
type Gateway struct {
	settings *Settings
	adapter  Adapter
	headers  Headers
	store    platform.ObjectStore
	clock    boottime.Clock
	log      *log.Logger
	registry metrics.Registry
	life     *daemon.Life
	self     mesh.Member
	state    *routingState
	mesh     *mesh.Mesh
	counters *counters
	lines    *requestLines
	bodies   bodyRoom
	// transfers sends configurations and lists of targets to other VMs.
	transfers *transfers
	leasing   *leasing.Manager

	ctx    context.Context
	cancel context.CancelFunc
	// hangups receives SIGHUP.
	hangups  chan os.Signal
	fetching sync.Map
	tags     atomic.Uint64
	// storeUp reports whether the store answered last, storeAnsweredAt when it did, on
	// clock.
	storeUp         atomic.Bool
	storeAnsweredAt atomic.Int64
	// storeRelayedAt is when the store last answered through another VM, on clock.
	storeRelayedAt atomic.Int64
	// targetsConfirmedAt is when the store, or a VM that it answers, last confirmed the list of targets,
	// on clock.
	targetsConfirmedAt atomic.Int64
	// joined reports whether the store or another VM has named the VMs.
	joined atomic.Bool
	// listed reports whether the targets are known.
	listed atomic.Bool
	// grace is how long after SIGTERM the process is killed, nanoseconds. It does not change
	// during the graceful shutdown.
	grace atomic.Int64
	// leaving is set by the graceful shutdown, leavingSince before it, on clock.
	leaving      atomic.Bool
	leavingSince atomic.Int64

	front, ready *http.Server
	// requests is the context of all callers' requests; endRequests ends those in flight.
	requests    context.Context
	endRequests context.CancelCauseFunc
	peers       *peer.Server
}

// Module returns the daemon for a platform.
func Module(a Adapter) fx.Option {
	return fx.Options(
		fx.Supply(fx.Annotate(a, fx.As(new(Adapter)))),
		fx.Invoke(start),
	)
}

func start(kit *daemon.Kit[*Settings], a Adapter) error {
	debug.SetGCPercent(kit.Settings.GCPercent)
	g := newGateway(kit.Settings, a, boottime.System{}, kit.Log, kit.Registry)
	g.life = kit.Life
	g.receiveHangups()
	kit.Life.Section("view", g.dump)
	kit.LC.Append(fx.Hook{OnStart: g.start, OnStop: g.stop})
	return nil
}

func newGateway(s *Settings, a Adapter, clock boottime.Clock, logger *log.Logger, registry metrics.Registry) *Gateway {
	g := &Gateway{
		settings: s, adapter: a, headers: a.Headers(), clock: clock, log: logger, registry: registry,
		self:     mesh.Member{VM: s.VM, Addr: s.Peers, DataCentre: s.DataCentre, Incarnation: uint64(time.Now().UnixNano()), LinkMbps: uint32(s.LinkMbps)},
		counters: newCounters(registry), lines: newRequestLines(registry),
		bodies: newBodyRoom(s.MemoryMB),
	}
	g.store = observedStore{ObjectStore: a.Store(s.Store), registry: registry, clock: clock, ended: g.noteStore}
	g.transfers = newTransfers(g.self.LinkBytesPerSecond())
	g.hangups = make(chan os.Signal, 1)
	g.grace.Store(int64(s.Grace))
	g.state = newRoutingState(clock, logger, registry, s.DataCentre, s.limits())
	g.mesh = mesh.New(g.self, clock, logger)
	g.state.announce = g.mesh.Announce
	// Were all VMs to begin with the same target, they would fill it together.
	g.state.turn = int(catalog.Hash(s.VM))
	g.gauges()
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	g.front = g.newFront()
	g.leasing = g.newLeaseManager()
	return g
}

// tag returns a name for a write that no other write has.
func (g *Gateway) tag() string {
	return g.self.VM + "/" + strconv.FormatUint(g.self.Incarnation, 36) + "/" + strconv.FormatUint(g.tags.Add(1), 10)
}

// headerTimeout bounds how long a caller may take to send its headers, idleMost
// how long its connection may be idle: both above what configurations allow.
const (
	headerTimeout = 10 * time.Second
	idleMost      = 75 * time.Second
)

func (g *Gateway) start(context.Context) error {
	// The others call as soon as the port is open.
	g.mesh.Start(g)
	if err := g.listen(); err != nil {
		return err
	}
	for _, duty := range []func(context.Context){
		g.watchConfig, g.watchTargets, g.expireTargets, g.join, g.leasing.Run, g.refreshLoads, g.refreshPlace, g.sweep, g.reload, g.reportRepeats,
	} {
		go duty(g.ctx)
	}
	g.log.Info().Str("step", "start").Str("front", g.settings.Front).Str("peers", g.settings.Peers).Str("store", g.settings.Store).
		Uint64("incarnation", g.self.Incarnation).Msg("started")
	return nil
}

// newFront returns the server for callers.
func (g *Gateway) newFront() *http.Server {
	return &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleMost,
		BaseContext: func(net.Listener) context.Context { return g.requests },
	}
}

func (g *Gateway) listen() error {
	var err error
	if g.peers, err = peer.Listen(g.settings.Peers); err != nil {
		return err
	}
	if err := g.register(); err != nil {
		return err
	}
	g.ready = &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}
	for _, s := range []struct {
		addr   string
		server *http.Server
	}{{g.settings.Front, g.front}, {g.settings.Ready, g.ready}} {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go g.serve(s.server, l)
	}
	go g.servePeers()
	return nil
}

// register publishes what other VMs may call.
func (g *Gateway) register() error {
	return errors.Join(
		g.peers.Register("Mesh", mesh.Service{Mesh: g.mesh}),
		g.peers.Register("View", View{g}),
		g.peers.Register("Store", storerelay.NewService(g.ctx, g.store, g.storeUp.Load)),
	)
}

func (g *Gateway) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error().Str("step", "listen").Str("addr", l.Addr().String()).Err(err).Msg("listener ended")
	}
}

func (g *Gateway) servePeers() {
	if err := g.peers.Serve(); err != nil {
		g.log.Error().Str("step", "listen").Str("addr", g.settings.Peers).Err(err).Msg("listener ended")
	}
}

// serveReady reports to the balancer whether to send new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.leaving.Load() || g.state.view.Load().Routes == nil || !g.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// checkReady notes that the daemon has what it needs.
func (g *Gateway) checkReady() {
	if g.life != nil && g.state.view.Load().Routes != nil && g.listed.Load() {
		g.life.Ready()
	}
}

// sweep closes idle connections to targets.
func (g *Gateway) sweep(ctx context.Context) {
	for pause.For(ctx, time.Second) {
		g.state.mu.Lock()
		for _, t := range g.state.targets {
			t.pool.CloseExpired(time.Now())
		}
		g.state.mu.Unlock()
	}
}
