package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/sources"
	"hemlockquay/internal/gateway/leasing"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/packed"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/route"
)

const (
	// fetchTimeout bounds a fetch from all sources together. The next heartbeat of any VM
	// that has the version begins another.
	fetchTimeout = 2 * time.Second
	// requestTimeout bounds a request to one source: a packed configuration takes a tenth
	// of it on a link of 10 Mbit/s.
	requestTimeout = 400 * time.Millisecond
	// fetchPause is the mean pause before another source is asked.
	fetchPause = 40 * time.Millisecond
	// storeFallback is after how long a configuration that no VM has sent is read from the
	// store: each call to the store is paid for, but a late configuration gives callers
	// wrong answers.
	storeFallback = 600 * time.Millisecond
)

var errBusy = errors.New("link is busy")

// fetchRun is a fetch that is running, with the VMs that may be asked.
type fetchRun struct {
	mu   sync.Mutex
	from *sources.Sources
}

func (f *fetchRun) add(vms ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from.Add(vms...)
}

func (f *fetchRun) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.from.Next(rand.IntN)
}

// fetch runs one fetch of a kind at a time. A VM that announces the same while it runs may be
// asked as well: the first one may be cut off meanwhile.
func (g *Gateway) fetch(vm, what string, get func(ctx context.Context, from *fetchRun) error) {
	from := &fetchRun{from: sources.New(vm)}
	if running, ok := g.fetching.LoadOrStore(what, from); ok {
		running.(*fetchRun).add(vm)
		return
	}
	go func() {
		defer g.fetching.Delete(what)
		begin := time.Now()
		if err := get(g.ctx, from); err != nil {
			g.log.Warn().Str("step", "fetch").Str("what", what).Str("first", vm).Dur("took", time.Since(begin)).Err(err).Msg("not fetched")
		}
	}()
}

// versionFetch says how a later version of a value is fetched.
type versionFetch struct {
	method string
	// have is the version at hand, 0 for none.
	have  uint64
	apply func(vm string, r *VersionReply) error
	// ended is called after each failure, with the time since the begin. It reports whether
	// the version has come another way.
	ended func(since time.Duration) bool
}

// fetchVersion asks one VM after the other until one has sent what can be applied.
func (g *Gateway) fetchVersion(ctx context.Context, from *fetchRun, f versionFetch) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	for begin := time.Now(); ; {
		vm := from.next()
		reply, err := g.requestVersion(ctx, vm, f.method, f.have)
		if err == nil {
			from.add(reply.Holders...)
			err = errBusy
			if !reply.Busy {
				err = f.apply(vm, reply)
			}
		}
		if err == nil || f.ended(time.Since(begin)) {
			return nil
		}
		if !pause.For(ctx, time.Duration(rand.Int64N(int64(2*fetchPause)))) {
			return fmt.Errorf("from %s at last: %w", vm, err)
		}
	}
}

func (g *Gateway) requestVersion(ctx context.Context, vm, method string, have uint64) (*VersionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply := new(VersionReply)
	err := g.mesh.Transfer(ctx, vm, method, &VersionArgs{From: g.self.VM, Have: have}, reply)
	return reply, err
}

// fetchConfig fetches a later configuration from the VMs that have it, or from the store.
func (g *Gateway) fetchConfig(ctx context.Context, from *fetchRun) error {
	have := g.state.view.Load().ConfigVersion()
	return g.fetchVersion(ctx, from, versionFetch{
		method: "View.ConfigVersion", have: have, apply: g.applyFetchedConfig,
		ended: func(since time.Duration) bool {
			return g.state.view.Load().ConfigVersion() > have || since > storeFallback && g.readConfig(ctx, have)
		},
	})
}

func (g *Gateway) applyFetchedConfig(vm string, r *VersionReply) error {
	var c route.Config
	if err := packed.Decode(r.Data, &c); err != nil {
		return err
	}
	g.state.setConfig(&c, vm)
	g.checkReady()
	return nil
}

// readConfig reads the configuration from the store and reports whether it is later than the
// given version.
func (g *Gateway) readConfig(ctx context.Context, have uint64) bool {
	if !g.storeUp.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := g.store.Get(ctx, g.adapter.ConfigID())
	if err != nil {
		g.log.Warn().Str("step", "fetch").Str("what", "config").Err(err).Msg("configuration not read from the store")
		return false
	}
	g.applyConfig(o)
	return g.state.view.Load().ConfigVersion() > have
}

// fetchTargets fetches what changed in the list of targets, or the whole list.
func (g *Gateway) fetchTargets(ctx context.Context, from *fetchRun, whole bool) error {
	have := uint64(0)
	if g.listed.Load() && !whole {
		have = g.state.view.Load().Targets.Revision
	}
	return g.fetchVersion(ctx, from, versionFetch{
		method: "View.TargetsSince", have: have, apply: g.applyTargets,
		ended: func(time.Duration) bool { return !whole && g.state.view.Load().Targets.Revision > have },
	})
}

// applyTargets applies the changes, or the whole list.
func (g *Gateway) applyTargets(vm string, r *VersionReply) error {
	if r.Changes != nil {
		g.state.changeTargets(vm, func(m *catalog.TargetSet, now time.Duration) { m.Apply(*r.Changes, now) })
	} else {
		var t catalog.Targets
		if err := packed.Decode(r.Data, &t); err != nil {
			return err
		}
		g.state.changeTargets(vm, func(m *catalog.TargetSet, now time.Duration) { m.Replace(t, now) })
	}
	g.listed.Store(true)
	g.checkReady()
	return nil
}

func (g *Gateway) fetchRouting(ctx context.Context, from *fetchRun, service string) error {
	vm := from.next()
	var r lease.Routing
	if err := g.mesh.Transfer(ctx, vm, "View.Routing", &service, &r); err != nil {
		return err
	}
	if !r.Valid() {
		return fmt.Errorf("leases of %s from %s: %w", service, vm, leasing.ErrMalformed)
	}
	g.state.leases.Set(&r)
	return nil
}
