package agent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/objectapi"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

// Module wires the agent.
var Module = fx.Options(fx.Invoke(start))

// agent is the process: its state and its duties.
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
	commander   *target.Commander
	grantor     *grantorDuty
	// grantsPushed notifies the heartbeater that the grants changed.
	grantsPushed chan struct{}
	cancel       context.CancelFunc
	duties       sync.WaitGroup
}

func start(k *daemon.Deps[*Settings]) error {
	a, err := newAgent(k, objectapi.New(k.Settings.Store))
	if err != nil {
		return err
	}
	k.LC.Append(fx.Hook{OnStart: a.start, OnStop: a.stop})
	return nil
}

func newAgent(k *daemon.Deps[*Settings], store platform.Store) (*agent, error) {
	server, err := peer.Listen(k.Settings.Listen)
	if err != nil {
		return nil, err
	}
	started := time.Now().UnixNano()
	a := &agent{
		Deps:        k,
		incarnation: fmt.Sprintf("%s-%d", k.Settings.VM, started),
		started:     started,
		store:       store,
		guard:       platform.NewGuard(k.Registry),
		server:      server,
		peers:       peer.NewPool(1),
		commander:   target.NewCommander(),
	}
	a.build()
	if err := server.Register("Agent", a.relay); err != nil {
		return nil, err
	}
	k.Lifecycle.AddDumpSection("agent", a.dump)
	return a, nil
}

// build creates the parts, which notify the relay of their changes.
func (a *agent) build() {
	s := a.Settings
	a.relay = newRelay(a.incarnation)
	self := wire.Member{VM: s.VM, DataCentre: s.DataCentre, Incarnation: a.incarnation, AgentAddr: a.server.Addr(), AdminAddr: a.Lifecycle.AdminAddr()}
	a.members = newMembers(self, boottime.System{}, s.Silence.D(), a.relay.refreshLive)
	a.members.grantsChanged = a.relay.refresh
	a.grantsPushed = make(chan struct{}, 1)
	a.grants = newGrantTable(func() {
		a.relay.refresh()
		select {
		case a.grantsPushed <- struct{}{}:
		default:
		}
	})
	a.grantor = newGrantorDuty(a)
	a.config = newConfiguration(func() {
		a.relay.configured()
		a.grantor.wake()
	})
	a.grantor.config = a.config
	a.relay.config, a.relay.members, a.relay.grants = a.config, a.members, a.grants
}

// tag names one write, so that a lost answer can be settled.
func (a *agent) tag() string { return fmt.Sprintf("%s/%d", a.incarnation, a.writes.Add(1)) }

// counted returns the store for one cause. Calls that the guard refuses never
// reach the store and are not counted.
func (a *agent) counted(c platform.Cause) platform.Store {
	return a.guard.Wrap(platform.Count(a.store, c, a.Registry))
}

func (a *agent) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	s := a.Settings
	timeout := s.StoreTimeout.D()
	w := &watcher{
		store: a.counted(platform.CauseConfig), config: a.config, members: a.members, timeout: timeout, log: a.Log,
		refused: metrics.GetOrRegisterCounter("config.refused.older", a.Registry),
	}
	a.assigner = &assigner{
		elections: a.counted(platform.CauseAssigner), plans: a.counted(platform.CauseAssignment),
		config: a.config, members: a.members, relay: a.relay, peers: a.peers, hints: newTargetHints(),
		tag: a.tag, timeout: timeout, clock: boottime.System{}, journal: a.Journal, log: a.Log,
	}
	duties := []func(context.Context){
		w.run,
		newPuller(a, w).run,
		newReporter(a).run,
		(&lister{a.counted(platform.CauseMembership), a.members, timeout, a.Log}).run,
		(&heartbeater{members: a.members, peers: a.peers, every: s.Heartbeat.D(), seeds: s.Peers, grants: a.grants, pushes: a.grantsPushed, log: a.Log, busy: make(map[string]bool)}).run,
		a.assigner.run,
		a.shareBudget,
		a.grantor.run,
		a.seedGrants,
		a.becomeReady,
	}
	for _, duty := range duties {
		a.duties.Go(func() { duty(ctx) })
	}
	go func() {
		if err := a.server.Serve(); err != nil {
			a.Log.Error().Err(err).Str("step", "serve").Msg("peer server ended")
		}
	}()
	return nil
}

// shareBudget keeps this VM to its part of the store's rates.
func (a *agent) shareBudget(ctx context.Context) {
	for ctx.Err() == nil {
		a.guard.Share(len(a.members.addrs()) + 1)
		pause.For(ctx, listEvery)
	}
}

// becomeReady waits for the first configuration.
func (a *agent) becomeReady(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ready := a.config.state(); ready && a.members.settled() && a.relay.seeded.Load() {
			a.Lifecycle.Ready()
			return
		}
		a.Lifecycle.SetNotReadyReason(fmt.Sprintf("no configuration: store %s does not answer and none of %d peers holds one",
			a.Settings.Store, len(a.members.addrs())))
		pause.For(ctx, a.Settings.Heartbeat.D())
	}
}

func (a *agent) stop(context.Context) error {
	a.Lifecycle.BeginDrain()
	a.members.updateSelf(func(m *wire.Member) { m.Leaving = true })
	a.awaitDaemons()
	a.cancel()
	a.duties.Wait()
	a.server.Close()
	a.peers.Close()
	a.commander.Close()
	a.assigner.hints.close()
	a.Lifecycle.Drained()
	return nil
}

// dump is the agent's state for /dump. Objects and Granted are cut; hqctl needs all
// Members.
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

// totals are the lengths of the lists before they were cut.
type totals struct {
	Objects int `json:"objects"`
	Granted int `json:"granted"`
}

func (a *agent) dump() any {
	revision, _ := a.config.state()
	objects, granted := a.config.list(), a.grants.list()
	return dump{
		a.incarnation, revision, totals{len(objects), len(granted)},
		daemon.TruncateForDump(objects), a.members.live(), a.config.problems(), daemon.TruncateForDump(granted), a.relay.liveDaemons(),
	}
}
