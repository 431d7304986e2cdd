package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/ring"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

const (
	// tickInterval is the time between two ticks of the grantor, and so bounds how late losses
	// and expiries are noticed. Renewals are sent every GrantEvery.
	tickInterval = 15 * time.Millisecond
	// inboxLength is how many responses of targets and the store may be queued: more than all
	// targets of a deployment send in one tick.
	inboxLength = 4096
	// observeInterval is the time between two checks of all peers' grants.
	observeInterval = 200 * time.Millisecond
	// unservedTimeout is how long a group may have no grant although VMs earlier in its
	// succession are alive. It is longer than a takeover on the slow path, about 0.9 s, so that
	// it does not interfere with one.
	unservedTimeout = 1500 * time.Millisecond
)

// grantor runs the decisions of package grants for all groups. Its state belongs to one
// goroutine, run; responses arrive through inbox.
type grantor struct {
	params           grants.Params
	timeout          time.Duration
	takeoverSilence  time.Duration
	config           *configuration
	members          *members
	table            *grantTable
	commander        *target.OrderClient
	clock            boottime.Clock
	log              *log.Logger
	journal          *journal.Journal
	sentOrders       metrics.Counter
	unansweredOrders metrics.Counter
	recorder         *recorder
	inbox            *ring.Ring[response]
	configChanged    chan struct{}

	// servedGroups are the groups that a live agent grants, highestRanks the highest rank
	// reported for each group. Both are as of observedAt.
	servedGroups map[groupID]bool
	highestRanks map[groupID]wire.Rank
	observedAt   time.Duration

	revision uint64
	services map[string]*serviceState
}

func newGrantor(a *agent) *grantor {
	s := a.Settings
	gr := &grantor{
		params: grants.Params{
			VM: s.VM, Incarnation: a.incarnation, Started: a.started,
			RenewInterval: s.GrantEvery.D(), GrantTTL: s.GrantLife.D(), AuthorityTTL: s.Authority.D(), ClockMargin: s.ClockMargin.D(),
			FastPathTimeout: s.TakeoverPatience.D(), ReleaseTimeout: s.ReleaseLimit.D(), UnservedTimeout: unservedTimeout,
		},
		timeout:          s.Authority.D(),
		takeoverSilence:  s.TakeoverSilence.D(),
		members:          a.members,
		table:            a.grants,
		commander:        a.commander,
		clock:            boottime.System{},
		log:              a.Log,
		journal:          a.Journal,
		sentOrders:       metrics.GetOrRegisterCounter("grantor.orders", a.Registry),
		unansweredOrders: metrics.GetOrRegisterCounter("grantor.orders.unanswered", a.Registry),
		inbox:            ring.New[response]("grantor", inboxLength, ring.DropOldest, a.Registry),
		configChanged:    make(chan struct{}, 1),
		services:         make(map[string]*serviceState),
		highestRanks:     make(map[groupID]wire.Rank),
	}
	gr.recorder = newRecorder(a.storeFor(platform.CauseAssignment), a.storeFor(platform.CauseAuthority), a.newWriteTag, s.StoreTimeout.D(), a.Log)
	return gr
}

// notifyConfigChanged makes run load the new configuration.
func (gr *grantor) notifyConfigChanged() {
	select {
	case gr.configChanged <- struct{}{}:
	default:
	}
}

func (gr *grantor) run(ctx context.Context) {
	defer gr.recorder.wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			gr.tick(ctx)
		case <-gr.configChanged:
			gr.loadConfiguration()
			gr.tick(ctx)
		case resp := <-gr.inbox.Entries():
			if gr.handleResponse(resp) {
				gr.tick(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// tick lets every group decide, and sends the resulting orders, writes and reads.
func (gr *grantor) tick(ctx context.Context) {
	now := gr.clock.Now()
	live := gr.members.aliveWithin(gr.takeoverSilence)
	observed := gr.observeGrants(now, live)
	isLive := notLost(live, gr.members.settled())
	highestRanks := gr.highestRanks
	if gr.members.storeWatched() {
		highestRanks = nil
	}
	observe := func(service string, id uint64) grants.Observation {
		return grants.Observation{
			Live:   isLive,
			Served: gr.servedGroups[groupID{service, id}], HighestRank: highestRanks[groupID{service, id}],
		}
	}
	for name, svc := range gr.services {
		if svc.service == nil || svc.record == nil {
			continue
		}
		gr.sendBatches(ctx, svc, gr.collectOrders(svc, now, observe))
		gr.recorder.writeProposals(ctx, svc, gr.proposals(svc, now, observe))
		gr.requestAuthority(ctx, svc, now)
		if observed {
			gr.publish(name, svc, svc.groupIDs, now)
		}
	}
}

// notLost returns a function that reports whether a VM does not count as lost. A starting agent
// has received no heartbeats yet. Until its peers have had time to send one, no VM counts as
// lost; otherwise the agent would outrank grantors that are serving.
func notLost(live map[string]bool, settled bool) func(vm string) bool {
	return func(vm string) bool { return live[vm] || !settled }
}

// observer returns what heartbeats report about a group.
type observer func(service string, id uint64) grants.Observation

// observeGrants updates servedGroups and highestRanks once per observeInterval, and reports
// whether it did. It runs no more often because it visits all grants, and nothing that must
// happen within a second depends on it.
func (gr *grantor) observeGrants(now time.Duration, live map[string]bool) bool {
	if now < gr.observedAt+observeInterval {
		return false
	}
	gr.observedAt = now
	gr.servedGroups = make(map[groupID]bool)
	for _, g := range append(gr.members.peerGrants(), gr.table.list()...) {
		id := groupID{g.Service, g.Group}
		if live[g.Rank.Agent] {
			gr.servedGroups[id] = true
		}
		if g.Rank.Compare(gr.highestRanks[id]) > 0 {
			gr.highestRanks[id] = g.Rank
		}
	}
	return true
}

// collectOrders returns the orders of all groups, batched by target.
func (gr *grantor) collectOrders(svc *serviceState, now time.Duration, observe observer) map[string]*orderBatch {
	batches := make(map[string]*orderBatch)
	for id, g := range svc.groups {
		for _, o := range g.Tick(now, observe(svc.service.Name, id)) {
			b := batches[o.Target]
			if b == nil {
				t, ok := svc.service.Target(o.Target)
				if !ok {
					continue
				}
				b = &orderBatch{target: t}
				batches[o.Target] = b
			}
			b.groups = append(b.groups, id)
			b.orders = append(b.orders, o)
		}
		gr.logNotes(svc.service.Name, id, g)
	}
	return batches
}

func (gr *grantor) logNotes(service string, id uint64, g *grants.Group) {
	for _, text := range g.TakeNotes() {
		subject := fmt.Sprintf("%s/%d", service, id)
		gr.journal.Add("grant", text, subject)
		gr.log.Info().Str("step", "grant").Str("peer", subject).Msg(text)
	}
}

// publish updates the grants that dispatchers receive with the confirmed ones. The last grant of
// a group stays published until another is confirmed, or until this agent steps down or fails.
func (gr *grantor) publish(service string, svc *serviceState, ids []uint64, now time.Duration) {
	var confirmed []wire.Grant
	var gone []groupID
	for _, id := range ids {
		g := svc.groups[id]
		if g == nil {
			continue
		}
		ref, rank, ok := g.ConfirmedGrant(now)
		switch {
		case ok:
			confirmed = append(confirmed, wire.Grant{Service: service, Group: id, Slices: g.Record().Slices, Rank: rank, Target: ref})
		case g.Idle(now):
			gone = append(gone, groupID{service, id})
		}
	}
	gr.table.update(confirmed, gone)
}

// proposals returns the group records that are to be written.
func (gr *grantor) proposals(svc *serviceState, now time.Duration, observe observer) []model.Group {
	var out []model.Group
	for id, g := range svc.groups {
		if rec, ok := g.Proposal(now, observe(svc.service.Name, id)); ok {
			out = append(out, rec)
		}
	}
	return out
}

// requestAuthority reads the record from the store, once per service, if a group gets no
// authority from its targets.
func (gr *grantor) requestAuthority(ctx context.Context, svc *serviceState, now time.Duration) {
	for _, g := range svc.groups {
		if g.NeedsStore(now) {
			gr.recorder.readRecord(ctx, svc.service.Name, now, gr.inbox)
			return
		}
	}
}
