package agent

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/placement"
	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

const (
	// planEvery is how often elections and plans are looked at.
	planEvery = 500 * time.Millisecond
	// loadsEvery is how often a VM reports its load to assigners.
	loadsEvery = time.Second
)

// assigner takes part in the election of each keyed service's assigner, and
// plans the services that it holds. It is one goroutine.
type assigner struct {
	elections platform.Store
	plans     platform.Store
	config    *configuration
	members   *members
	relay     *relay
	peers     *peer.Pool
	hints     *targetHints
	tag       func() string
	timeout   time.Duration
	clock     boottime.Clock
	journal   *journal.Journal
	log       *log.Logger

	services    map[string]*assigned
	observation observation
	loadsSentAt time.Duration
}

// assigned is what the assigner keeps of one service.
type assigned struct {
	election *ownership.Election
	planner  *placement.Planner
	held     bool
	// written is the version of the assignment that this agent wrote last; it
	// plans on nothing older.
	written uint64
}

func (a *assigner) run(ctx context.Context) {
	a.services = make(map[string]*assigned)
	for ctx.Err() == nil {
		pause.For(ctx, planEvery)
		a.refreshObservation()
		for _, s := range a.observation.view.Services() {
			if s.Keyed {
				a.serve(ctx, s, a.observation.objects, a.observation.view.Assignment(s.Name), a.observation.versions)
			}
		}
		a.sendLoads(ctx)
	}
}

// observation is the configuration as the assigner read it last. It is decoded only where
// the revision has changed: most checks, two a second on every agent, find nothing new.
type observation struct {
	revision uint64
	objects  []platform.Object
	view     *view.View
	versions map[platform.ID]uint64
	cache    view.Cache
}

// refreshObservation brings the observation up to date.
func (a *assigner) refreshObservation() {
	// The revision comes first: a change in between is then seen again.
	revision, _ := a.config.state()
	if a.observation.view != nil && revision == a.observation.revision {
		return
	}
	a.observation.revision = revision
	a.observation.objects = a.config.list()
	a.observation.view = a.observation.cache.Build(a.observation.objects, nil, nil)
	a.observation.versions = versionsOf(a.observation.objects)
}

func versionsOf(objects []platform.Object) map[platform.ID]uint64 {
	versions := make(map[platform.ID]uint64, len(objects))
	for _, o := range objects {
		versions[o.ID()] = o.Version
	}
	return versions
}

// serve looks after one service: first who plans it, then the plan.
func (a *assigner) serve(ctx context.Context, s *model.Service, objects []platform.Object, held *model.Assignment, versions map[platform.ID]uint64) {
	now := a.clock.Now()
	me := a.members.me()
	p := a.services[s.Name]
	if p == nil {
		p = &assigned{election: ownership.NewElection(s.Name, me.VM, me.Incarnation, now), planner: placement.New()}
		a.services[s.Name] = p
	}
	a.observe(p, s.Name, objects, now)
	if c := p.election.Step(now, a.rank(s.Name, me)); c != nil {
		a.claim(ctx, p, c)
	}
	a.noteHold(p, s.Name)
	version := versions[platform.ID{Kind: model.KindAssignment, Name: s.Name}]
	if !p.election.Holds(a.clock.Now()) || version < p.written {
		return
	}
	a.hints.probe(ctx, s)
	a.plan(ctx, p, s, held, version)
}

func (a *assigner) observe(p *assigned, service string, objects []platform.Object, now time.Duration) {
	i := slices.IndexFunc(objects, func(o platform.Object) bool { return o.Kind == model.KindAssigner && o.Name == service })
	if i < 0 {
		return
	}
	if object, err := model.Decode(objects[i].Kind, objects[i].Name, objects[i].Spec); err == nil {
		p.election.Observe(now, *object.(*model.Assigner), objects[i].Version)
	}
}

// rank is this VM's place among the live ones for a service.
func (a *assigner) rank(service string, me wire.Member) int {
	var candidates []rendezvous.Candidate
	for _, m := range a.members.live() {
		candidates = append(candidates, rendezvous.Candidate{VM: m.VM, DataCentre: m.DataCentre})
	}
	order := rendezvous.Rank(candidates, "assigner/"+service, "")
	return slices.IndexFunc(order, func(i int) bool { return candidates[i].VM == me.VM })
}

func (a *assigner) claim(ctx context.Context, p *assigned, c *ownership.Claim) {
	written, err := a.write(ctx, a.elections, model.KindAssigner, c.Object.Service, c.Version, &c.Object)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		p.election.Done(a.clock.Now(), c, written, err == nil)
		return
	}
	p.election.OutcomeUnknown(a.clock.Now())
	a.log.Debug().Err(err).Str("step", "elect").Str("peer", "store").Str("service", c.Object.Service).Msg("claim not written")
}

// noteHold records that the agent became a service's assigner, or is no more.
func (a *assigner) noteHold(p *assigned, service string) {
	holds := p.election.Holds(a.clock.Now())
	if holds == p.held {
		return
	}
	p.held = holds
	p.planner = placement.New()
	text := "became assigner: no other renewed within its life"
	if !holds {
		text = "is assigner no more: another holds the service, or the renewal failed"
	}
	a.journal.Add("elect", text, service)
}

// plan writes what is due. The version lets it succeed only on the record that
// it was made from.
func (a *assigner) plan(ctx context.Context, p *assigned, s *model.Service, held *model.Assignment, version uint64) {
	in := a.input(s, held)
	var result placement.Result
	if held == nil {
		result = p.planner.PlanFirst(&in)
	} else {
		result = p.planner.Plan(&in)
	}
	if len(result.Decisions) == 0 || len(result.Assignment.Groups) == 0 {
		return
	}
	written, err := a.write(ctx, a.plans, model.KindAssignment, s.Name, version, &result.Assignment)
	if err != nil {
		p.planner.DropMoves()
		a.log.Debug().Err(err).Str("step", "plan").Str("peer", "store").Str("service", s.Name).Msg("assignment not written")
		return
	}
	p.written = written
	for _, d := range result.Decisions {
		a.journal.Add("place", string(d.Kind)+": "+d.Text, s.Name)
	}
}

func (a *assigner) input(s *model.Service, held *model.Assignment) placement.Input {
	in := placement.Input{
		Now: a.clock.Now(), Service: s, Assignment: held, Author: a.members.me().Incarnation,
		Serving: make(map[uint64]placement.Serving), Load: a.relay.loads.of(s.Name),
	}
	for _, m := range a.members.live() {
		if !m.Leaving {
			in.VMs = append(in.VMs, placement.VM{Name: m.VM, DataCentre: m.DataCentre})
		}
	}
	in.Listed = a.members.listedLive()
	for _, g := range a.relay.grantsOf(s.Name) {
		in.Serving[g.Group] = placement.Serving{Target: g.Target, Epoch: g.Rank.Epoch}
	}
	in.Leaving, in.Lost, in.Incarnations = a.hints.of(s)
	return in
}

func (a *assigner) write(ctx context.Context, store platform.Store, kind model.Kind, name string, version uint64, spec any) (uint64, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	o, err := platform.Write(ctx, store, platform.Object{Kind: kind, Name: name, Version: version, Writer: a.tag(), Spec: text})
	return o.Version, err
}

// sendLoads sends the VM's load to the holders of its services, and to nobody else:
// one small message a second for each holder, however many VMs there are.
func (a *assigner) sendLoads(ctx context.Context) {
	now := a.clock.Now()
	if now-a.loadsSentAt < loadsEvery {
		return
	}
	a.loadsSentAt = now
	args := &wire.LoadsArgs{VM: a.members.me().VM, Loads: a.relay.ownLoads()}
	if len(args.Loads) == 0 {
		return
	}
	holders := make(map[string]bool)
	for _, p := range a.services {
		holders[p.election.Holder()] = true
	}
	if holders[args.VM] {
		a.relay.loads.take(args)
	}
	for vm, addr := range a.members.addrs() {
		if holders[vm] {
			go a.sendLoadsTo(ctx, vm, addr, args)
		}
	}
}

func (a *assigner) sendLoadsTo(ctx context.Context, vm, addr string, args *wire.LoadsArgs) {
	ctx, cancel := context.WithTimeout(ctx, loadsEvery)
	defer cancel()
	if err := a.peers.Get(addr).Call(ctx, wire.MethodLoads, args, &wire.Empty{}); err != nil {
		a.log.Debug().Err(err).Str("step", "send-loads").Str("peer", vm).Msg("assigner not reached")
	}
}
