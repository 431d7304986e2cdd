package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
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

// node is the daemon's parts joined together.
type node struct {
	settings *Settings
	adapter  Adapter
	headers  Headers
	store    platform.ObjectStore
	clock    boottime.Clock
	log      *log.Logger
	registry metrics.Registry
	life     *daemon.Life
	self     mesh.Member
	state    *state
	mesh     *mesh.Mesh
	counters *counters
	lines    *requestLines
	bodies   bodyRoom
	// transfers sends configurations and lists of targets to other VMs.
	transfers *transfers
	leasing   *leasing.Manager

	ctx      context.Context
	cancel   context.CancelFunc
	fetching sync.Map
	tags     atomic.Uint64
	// storeUp tells whether the store answered last, storeAnsweredAt when it did, on
	// clock.
	storeUp         atomic.Bool
	storeAnsweredAt atomic.Int64
	// storeRelayedAt is when the store last answered through another VM, on clock.
	storeRelayedAt atomic.Int64
	// toldAt is when the store, or a VM that it answers, last told of the targets,
	// on clock.
	toldAt atomic.Int64
	// listed tells whether the targets are known.
	listed atomic.Bool
	// grace is how long after SIGTERM the process is killed, nanoseconds.
	grace atomic.Int64
	// leaving is set by the graceful shutdown, leavingSince before it, on clock.
	leaving      atomic.Bool
	leavingSince atomic.Int64

	front, ready *http.Server
	peers        *peer.Server
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
	n := newNode(kit.Settings, a, boottime.System{}, kit.Log, kit.Registry)
	n.life = kit.Life
	kit.Life.Section("view", n.dump)
	kit.LC.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
	return nil
}

func newNode(s *Settings, a Adapter, clock boottime.Clock, logger *log.Logger, registry metrics.Registry) *node {
	n := &node{
		settings: s, adapter: a, headers: a.Headers(), clock: clock, log: logger, registry: registry,
		self:     mesh.Member{VM: s.VM, Addr: s.Peers, DataCentre: s.DataCentre, Incarnation: uint64(time.Now().UnixNano()), LinkMbps: uint32(s.LinkMbps)},
		counters: newCounters(registry), lines: newRequestLines(registry),
		bodies: newBodyRoom(s.MemoryMB), transfers: newTransfers(s.LinkMbps),
	}
	n.store = observedStore{ObjectStore: a.Store(s.Store), registry: registry, clock: clock, ended: n.noteStore}
	n.grace.Store(int64(s.Grace))
	n.state = newState(clock, logger, registry, s.DataCentre, s.limits())
	n.mesh = mesh.New(n.self, clock, logger)
	n.state.news = n.mesh.Kick
	// Were all VMs to begin with the same target, they would fill it together.
	n.state.turn = int(catalog.Hash(s.VM))
	n.gauges()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.leasing = n.newLeaseManager()
	return n
}

// tag returns a name for a write that no other write has.
func (n *node) tag() string {
	return n.self.VM + "/" + strconv.FormatUint(n.self.Incarnation, 36) + "/" + strconv.FormatUint(n.tags.Add(1), 10)
}

// headerTimeout bounds how long a caller may take to send its headers, idleMost
// how long its connection may be idle: both above what configurations allow.
const (
	headerTimeout = 10 * time.Second
	idleMost      = 75 * time.Second
)

func (n *node) start(context.Context) error {
	// The others call as soon as the port is open.
	n.mesh.Start(n)
	if err := n.listen(); err != nil {
		return err
	}
	for _, duty := range []func(context.Context){
		n.watchConfig, n.watchTargets, n.expireTargets, n.join, n.leasing.Run, n.tellLoads, n.sweep, n.reload,
	} {
		go duty(n.ctx)
	}
	n.log.Info().Str("step", "start").Str("front", n.settings.Front).Str("peers", n.settings.Peers).Str("store", n.settings.Store).
		Uint64("incarnation", n.self.Incarnation).Msg("started")
	return nil
}

func (n *node) listen() error {
	var err error
	if n.peers, err = peer.Listen(n.settings.Peers); err != nil {
		return err
	}
	if err := n.register(); err != nil {
		return err
	}
	n.front = &http.Server{Handler: n, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleMost}
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	for _, s := range []struct {
		addr   string
		server *http.Server
	}{{n.settings.Front, n.front}, {n.settings.Ready, n.ready}} {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go n.serve(s.server, l)
	}
	go n.servePeers()
	return nil
}

// register publishes what other VMs may call.
func (n *node) register() error {
	return errors.Join(
		n.peers.Register("Mesh", mesh.Service{Mesh: n.mesh}),
		n.peers.Register("View", View{n}),
		n.peers.Register("Store", storerelay.NewService(n.ctx, n.store, n.storeUp.Load)),
	)
}

func (n *node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Str("step", "listen").Str("addr", l.Addr().String()).Err(err).Msg("listener ended")
	}
}

func (n *node) servePeers() {
	if err := n.peers.Serve(); err != nil {
		n.log.Error().Str("step", "listen").Str("addr", n.settings.Peers).Err(err).Msg("listener ended")
	}
}

// serveReady tells the balancer whether to send new connections.
func (n *node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() || n.state.view.Load().Routes == nil || !n.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// checkReady notes that the daemon has what it needs.
func (n *node) checkReady() {
	if n.life != nil && n.state.view.Load().Routes != nil && n.listed.Load() {
		n.life.Ready()
	}
}

// sweep closes idle connections to targets.
func (n *node) sweep(ctx context.Context) {
	for pause.For(ctx, time.Second) {
		n.state.mu.Lock()
		for _, t := range n.state.targets {
			t.pool.Sweep(time.Now())
		}
		n.state.mu.Unlock()
	}
}

// Figures of the graceful shutdown, as parts of the grace.
const (
	// stopAccepting is when the listener is closed: the balancer looks once a
	// second and takes a VM out after two misses.
	stopAccepting = 0.55
	// stopWaiting is when requests that still run are given up.
	stopWaiting = 0.92
)

// stop leaves: first the balancer and the other VMs learn of it, while requests
// are served as before; then new connections end; then the process, when the last
// answer is out.
//
// Failure: a process closes its listener or its kept connections as soon as it is
// told to stop. Callers whose requests are on their way lose them.
func (n *node) stop(ctx context.Context) error {
	begin := time.Now()
	grace := time.Duration(n.grace.Load())
	n.beginLeaving()
	n.life.BeginDrain()
	pause.For(ctx, part(grace, stopAccepting))
	stopCtx, cancel := context.WithDeadline(ctx, begin.Add(part(grace, stopWaiting)))
	defer cancel()
	err := n.front.Shutdown(stopCtx)
	n.log.Info().Str("step", "stop").Dur("took", time.Since(begin)).Err(err).Int("leading", n.leasing.Leading()).Msg("front closed")
	n.leasing.AwaitSuccessors(stopCtx)
	n.cancel()
	n.mesh.Close()
	n.peers.Close()
	n.life.Drained()
	return errors.Join(err, n.ready.Close())
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }
