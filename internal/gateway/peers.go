package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"hemlockquay/internal/gateway/leasing"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// kindMembers is the kind of the objects that describe VMs.
const kindMembers model.Kind = "hq-members"

var _ mesh.Local = (*Gateway)(nil)

// Heartbeat implements mesh.Local.
func (g *Gateway) Heartbeat() mesh.Heartbeat {
	// Objects are read after the marks that confirm them.
	evacuationsMark := g.confirmations.mark(g.adapter.EvacuationKind())
	v := g.state.view.Load()
	b := mesh.Heartbeat{
		From: g.self, Leaving: g.leaving.Load(),
		StoreLost: !g.storeUp.Load(), StoreRelayed: g.storeRelayed(), StoreAnswered: g.recentlyAnswered(), ConfigVersion: v.ConfigVersion(),
		TargetsRevision: v.Targets.Revision, Targets: uint16(len(v.Targets.List)),
		Leases: g.state.leases.Versions(), Loads: g.state.ownLoads(), Crashes: g.state.recentCrashes(),
		KnowsStandbys: true, CutOff: g.state.cutOff(), Unreached: g.state.unreachedTargets(),
	}
	b.ConfigMark = g.confirmations.mark(g.adapter.ConfigID().Kind)
	b.TargetsMark = g.confirmations.mark(g.adapter.TargetKind())
	b.EvacuationsMark = evacuationsMark
	g.state.addEvacuations(&b)
	b.TargetReports = g.state.ownReports()
	return b
}

// OnHeartbeat implements mesh.Local. It fetches what the other VM has in a newer version.
func (g *Gateway) OnHeartbeat(b mesh.Heartbeat, sentAt time.Duration) {
	v := g.state.view.Load()
	if b.EvacuationsRevision > v.Evacuations.Revision {
		g.state.applyPeerEvacuations(b)
	}
	// A mark must not be passed on before the evacuations that it confirms.
	g.confirmations.merge(g.adapter.EvacuationKind(), b.EvacuationsMark, sentAt)
	for _, r := range b.TargetReports {
		g.mergeReport(r, b.From.VM, true)
	}
	if len(b.Returns) > 0 {
		g.state.recordReturns(b.Returns)
	}
	g.confirmations.merge(g.adapter.ConfigID().Kind, b.ConfigMark, sentAt)
	g.confirmations.announce(g.adapter.ConfigID().Kind, b.ConfigVersion)
	g.confirmations.merge(g.adapter.TargetKind(), b.TargetsMark, sentAt)
	g.confirmations.announce(g.adapter.TargetKind(), b.TargetsRevision)
	if newest := max(b.ConfigMark.Version, b.ConfigMark.Newest, b.ConfigVersion); newest > v.ConfigVersion() {
		g.state.announced.record(newest, v.ConfigVersion(), b.From.VM, g.clock.Now())
	}
	if b.ConfigVersion > v.ConfigVersion() {
		g.fetch(b.From.VM, "config", g.fetchConfig)
	}
	// Targets that are still missing some time after an outage are dropped without a new revision.
	entriesDropped := b.TargetsRevision == v.Targets.Revision && int(b.Targets) < len(v.Targets.List)
	if b.TargetsRevision > v.Targets.Revision || entriesDropped {
		g.fetch(b.From.VM, "targets", func(ctx context.Context, vms *fetchSources) error {
			return g.fetchTargets(ctx, vms, entriesDropped)
		})
	}
	for _, mark := range b.Leases {
		if g.isStale(mark) {
			g.fetch(b.From.VM, mark.Service, func(ctx context.Context, vms *fetchSources) error {
				return g.fetchRouting(ctx, vms, mark.Service)
			})
		}
	}
}

// staleFetchDelay is how long leases must be stale before they are fetched. The grantor's own
// update is faster, but a heartbeat may overtake it.
const staleFetchDelay = 100 * time.Millisecond

// isStale reports whether the leases known here are older than mark and must be fetched. Within an
// epoch they must have been older for staleFetchDelay.
func (g *Gateway) isStale(mark mesh.LeaseVersion) bool {
	r := g.state.leases.Get(mark.Service)
	if r == nil || mark.Epoch > r.Epoch {
		return true
	}
	if mark.Epoch < r.Epoch || mark.Seq <= r.Seq {
		return false
	}
	return g.state.leases.StaleFor(r) >= staleFetchDelay
}

// View is the RPC service through which other VMs read this VM's state and grantors push leases.
type View struct{ gateway *Gateway }

var errUnknown = errors.New("not known here")

// ConfigVersion returns the configuration that is in force.
func (v View) ConfigVersion(in *FetchArgs, out *FetchReply) error {
	t := v.gateway.state.view.Load().Routes
	if t == nil || t.Config().Version <= in.HaveVersion {
		return errUnknown
	}
	var err error
	*out, err = v.gateway.transfers.reply("config", valueVersion{revision: t.Config().Version}, in.Requester, func() any { return t.Config() })
	return err
}

// TargetsSince returns the changes to the list of targets since a revision, or the whole list if
// the changes are not known.
func (v View) TargetsSince(in *FetchArgs, out *FetchReply) error {
	if changes, known := v.gateway.state.targetsSince(in.HaveVersion); known {
		out.Changes = &changes
		return nil
	}
	t := v.gateway.state.view.Load().Targets
	if t.Revision < in.HaveVersion {
		return errUnknown
	}
	var err error
	*out, err = v.gateway.transfers.reply("targets", valueVersion{t.Revision, len(t.List)}, in.Requester, func() any { return t })
	return err
}

// Routing returns the leases of a service.
func (v View) Routing(service *string, out *lease.Routing) error {
	r := v.gateway.state.leases.Get(*service)
	if r == nil {
		return errUnknown
	}
	*out = *r
	return nil
}

// Push applies changed leases from their grantor. The reply is false if the update is based on a
// version other than the one known here.
func (v View) Push(in *lease.Update, applied *bool) error {
	*applied = v.gateway.state.leases.Update(in)
	return nil
}

// KeyLoad returns the request counts of a service's keys and resets them.
func (v View) KeyLoad(service *string, out *leasing.KeyLoad) error {
	*out = v.gateway.state.takeKeyLoad(*service)
	return nil
}

// takeKeyLoad returns the request counts of a service's keys, with the slowness of the targets that have
// answered since the last call, and resets both.
func (s *routingState) takeKeyLoad(service string) leasing.KeyLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out leasing.KeyLoad
	for key, n := range s.keyLoad[service] {
		out.Keys = append(out.Keys, key)
		out.Requests = append(out.Requests, n)
	}
	delete(s.keyLoad, service)
	for _, t := range s.targets {
		if t.Service != service {
			continue
		}
		if m := t.pick.TakeMeasured(); m.Answers > 0 {
			out.AddTarget(t.hash, m)
		}
	}
	return out
}

// joinMesh makes this VM and the others known to each other. It writes this VM's own object to the
// store, reads those of the other VMs and contacts them.
func (g *Gateway) joinMesh(ctx context.Context) {
	g.joinThroughSeeds(ctx)
	for backoff := minStoreBackoff; ; backoff = min(2*backoff, maxStoreBackoff) {
		err := g.joinThroughStore(ctx)
		if err == nil {
			return
		}
		g.log.Warn().Str("step", "join").Err(err).Msg("could not join through the store, retrying")
		if !pause.For(ctx, backoff) {
			return
		}
	}
}

// joinThroughSeeds contacts all seeds at once, so that those that do not answer delay nothing.
func (g *Gateway) joinThroughSeeds(ctx context.Context) {
	for _, addr := range g.settings.Seeds {
		if addr != g.self.Addr {
			go g.joinThroughSeed(ctx, addr)
		}
	}
}

func (g *Gateway) joinThroughSeed(ctx context.Context, addr string) {
	members, err := g.mesh.Join(ctx, addr)
	if err != nil {
		g.log.Info().Str("step", "join").Str("seed", addr).Err(err).Msg("seed unreachable")
		return
	}
	for _, m := range members {
		g.mesh.Add(m)
	}
	g.joined.Store(true)
}

func (g *Gateway) joinThroughStore(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	if err := g.writeMember(callCtx); err != nil {
		return err
	}
	l, err := g.store.ListKind(callCtx, kindMembers)
	if err != nil {
		return fmt.Errorf("list VMs: %w", err)
	}
	for _, o := range l.Objects {
		var m mesh.Member
		if err := json.Unmarshal(o.Spec, &m); err != nil {
			g.log.Warn().Str("step", "join").Str("vm", o.Name).Err(err).Msg("ignored VM object that could not be decoded")
			continue
		}
		g.mesh.Add(m)
	}
	g.membersListed.Store(true)
	g.joined.Store(true)
	return nil
}

func (g *Gateway) writeMember(ctx context.Context) error {
	spec, err := json.Marshal(g.self)
	if err != nil {
		return fmt.Errorf("encode VM object: %w", err)
	}
	o := platform.Object{Kind: kindMembers, Name: g.self.VM, Spec: spec, Writer: g.tag()}
	_, err = g.store.Put(ctx, o)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	old, err := g.store.Get(ctx, o.ID())
	if err != nil {
		return err
	}
	o.Version = old.Version
	_, err = g.store.Put(ctx, o)
	return err
}
