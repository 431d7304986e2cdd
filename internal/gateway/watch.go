package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// Timeouts and limits of the watches.
const (
	// minWatchDuration and maxWatchDuration bound how long a watch call waits for changes. The store may drop
	// its history, after which a waiting call misses the earlier changes and only the next call detects it. A
	// change must be known within about two seconds. The time is random, because a change ends the calls of all
	// watchers at once, and their next answers must not come all at once again.
	minWatchDuration = 650 * time.Millisecond
	maxWatchDuration = 1300 * time.Millisecond
	// watchTimeoutMargin is added to the duration of a watch for the response to arrive.
	watchTimeoutMargin = 500 * time.Millisecond
	// batchPause is the pause after changes. It reduces the number of calls when many changes
	// follow each other, as when all targets start.
	batchPause = 80 * time.Millisecond
	// watcherCount is the number of VMs that watch the store; the others learn from them. Each
	// call to the store has a cost, and with three watchers the loss of one causes no delay.
	watcherCount = 3
	// watchCheckInterval is the interval at which a VM that does not watch checks whether it has
	// to.
	watchCheckInterval = 100 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the pause after a failed call. They are short
	// because changes must take effect soon after the store is reachable again.
	minStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff = 400 * time.Millisecond
	// idleRetryPause is the pause after a failed call of a VM that need not know soon that it reaches the store
	// again. With the timeout of the call, it must do so within 3 s, the time from which users count on it.
	idleRetryPause = 1500 * time.Millisecond
)

// startWatches starts the duties that keep the objects of the store up to date.
func (g *Gateway) startWatches(ctx context.Context) {
	for _, o := range []watchedObjects{g.configObjects(), g.targetObjects()} {
		go g.watch(ctx, o)
		go g.keepConfirmed(ctx, o)
	}
	go g.watchEvacuations(ctx)
}

// watch keeps objects up to date until ctx ends, while it is this VM's duty. It lists them and then follows
// the changes. If the store has dropped its history or was unreachable, it lists them again.
func (g *Gateway) watch(ctx context.Context, o watchedObjects) {
	backoff := minStoreBackoff
	watching := false
	for ctx.Err() == nil {
		if should := g.shouldWatch(o.kind); should != watching {
			watching = should
			g.recordWatching(o.kind, watching)
		}
		if !watching {
			pause.For(ctx, watchCheckInterval)
			continue
		}
		revision, err := g.listKind(ctx, o)
		if err == nil {
			backoff = minStoreBackoff
			err = g.followChanges(ctx, o, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, platform.ErrGone) {
			g.log.Warn().Str("step", "watch").Str("kind", string(o.kind)).Err(err).Msg("store dropped its history, listing again")
			continue
		}
		pause.For(ctx, max(backoff, g.minRetryPause()))
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

// recordWatching records that this VM begins or ends to watch the objects of a kind.
func (g *Gateway) recordWatching(kind model.Kind, watching bool) {
	change := int32(1)
	if !watching {
		change = -1
	}
	g.watching.Add(change)
	g.log.Info().Str("step", "watch").Str("kind", string(kind)).Bool("watching", watching).Msg("begins or ends to watch the store")
}

// shouldWatch reports whether this VM has to watch the objects of a kind. The grantors do, because they
// must notice early that they do not reach the store, and as many other VMs as watcherCount requires. A VM
// that does not reach the store does not count as one of them. It continues to try, with one kind only unless it is
// to be among the first to notice that the store is back.
func (g *Gateway) shouldWatch(kind model.Kind) bool {
	if !g.storeUp.Load() {
		return kind == g.adapter.ConfigID().Kind || g.retriesEarly()
	}
	grantors := g.state.leases.Grantors()
	return grantors[g.self.VM] || g.place("watch", g.mesh.ReachesStore) < watcherCount-len(grantors)
}

// watchedByOthers reports whether enough other VMs reach the store to watch it.
func (g *Gateway) watchedByOthers() bool { return len(g.mesh.StoreRelays()) >= watcherCount }

// retriesEarly reports whether this VM calls the store again soon after a failure. Each call has a cost, and a
// VM that learns all changes from others need not know soon that it reaches the store again. While too few VMs
// reach it, the preferred ones suffice.
func (g *Gateway) retriesEarly() bool {
	return g.state.leases.Grantors()[g.self.VM] || !g.watchedByOthers() && g.place("watch", anyVM) < watcherCount
}

// minRetryPause returns the least pause before this VM calls the store again after a failure.
func (g *Gateway) minRetryPause() time.Duration {
	if g.retriesEarly() {
		return 0
	}
	return idleRetryPause
}

// place returns this VM's place, from 0, in the order of preference for a duty among the live VMs
// for which fit returns true. VMs with much faster links come first, because on a link of 10
// Mbit/s the renewals of hundreds of ranges compete with requests.
func (g *Gateway) place(duty string, fit func(vm string) bool) int { return g.mesh.Rank(duty, fit) }

func (g *Gateway) listKind(ctx context.Context, o watchedObjects) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	call := g.beginCall(0)
	l, err := g.store.ListKind(callCtx, o.kind)
	if err != nil {
		return 0, fmt.Errorf("list %s: %w", o.kind, err)
	}
	o.list(l)
	g.confirm(o, l.Revision, call, call.sentAt)
	return l.Revision, nil
}

// followChanges applies the changes after a revision until this VM need not watch the objects any more.
func (g *Gateway) followChanges(ctx context.Context, o watchedObjects, revision uint64) error {
	answers := watchAnswers{from: revision}
	for ctx.Err() == nil && g.shouldWatch(o.kind) {
		wait := minWatchDuration + rand.N(maxWatchDuration-minWatchDuration)
		callCtx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
		call := g.beginCall(wait)
		changes, err := g.store.WatchKind(callCtx, o.kind, answers.from, wait)
		cancel()
		if err != nil {
			return fmt.Errorf("watch %s from %d: %w", o.kind, answers.from, err)
		}
		if len(changes.Events) > 0 {
			o.change(changes)
		}
		g.confirm(o, completeTo(answers.from, changes), call, call.answeredAt(changes, g.clock.Now()))
		if len(changes.Events) > 0 {
			pause.For(ctx, batchPause)
		}
		answers.add(changes, g.clock.Now())
	}
	return ctx.Err()
}

// updateMembership changes the membership in a way that does not change the list of targets.
func (s *routingState) updateMembership(change func(m *catalog.TargetSet, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.membership, s.clock.Now())
}

const sourceStore = "store"

// targetObjects returns the entries of targets.
func (g *Gateway) targetObjects() watchedObjects {
	return watchedObjects{
		kind: g.adapter.TargetKind(),
		list: func(l platform.Listing) {
			t := catalog.Targets{Revision: l.Revision}
			for _, o := range l.Objects {
				if target, ok := g.readTarget(o); ok {
					t.List = append(t.List, target)
				}
			}
			g.state.updateTargets(sourceStore, func(m *catalog.TargetSet, now time.Duration) { m.Replace(t, now) })
			g.listed.Store(true)
			g.reportReady()
		},
		change: func(c platform.Changes) {
			g.state.updateTargets(sourceStore, func(m *catalog.TargetSet, now time.Duration) {
				for _, ev := range c.Events {
					g.applyTarget(m, ev, now)
				}
			})
		},
		revision: g.listedRevision, version: g.listedRevision, versionIsRevision: true,
	}
}

// listedRevision returns the revision of the list of targets, or 0 if it is not known.
func (g *Gateway) listedRevision() uint64 {
	if !g.listed.Load() {
		return 0
	}
	return g.state.view.Load().Targets.Revision
}

func (g *Gateway) applyTarget(m *catalog.TargetSet, ev platform.Event, now time.Duration) {
	if ev.Type == platform.EventDelete {
		m.Remove(ev.Object.Name, ev.Revision, now)
		return
	}
	target, ok := g.readTarget(ev.Object)
	if !ok {
		m.Remove(ev.Object.Name, ev.Revision, now)
		return
	}
	m.Put(target, ev.Revision)
}

// readTarget decodes the object of a target. An object that cannot be decoded is ignored, because
// it names no usable target and must not affect the others.
func (g *Gateway) readTarget(o platform.Object) (catalog.Target, bool) {
	target, err := g.adapter.Target(o)
	if err != nil {
		metrics.GetOrRegisterCounter("targets.refused", g.registry).Inc(1)
		g.log.Warn().Str("step", "targets").Str("target", o.Name).Uint64("revision", o.Version).Err(err).Msg("ignored target object that could not be decoded")
		return target, false
	}
	return target, true
}

// configObjects returns the configuration.
func (g *Gateway) configObjects() watchedObjects {
	kind := g.adapter.ConfigID().Kind
	return watchedObjects{
		kind: kind,
		list: func(l platform.Listing) {
			for _, o := range l.Objects {
				g.applyConfig(o)
			}
		},
		change: func(c platform.Changes) {
			for _, ev := range c.Events {
				if ev.Type == platform.EventPut {
					g.applyConfig(ev.Object)
				}
			}
		},
		revision: func() uint64 {
			m := g.confirmations.mark(kind)
			if g.state.view.Load().ConfigVersion() < m.Version {
				return 0
			}
			return m.Revision
		},
		version: func() uint64 { return g.state.view.Load().ConfigVersion() },
	}
}

// applyConfig applies the configuration in o. One that cannot be decoded changes nothing.
func (g *Gateway) applyConfig(o platform.Object) {
	if o.Name != g.adapter.ConfigID().Name {
		return
	}
	c, err := g.adapter.Config(o)
	if err != nil {
		g.log.Error().Str("step", "config").Uint64("revision", o.Version).Err(err).Msg("configuration could not be decoded, the current one stays in force")
		return
	}
	g.state.setConfig(c, sourceStore)
	g.reportReady()
}

// expireTargets periodically drops the targets that are still missing some time after an outage of
// the store.
func (g *Gateway) expireTargets(ctx context.Context) {
	const interval = 100 * time.Millisecond
	for pause.For(ctx, interval) {
		g.state.mu.Lock()
		if g.state.membership.HasDeferredRemovals() && g.state.membership.Expire(g.clock.Now()) {
			g.state.publishLocked("still missing after an outage")
		}
		g.state.mu.Unlock()
	}
}
