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

// kindMembers is the kind of the VMs' own entries.
const kindMembers model.Kind = "hq-members"

var _ mesh.Local = (*Gateway)(nil)

// Heartbeat implements mesh.Local.
func (g *Gateway) Heartbeat() mesh.Heartbeat {
	v := g.state.view.Load()
	return mesh.Heartbeat{
		From: g.self, Leaving: g.leaving.Load(),
		StoreLost: !g.storeUp.Load(), StoreRelayed: g.storeRelayed(), ConfigVersion: v.ConfigVersion(),
		TargetsRevision: v.Targets.Revision, Targets: uint16(len(v.Targets.List)),
		Leases: g.state.leases.Marks(), Loads: g.state.loads(), Crashes: g.state.crashList(),
	}
}

// OnHeartbeat implements mesh.Local: it fetches what the other VM knows better.
func (g *Gateway) OnHeartbeat(b mesh.Heartbeat) {
	v := g.state.view.Load()
	if !b.StoreLost && b.TargetsRevision == v.Targets.Revision {
		g.targetsConfirmedAt.Store(int64(g.clock.Now()))
	}
	if b.ConfigVersion > v.ConfigVersion() {
		g.fetch(b.From.VM, "config", g.fetchConfig)
	}
	// Targets whose entries stayed away after an outage are dropped without a
	// new revision.
	fewer := b.TargetsRevision == v.Targets.Revision && int(b.Targets) < len(v.Targets.List)
	if b.TargetsRevision > v.Targets.Revision || fewer {
		g.fetch(b.From.VM, "targets", func(ctx context.Context, from *fetchRun) error {
			return g.fetchTargets(ctx, from, fewer)
		})
	}
	for _, mark := range b.Leases {
		if g.behind(mark) {
			g.fetch(b.From.VM, mark.Service, func(ctx context.Context, from *fetchRun) error {
				return g.fetchRouting(ctx, from, mark.Service)
			})
		}
	}
}

// behindLeast is for how long leases are behind before they are fetched: the
// grantor's own update is faster, and a heartbeat may overtake it.
const behindLeast = 100 * time.Millisecond

// behind reports whether leases known here have been behind for a while.
func (g *Gateway) behind(mark mesh.LeaseVersion) bool {
	r := g.state.leases.Of(mark.Service)
	if r == nil || mark.Epoch > r.Epoch {
		return true
	}
	if mark.Epoch < r.Epoch || mark.Seq <= r.Seq {
		return false
	}
	return g.state.leases.StaleFor(r) >= behindLeast
}

// View answers what this VM believes. It is registered for the other VMs.
type View struct{ gateway *Gateway }

var errUnknown = errors.New("not known here")

// ConfigVersion returns the configuration in force.
func (v View) ConfigVersion(in *VersionArgs, out *VersionReply) error {
	t := v.gateway.state.view.Load().Routes
	if t == nil || t.Config().Version <= in.Have {
		return errUnknown
	}
	var err error
	*out, err = v.gateway.transfers.whole("config", valueVersion{revision: t.Config().Version}, in.From, func() any { return t.Config() })
	return err
}

// TargetsSince returns what changed in the list of targets since a revision, or the whole
// list if that is not known.
func (v View) TargetsSince(in *VersionArgs, out *VersionReply) error {
	if changes, known := v.gateway.state.targetsSince(in.Have); known {
		out.Changes = &changes
		return nil
	}
	t := v.gateway.state.view.Load().Targets
	if t.Revision < in.Have {
		return errUnknown
	}
	var err error
	*out, err = v.gateway.transfers.whole("targets", valueVersion{t.Revision, len(t.List)}, in.From, func() any { return t })
	return err
}

// Routing returns the leases of a service.
func (v View) Routing(service *string, out *lease.Routing) error {
	r := v.gateway.state.leases.Of(*service)
	if r == nil {
		return errUnknown
	}
	*out = *r
	return nil
}

// Push applies changed leases from their grantor. The answer is false if the update
// builds on a version that is not the one known here.
func (v View) Push(in *lease.Update, used *bool) error {
	*used = v.gateway.state.leases.Update(in)
	return nil
}

// KeyLoad returns what this VM has seen, and starts anew.
func (v View) KeyLoad(service *string, out *leasing.KeyLoad) error {
	*out = v.gateway.state.takeKeyLoad(*service)
	return nil
}

// takeKeyLoad returns the counts and starts anew.
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
		if t.Service == service {
			out.AddTarget(t.hash, t.pick.Slowness())
		}
	}
	return out
}

// join makes this VM and the others known to each other: it writes its own entry
// to the store, reads those of the others and calls them.
func (g *Gateway) join(ctx context.Context) {
	go g.joinSeeds(ctx)
	for wait := storePauseLeast; ; wait = min(2*wait, storePauseMost) {
		err := g.joinStore(ctx)
		if err == nil {
			return
		}
		g.log.Warn().Str("step", "join").Err(err).Msg("not joined through the store yet")
		if !pause.For(ctx, wait) {
			return
		}
	}
}

func (g *Gateway) joinSeeds(ctx context.Context) {
	for _, addr := range g.settings.Seeds {
		if addr == g.self.Addr {
			continue
		}
		members, err := mesh.Join(ctx, addr, g.self)
		if err != nil {
			g.log.Info().Str("step", "join").Str("seed", addr).Err(err).Msg("seed not reached")
			continue
		}
		for _, m := range members {
			g.mesh.Add(m)
		}
		g.joined.Store(true)
	}
}

func (g *Gateway) joinStore(ctx context.Context) error {
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
			g.log.Warn().Str("step", "join").Str("vm", o.Name).Err(err).Msg("entry of a VM ignored")
			continue
		}
		g.mesh.Add(m)
	}
	g.joined.Store(true)
	return nil
}

func (g *Gateway) writeMember(ctx context.Context) error {
	spec, err := json.Marshal(g.self)
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
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
