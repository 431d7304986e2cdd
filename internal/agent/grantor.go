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
	// tickEvery is the pause between two ticks of the grantor. A loss is noticed
	// and an end awaited within it; renewals leave at GrantEvery.
	tickEvery = 15 * time.Millisecond
	// grantorRing is how many answers of targets and the store may wait: more
	// than all targets of a deployment answer in one tick.
	grantorRing = 4096
	// peersEvery is the pause between two checks of all peers' grants.
	peersEvery = 200 * time.Millisecond
	// unserved is how long a group may be without a grant while those before in
	// the succession are alive: above a takeover by the slow path, about 0.9 s, so that
	// it does not disturb one.
	unserved = 1500 * time.Millisecond
)

// grantorDuty carries the decisions of package grantor for all groups. Its state
// belongs to one goroutine, run; answers come through the ring.
type grantorDuty struct {
	params    grants.Params
	timeout   time.Duration
	silence   time.Duration
	config    *configuration
	members   *members
	table     *grantTable
	commander *target.OrderClient
	clock     boottime.Clock
	log       *log.Logger
	journal   *journal.Journal
	orders    metrics.Counter
	errors    metrics.Counter
	records   *recorder
	inbox     *ring.Ring[answer]
	woken     chan struct{}

	// served is which groups a live agent grants, highest the highest rank reported of
	// each, as of peersSeen.
	served    map[groupID]bool
	highest   map[groupID]wire.Rank
	peersSeen time.Duration

	revision uint64
	services map[string]*heldService
}

func newGrantorDuty(a *agent) *grantorDuty {
	s := a.Settings
	d := &grantorDuty{
		params: grants.Params{
			VM: s.VM, Incarnation: a.incarnation, Started: a.started,
			RenewInterval: s.GrantEvery.D(), GrantTTL: s.GrantLife.D(), AuthorityTTL: s.Authority.D(), ClockMargin: s.ClockMargin.D(),
			FastPathTimeout: s.TakeoverPatience.D(), ReleaseTimeout: s.ReleaseLimit.D(), UnservedTimeout: unserved,
		},
		timeout:   s.Authority.D(),
		silence:   s.TakeoverSilence.D(),
		members:   a.members,
		table:     a.grants,
		commander: a.commander,
		clock:     boottime.System{},
		log:       a.Log,
		journal:   a.Journal,
		orders:    metrics.GetOrRegisterCounter("grantor.orders", a.Registry),
		errors:    metrics.GetOrRegisterCounter("grantor.orders.unanswered", a.Registry),
		inbox:     ring.New[answer]("grantor", grantorRing, ring.DropOldest, a.Registry),
		woken:     make(chan struct{}, 1),
		services:  make(map[string]*heldService),
		highest:   make(map[groupID]wire.Rank),
	}
	d.records = newRecorder(a.counted(platform.CauseAssignment), a.counted(platform.CauseAuthority), a.tag, s.StoreTimeout.D(), a.Log)
	return d
}

// wake notifies the duty that the configuration changed.
func (d *grantorDuty) wake() {
	select {
	case d.woken <- struct{}{}:
	default:
	}
}

func (d *grantorDuty) run(ctx context.Context) {
	defer d.records.wait()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.tick(ctx)
		case <-d.woken:
			d.load()
			d.tick(ctx)
		case a := <-d.inbox.Entries():
			if d.take(a) {
				d.tick(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// tick lets every group decide, and sends what they order.
func (d *grantorDuty) tick(ctx context.Context) {
	now := d.clock.Now()
	live := d.members.aliveWithin(d.silence)
	peersDue := d.observePeers(now, live)
	seen := notLost(live, d.members.settled())
	highest := d.highest
	if d.members.storeWatched() {
		highest = nil
	}
	observation := func(service string, id uint64) grants.Observation {
		return grants.Observation{
			Live:   seen,
			Served: d.served[groupID{service, id}], HighestRank: highest[groupID{service, id}],
		}
	}
	for name, h := range d.services {
		if h.service == nil || h.record == nil {
			continue
		}
		d.send(ctx, h, d.collect(h, now, observation))
		d.records.offer(ctx, h, d.proposals(h, now, observation))
		d.readStore(ctx, h, now)
		if peersDue {
			d.publish(name, h, h.ids, now)
		}
	}
}

// notLost returns which VMs do not count as lost.
// An agent that starts has no heartbeats yet. Nobody counts as lost until the peers had time to send
// one; otherwise it would outrank grantors that serve.
func notLost(live map[string]bool, settled bool) func(vm string) bool {
	return func(vm string) bool { return live[vm] || !settled }
}

// observeFunc gives what heartbeats report of a group.
type observeFunc func(service string, id uint64) grants.Observation

// observePeers notes which groups a live agent reports a grant of, and returns
// whether it was time to. It goes over all
// grants, and nothing below a second depends on it.
func (d *grantorDuty) observePeers(now time.Duration, live map[string]bool) bool {
	if now < d.peersSeen+peersEvery {
		return false
	}
	d.peersSeen = now
	d.served = make(map[groupID]bool)
	for _, g := range append(d.members.peerGrants(), d.table.list()...) {
		id := groupID{g.Service, g.Group}
		if live[g.Rank.Agent] {
			d.served[id] = true
		}
		if g.Rank.Compare(d.highest[id]) > 0 {
			d.highest[id] = g.Rank
		}
	}
	return true
}

// collect batches the orders of all groups by target.
func (d *grantorDuty) collect(h *heldService, now time.Duration, observation observeFunc) map[string]*batch {
	batches := make(map[string]*batch)
	for id, g := range h.groups {
		for _, o := range g.Tick(now, observation(h.service.Name, id)) {
			b := batches[o.Target]
			if b == nil {
				t, ok := h.service.Target(o.Target)
				if !ok {
					continue
				}
				b = &batch{target: t}
				batches[o.Target] = b
			}
			b.groups = append(b.groups, id)
			b.orders = append(b.orders, o)
		}
		d.explain(h.service.Name, id, g)
	}
	return batches
}

func (d *grantorDuty) explain(service string, id uint64, g *grants.Group) {
	for _, text := range g.TakeNotes() {
		subject := fmt.Sprintf("%s/%d", service, id)
		d.journal.Add("grant", text, subject)
		d.log.Info().Str("step", "grant").Str("peer", subject).Msg(text)
	}
}

// publish reports to dispatchers which grants are confirmed. A group's last grant
// stays published until another is, or until this agent stepped down or fails.
func (d *grantorDuty) publish(service string, h *heldService, ids []uint64, now time.Duration) {
	var confirmed []wire.Grant
	var gone []groupID
	for _, id := range ids {
		g := h.groups[id]
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
	d.table.update(confirmed, gone)
}

// proposals are the records that the groups want written.
func (d *grantorDuty) proposals(h *heldService, now time.Duration, observation observeFunc) []model.Group {
	var out []model.Group
	for id, g := range h.groups {
		if rec, ok := g.Proposal(now, observation(h.service.Name, id)); ok {
			out = append(out, rec)
		}
	}
	return out
}

// readStore asks the store for authority where no target gives it.
func (d *grantorDuty) readStore(ctx context.Context, h *heldService, now time.Duration) {
	for _, g := range h.groups {
		if g.NeedsStore(now) {
			d.records.read(ctx, h.service.Name, now, d.inbox)
			return
		}
	}
}
