package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// Timeouts and limits of the watches.
const (
	// watchWait is how long a watch waits for changes. The store may drop its
	// history and leave a waiting watch without an earlier change; the next
	// call finds out. A change must be known within about two seconds.
	watchWait = 1300 * time.Millisecond
	// watchSlack is what the answer may take on top.
	watchSlack = 500 * time.Millisecond
	// eventsPause is the pause after changes, so that a series of them, as when
	// all targets start, comes with a few calls.
	eventsPause = 80 * time.Millisecond
	// watchers is how many VMs watch the store; the others learn from them.
	// Each call to the store counts, and with three the loss of one delays
	// nothing.
	watchers = 3
	// idleStep is the time between two checks of a VM whether it is to watch.
	idleStep = 100 * time.Millisecond
	// storePauseLeast and storePauseMost bound the pause after a failed call:
	// short, since changes bind the VM soon after the store's return.
	storePauseLeast = 50 * time.Millisecond
	storePauseMost  = 400 * time.Millisecond
)

// watch keeps one kind up to date until the context ends: it lists, then follows
// the changes; when the history is gone or the store was away it lists again.
func (g *Gateway) watch(ctx context.Context, kind model.Kind, list func(platform.Listing), change func(platform.Changes)) {
	wait := storePauseLeast
	for ctx.Err() == nil {
		if !g.watching() {
			pause.For(ctx, idleStep)
			continue
		}
		revision, err := g.listOnce(ctx, kind, list)
		if err == nil {
			wait = storePauseLeast
			err = g.follow(ctx, kind, revision, change)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, platform.ErrGone) {
			g.log.Warn().Str("step", "watch").Str("kind", string(kind)).Err(err).Msg("history gone, listing again")
			continue
		}
		pause.For(ctx, wait)
		wait = min(2*wait, storePauseMost)
	}
}

// watching reports whether this VM is one of those that watch the store: the
// grantors, which must know soon when it turns them away, and others to make up
// the number. One that the store turned away is passed over, and goes on trying.
func (g *Gateway) watching() bool {
	if !g.storeUp.Load() {
		return true
	}
	grantors := g.state.leases.Grantors()
	return grantors[g.self.VM] || g.place("watch", g.mesh.ReachesStore) < watchers-len(grantors)
}

// place returns this VM's place, from 0, in the order for a duty of the live VMs that
// are fit for it. VMs with much faster links come first: on a link of 10 Mbit/s, renewals of
// hundreds of ranges compete with requests.
func (g *Gateway) place(duty string, fit func(vm string) bool) int { return g.mesh.Rank(duty, fit) }

// leasePlace returns this VM's place in the succession of a service's grantor. VMs that the
// store turns away have a place as well: they may be grantors through a relay, and while
// nobody reaches the store, not all VMs have the first place and try at the same time.
// A VM that leaves has a place among those that leave.
func (g *Gateway) leasePlace(service string) int {
	if g.leaving.Load() {
		return g.mesh.RankAmongLeaving(service)
	}
	return g.place(service, func(string) bool { return true })
}

func (g *Gateway) listOnce(ctx context.Context, kind model.Kind, list func(platform.Listing)) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l, err := g.store.ListKind(callCtx, kind)
	if err != nil {
		return 0, fmt.Errorf("list %s: %w", kind, err)
	}
	list(l)
	return l.Revision, nil
}

func (g *Gateway) follow(ctx context.Context, kind model.Kind, revision uint64, change func(platform.Changes)) error {
	for ctx.Err() == nil && g.watching() {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		changes, err := g.store.WatchKind(callCtx, kind, revision, watchWait)
		cancel()
		if err != nil {
			return fmt.Errorf("watch %s from %d: %w", kind, revision, err)
		}
		g.targetsConfirmedAt.Store(int64(g.clock.Now()))
		if len(changes.Events) > 0 {
			change(changes)
			pause.For(ctx, eventsPause)
		}
		revision = max(revision, changes.Revision)
	}
	return ctx.Err()
}

// changeMembersQuietly applies what changes no target by itself.
func (s *routingState) changeMembersQuietly(change func(m *catalog.TargetSet, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.members, s.clock.Now())
}

const sourceStore = "store"

// watchTargets keeps the list of targets.
func (g *Gateway) watchTargets(ctx context.Context) {
	g.watch(ctx, g.adapter.TargetKind(), func(l platform.Listing) {
		t := catalog.Targets{Revision: l.Revision}
		for _, o := range l.Objects {
			if e, ok := g.readTarget(o); ok {
				t.List = append(t.List, e)
			}
		}
		g.state.changeTargets(sourceStore, func(m *catalog.TargetSet, now time.Duration) { m.Replace(t, now) })
		g.listed.Store(true)
		g.checkReady()
	}, func(c platform.Changes) {
		g.state.changeTargets(sourceStore, func(m *catalog.TargetSet, now time.Duration) {
			for _, ev := range c.Events {
				g.applyTarget(m, ev, now)
			}
		})
	})
}

func (g *Gateway) applyTarget(m *catalog.TargetSet, ev platform.Event, now time.Duration) {
	if ev.Type == platform.EventDelete {
		m.Remove(ev.Object.Name, ev.Revision, now)
		return
	}
	e, ok := g.readTarget(ev.Object)
	if !ok {
		m.Remove(ev.Object.Name, ev.Revision, now)
		return
	}
	m.Put(e, ev.Revision)
}

// readTarget ignores an entry that cannot be read: it names no target to use,
// and the others hold.
func (g *Gateway) readTarget(o platform.Object) (catalog.Target, bool) {
	e, err := g.adapter.Target(o)
	if err != nil {
		g.log.Warn().Str("step", "targets").Str("target", o.Name).Uint64("revision", o.Version).Err(err).Msg("entry ignored")
		return e, false
	}
	return e, true
}

// watchConfig keeps the configuration.
func (g *Gateway) watchConfig(ctx context.Context) {
	g.watch(ctx, g.adapter.ConfigID().Kind, func(l platform.Listing) {
		for _, o := range l.Objects {
			g.applyConfig(o)
		}
	}, func(c platform.Changes) {
		for _, ev := range c.Events {
			if ev.Type == platform.EventPut {
				g.applyConfig(ev.Object)
			}
		}
	})
}

// applyConfig puts a configuration in force. One that cannot be read changes
// nothing.
func (g *Gateway) applyConfig(o platform.Object) {
	if o.Name != g.adapter.ConfigID().Name {
		return
	}
	c, err := g.adapter.Config(o)
	if err != nil {
		g.log.Error().Str("step", "config").Uint64("revision", o.Version).Err(err).Msg("configuration refused")
		return
	}
	g.state.setConfig(c, sourceStore)
	g.checkReady()
}

// expireTargets drops targets whose entries stayed away after an outage.
func (g *Gateway) expireTargets(ctx context.Context) {
	const every = 100 * time.Millisecond
	for pause.For(ctx, every) {
		g.state.mu.Lock()
		if g.state.members.HasDeferredRemovals() && g.state.members.Expire(g.clock.Now()) {
			g.state.publishLocked("still missing after an outage")
		}
		g.state.mu.Unlock()
	}
}
