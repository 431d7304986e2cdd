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
	// planInterval is the time between two checks of elections and plans.
	planInterval = 500 * time.Millisecond
	// loadReportInterval is how often a VM reports its load to assigners.
	loadReportInterval = time.Second
)

// assigner takes part in the election of each keyed service's assigner and plans the services for
// which this agent was elected. It runs in one goroutine.
type assigner struct {
	electionStore platform.Store
	planStore     platform.Store
	config        *configuration
	members       *members
	relay         *relay
	peers         *peer.Pool
	targetHealth  *healthMonitor
	newWriteTag   func() string
	timeout       time.Duration
	clock         boottime.Clock
	journal       *journal.Journal
	log           *log.Logger

	services    map[string]*assignedService
	decoded     decodedConfig
	loadsSentAt time.Duration
}

// assignedService is the assigner's state of one service.
type assignedService struct {
	election   *ownership.Election
	planner    *placement.Planner
	isAssigner bool
	// writtenVersion is the version of the assignment that this agent wrote last. It does not
	// plan on older versions.
	writtenVersion uint64
}

func (a *assigner) run(ctx context.Context) {
	a.services = make(map[string]*assignedService)
	for ctx.Err() == nil {
		pause.For(ctx, planInterval)
		a.refreshDecoded()
		for _, s := range a.decoded.view.Services() {
			if s.Keyed {
				a.updateService(ctx, s, a.decoded.objects, a.decoded.view.Assignment(s.Name), a.decoded.versions)
			}
		}
		a.sendLoads(ctx)
	}
}

// decodedConfig is the configuration as last decoded by the assigner. It is decoded again only
// when the revision has changed: of the checks, two a second on every agent, most find nothing
// new.
type decodedConfig struct {
	revision uint64
	objects  []platform.Object
	view     *view.View
	versions map[platform.ID]uint64
	cache    view.Cache
}

// refreshDecoded decodes the configuration again if its revision has changed.
func (a *assigner) refreshDecoded() {
	// The revision is read first, so that a change made in between is found by the next check.
	revision, _ := a.config.heldRevision()
	if a.decoded.view != nil && revision == a.decoded.revision {
		return
	}
	a.decoded.revision = revision
	a.decoded.objects = a.config.list()
	a.decoded.view = a.decoded.cache.Build(a.decoded.objects, nil, nil)
	a.decoded.versions = versionsOf(a.decoded.objects)
}

func versionsOf(objects []platform.Object) map[platform.ID]uint64 {
	versions := make(map[platform.ID]uint64, len(objects))
	for _, o := range objects {
		versions[o.ID()] = o.Version
	}
	return versions
}

// updateService takes part in the election of a service's assigner, and plans the service if this
// agent holds it.
func (a *assigner) updateService(ctx context.Context, s *model.Service, objects []platform.Object, held *model.Assignment, versions map[platform.ID]uint64) {
	now := a.clock.Now()
	me := a.members.selfMember()
	svc := a.services[s.Name]
	if svc == nil {
		svc = &assignedService{election: ownership.NewElection(s.Name, me.VM, me.Incarnation, now), planner: placement.New()}
		a.services[s.Name] = svc
	}
	a.observeElection(svc, s.Name, objects, now)
	if c := svc.election.Step(now, a.rank(s.Name, me)); c != nil {
		a.writeClaim(ctx, svc, c)
	}
	a.recordElectionResult(svc, s.Name)
	version := versions[platform.ID{Kind: model.KindAssignment, Name: s.Name}]
	if !svc.election.Holds(a.clock.Now()) || version < svc.writtenVersion {
		return
	}
	a.targetHealth.probe(ctx, s)
	a.plan(ctx, svc, s, held, version)
}

func (a *assigner) observeElection(svc *assignedService, service string, objects []platform.Object, now time.Duration) {
	i := slices.IndexFunc(objects, func(o platform.Object) bool { return o.Kind == model.KindAssigner && o.Name == service })
	if i < 0 {
		return
	}
	if object, err := model.Decode(objects[i].Kind, objects[i].Name, objects[i].Spec); err == nil {
		svc.election.Observe(now, *object.(*model.Assigner), objects[i].Version)
	}
}

// rank returns this VM's rank among the live VMs for a service.
func (a *assigner) rank(service string, me wire.Member) int {
	var candidates []rendezvous.Candidate
	for _, m := range a.members.live() {
		candidates = append(candidates, rendezvous.Candidate{VM: m.VM, DataCentre: m.DataCentre})
	}
	order := rendezvous.Rank(candidates, "assigner/"+service, "")
	return slices.IndexFunc(order, func(i int) bool { return candidates[i].VM == me.VM })
}

func (a *assigner) writeClaim(ctx context.Context, svc *assignedService, c *ownership.Claim) {
	written, err := a.write(ctx, a.electionStore, model.KindAssigner, c.Object.Service, c.Version, &c.Object)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		svc.election.Done(a.clock.Now(), c, written, err == nil)
		return
	}
	svc.election.OutcomeUnknown(a.clock.Now())
	a.log.Debug().Err(err).Str("step", "elect").Str("peer", "store").Str("service", c.Object.Service).Msg("cannot write the claim of the assigner lease")
}

// recordElectionResult records in the journal that this agent became a service's assigner or
// ceased to be it.
func (a *assigner) recordElectionResult(svc *assignedService, service string) {
	holds := svc.election.Holds(a.clock.Now())
	if holds == svc.isAssigner {
		return
	}
	svc.isAssigner = holds
	svc.planner = placement.New()
	text := "became assigner: no other agent renewed the lease in time"
	if !holds {
		text = "no longer assigner: another agent holds the service, or the renewal failed"
	}
	a.journal.Add("elect", text, service)
}

// plan writes the changes that are due. The write is conditional on the version of the record
// from which the plan was made.
func (a *assigner) plan(ctx context.Context, svc *assignedService, s *model.Service, held *model.Assignment, version uint64) {
	in := a.plannerInput(s, held)
	var result placement.Result
	if held == nil {
		result = svc.planner.PlanFirst(&in)
	} else {
		result = svc.planner.Plan(&in)
	}
	if len(result.Decisions) == 0 || len(result.Assignment.Groups) == 0 {
		return
	}
	written, err := a.write(ctx, a.planStore, model.KindAssignment, s.Name, version, &result.Assignment)
	if err != nil {
		svc.planner.DropMoves()
		a.log.Debug().Err(err).Str("step", "plan").Str("peer", "store").Str("service", s.Name).Msg("cannot write the assignment")
		return
	}
	svc.writtenVersion = written
	for _, d := range result.Decisions {
		a.journal.Add("place", string(d.Kind)+": "+d.Text, s.Name)
	}
}

func (a *assigner) plannerInput(s *model.Service, held *model.Assignment) placement.Input {
	in := placement.Input{
		Now: a.clock.Now(), Service: s, Assignment: held, Author: a.members.selfMember().Incarnation,
		Serving: make(map[uint64]placement.Serving), Load: a.relay.loads.rates(s.Name),
	}
	for _, m := range a.members.live() {
		if !m.Leaving {
			in.VMs = append(in.VMs, placement.VM{Name: m.VM, DataCentre: m.DataCentre})
		}
	}
	in.Listed = a.members.listedLiveCount()
	for _, g := range a.relay.serviceGrants(s.Name) {
		in.Serving[g.Group] = placement.Serving{Target: g.Target, Epoch: g.Rank.Epoch}
	}
	in.Leaving, in.Lost, in.Incarnations = a.targetHealth.status(s)
	return in
}

func (a *assigner) write(ctx context.Context, store platform.Store, kind model.Kind, name string, version uint64, spec any) (uint64, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	o, err := platform.Write(ctx, store, platform.Object{Kind: kind, Name: name, Version: version, Writer: a.newWriteTag(), Spec: text})
	return o.Version, err
}

// sendLoads sends the VM's load to the assigners of its services and to no other agent: one small
// message a second per assigner, however many VMs there are.
func (a *assigner) sendLoads(ctx context.Context) {
	now := a.clock.Now()
	if now-a.loadsSentAt < loadReportInterval {
		return
	}
	a.loadsSentAt = now
	args := &wire.LoadsArgs{VM: a.members.selfMember().VM, Loads: a.relay.ownLoads()}
	if len(args.Loads) == 0 {
		return
	}
	holders := make(map[string]bool)
	for _, svc := range a.services {
		holders[svc.election.Holder()] = true
	}
	if holders[args.VM] {
		a.relay.loads.record(args)
	}
	for vm, addr := range a.members.peerAddrs() {
		if holders[vm] {
			go a.sendLoadsTo(ctx, vm, addr, args)
		}
	}
}

func (a *assigner) sendLoadsTo(ctx context.Context, vm, addr string, args *wire.LoadsArgs) {
	ctx, cancel := context.WithTimeout(ctx, loadReportInterval)
	defer cancel()
	if err := a.peers.Get(addr).Call(ctx, wire.MethodLoads, args, &wire.Empty{}); err != nil {
		a.log.Debug().Err(err).Str("step", "send-loads").Str("peer", vm).Msg("cannot send loads to the assigner")
	}
}
