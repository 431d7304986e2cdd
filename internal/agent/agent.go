package agent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/boottime"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/objectapi"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

// Module starts the agent.
var Module = fx.Options(fx.Invoke(start))

// agent is the state and the goroutines of the process.
type agent struct {
	*daemon.Deps[*Settings]
	incarnation string
	started     int64
	writes      atomic.Uint64
	store       platform.Store
	guard       *platform.Guard
	config      *configuration
	members     *members
	grants      *grantTable
	relay       *relay
	server      *peer.Server
	peers       *peer.Pool
	assigner    *assigner
	// broken records the broken answers of the store and of targets.
	broken    *answers.Log
	commander *target.OrderClient
	grantor   *grantor
	// grantsChanged tells the heartbeater to push this agent's grants to its peers.
	grantsChanged chan struct{}
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
}

func start(k *daemon.Deps[*Settings]) error {
	store := objectapi.New(k.Settings.Store)
	bounds := k.Settings.PeerBounds(k.Registry)
	broken := answers.NewLog(k.Registry, k.Log)
	store.Within(bounds.Memory)
	store.ReportTo(broken)
	store.OnRefused(func(r platform.Refused) { recordRefused(k.Log, k.Registry, r) })
	a, err := newAgent(k, store, bounds, broken)
	if err != nil {
		return err
	}
	k.LC.Append(fx.Hook{OnStart: a.start, OnStop: a.stop})
	return nil
}

func newAgent(k *daemon.Deps[*Settings], store platform.Store, bounds peer.Bounds, broken *answers.Log) (*agent, error) {
	server, err := peer.Listen(k.Settings.Listen)
	if err != nil {
		return nil, err
	}
	server.Bound(bounds)
	started := time.Now().UnixNano()
	a := &agent{
		Deps:        k,
		incarnation: fmt.Sprintf("%s-%d", k.Settings.VM, started),
		started:     started,
		store:       store,
		guard:       platform.NewGuard(k.Registry),
		server:      server,
		peers:       peer.NewPool(1).Within(bounds.Replies()),
		broken:      broken,
		commander:   target.NewOrderClient().Within(bounds.Memory).ReportTo(broken),
	}
	a.initComponents()
	if err := server.Register("Agent", a.relay); err != nil {
		return nil, err
	}
	k.Lifecycle.AddDumpSection("agent", a.dump)
	return a, nil
}

// initComponents creates the components and registers the relay for their changes.
func (a *agent) initComponents() {
	s := a.Settings
	a.relay = newRelay(a.incarnation)
	self := wire.Member{VM: s.VM, DataCentre: s.DataCentre, Incarnation: a.incarnation, AgentAddr: a.server.Addr(), AdminAddr: a.Lifecycle.AdminAddr()}
	a.members = newMembers(self, boottime.System{}, s.Silence.D(), a.relay.refreshMembers)
	a.members.grantsChanged = a.relay.refresh
	a.grantsChanged = make(chan struct{}, 1)
	a.grants = newGrantTable(func() {
		a.relay.refresh()
		select {
		case a.grantsChanged <- struct{}{}:
		default:
		}
	})
	a.grantor = newGrantor(a)
	a.config = newConfiguration(func() {
		a.relay.configurationChanged()
		a.grantor.notifyConfigChanged()
	})
	a.grantor.config = a.config
	a.relay.config, a.relay.members, a.relay.grants = a.config, a.members, a.grants
}

// newWriteTag returns a unique tag for one write. If the answer to a write is lost, the tag of
// the stored object shows whether the write took effect.
func (a *agent) newWriteTag() string { return fmt.Sprintf("%s/%d", a.incarnation, a.writes.Add(1)) }

// storeFor returns the store with its calls counted under the cause. Calls that the guard refuses
// do not reach the store and are not counted.
func (a *agent) storeFor(c platform.Cause) platform.Store {
	return a.guard.Wrap(platform.NewCountingStore(a.store, c, a.Registry))
}

func (a *agent) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	s := a.Settings
	timeout := s.StoreTimeout.D()
	w := &watcher{
		store: a.storeFor(platform.CauseConfig), config: a.config, members: a.members, timeout: timeout, log: a.Log,
		registry: a.Registry, olderRefused: metrics.GetOrRegisterCounter("config.refused.older", a.Registry),
	}
	a.assigner = &assigner{
		electionStore: a.storeFor(platform.CauseAssigner), planStore: a.storeFor(platform.CauseAssignment),
		config: a.config, members: a.members, relay: a.relay, peers: a.peers, targetHealth: newHealthMonitor(a.broken),
		newWriteTag: a.newWriteTag, timeout: timeout, clock: boottime.System{}, journal: a.Journal, log: a.Log,
	}
	tasks := []func(context.Context){
		w.run,
		newPuller(a, w).run,
		newReporter(a).run,
		(&lister{a.storeFor(platform.CauseMembership), a.members, timeout, a.Log}).run,
		(&heartbeater{members: a.members, peers: a.peers, interval: s.Heartbeat.D(), seedAddrs: s.Peers, grants: a.grants, grantsChanged: a.grantsChanged, log: a.Log, inFlight: make(map[string]bool)}).run,
		a.assigner.run,
		a.updateStoreShare,
		a.grantor.run,
		a.seedGrants,
		a.awaitReady,
	}
	for _, task := range tasks {
		a.tasks.Go(func() { task(ctx) })
	}
	a.server.OnAcceptError = func(err error) {
		a.Log.Warn().Err(err).Str("step", "accept").Msg("no connection of a peer accepted, trying again")
	}
	go a.server.Serve()
	return nil
}

// updateStoreShare limits this VM to its share of the store's rates, which depends on the number
// of VMs.
func (a *agent) updateStoreShare(ctx context.Context) {
	for ctx.Err() == nil {
		a.guard.SetShare(len(a.members.peerAddrs()) + 1)
		pause.For(ctx, listInterval)
	}
}

// awaitReady reports the agent as ready once it has a configuration, its members are settled and
// the grants of a peer were requested.
func (a *agent) awaitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ready := a.config.heldRevision(); ready && a.members.settled() && a.relay.grantsSeeded.Load() {
			a.Lifecycle.MarkConfigured()
			return
		}
		a.Lifecycle.SetNotReadyReason(fmt.Sprintf("no configuration: store %s does not answer and none of %d peers has one",
			a.Settings.Store, len(a.members.peerAddrs())))
		pause.For(ctx, a.Settings.Heartbeat.D())
	}
}

func (a *agent) stop(context.Context) error {
	a.Lifecycle.BeginDrain()
	a.members.updateSelf(func(m *wire.Member) { m.Leaving = true })
	a.awaitDaemons()
	a.cancel()
	a.tasks.Wait()
	a.server.Close()
	a.peers.Close()
	a.commander.Close()
	a.assigner.targetHealth.close()
	a.Lifecycle.MarkDrained()
	return nil
}

// dump is the agent's state for /dump. Objects and Granted are truncated; Members is complete
// because hqctl needs all of them.
type dump struct {
	Incarnation string            `json:"incarnation"`
	Revision    uint64            `json:"revision"`
	Totals      totals            `json:"totals"`
	Objects     []platform.Object `json:"objects"`
	Members     []wire.Member     `json:"members"`
	Problems    []string          `json:"problems"`
	Granted     []wire.Grant      `json:"granted"`
	Daemons     []wire.ReportArgs `json:"daemons"`
}

// totals are the lengths of the lists before truncation.
type totals struct {
	Objects int `json:"objects"`
	Granted int `json:"granted"`
}

func (a *agent) dump() any {
	revision, _ := a.config.heldRevision()
	objects, granted := a.config.list(), a.grants.list()
	return dump{
		a.incarnation, revision, totals{len(objects), len(granted)},
		daemon.TruncateForDump(objects), a.members.live(), a.config.problems(), daemon.TruncateForDump(granted), a.relay.liveDaemons(),
	}
}
