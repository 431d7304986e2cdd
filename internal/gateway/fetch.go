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
	// fetchTimeout bounds a fetch from all sources together. The next heartbeat of any VM that has
	// the version starts another one.
	fetchTimeout = 2 * time.Second
	// overlapDelay is the time after which a fetch asks another source while the one before may still reply. A packed
	// configuration takes a tenth of it on a link of 10 Mbit/s.
	overlapDelay = 400 * time.Millisecond
	// maxOverlapping bounds the requests of one fetch that are in flight.
	maxOverlapping = 3
	// fetchPause is the mean pause before the next source is tried.
	fetchPause = 40 * time.Millisecond
	// storeFallbackDelay is the time after which a configuration that no VM has sent is read from
	// the store. Calls to the store have a cost, but with an outdated configuration callers get
	// wrong responses.
	storeFallbackDelay = 600 * time.Millisecond
)

var errBusy = errors.New("link is busy")

// fetchSources is the set of VMs that a running fetch may use as sources.
type fetchSources struct {
	mu      sync.Mutex
	sources *sources.Sources
}

func (f *fetchSources) add(vms ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.Add(vms...)
}

func (f *fetchSources) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Next(rand.IntN)
}

// fetch starts a fetch of this kind unless one is running. If one is, vm becomes an additional
// source for it, because its first source may have become unreachable.
func (g *Gateway) fetch(vm, kind string, get func(ctx context.Context, vms *fetchSources) error) {
	vms := &fetchSources{sources: sources.New(vm)}
	if running, ok := g.fetches.LoadOrStore(kind, vms); ok {
		running.(*fetchSources).add(vm)
		return
	}
	go func() {
		defer g.fetches.Delete(kind)
		begin := time.Now()
		if err := get(g.ctx, vms); err != nil {
			g.log.Warn().Str("step", "fetch").Str("what", kind).Str("first", vm).Dur("took", time.Since(begin)).Err(err).Msg("not fetched")
		}
	}()
}

// versionFetch describes how to fetch a later version of a value.
type versionFetch struct {
	method string
	// haveVersion is the version known here, 0 if there is none.
	haveVersion uint64
	apply       func(vm string, r *FetchReply) error
	// obtained is called after each request that failed or has no reply yet, with the time since the start. It reports
	// whether the version was obtained in another way.
	obtained func(since time.Duration) bool
}

// fetchVersion asks one source after the other until one has sent a value that can be applied. A source that does not
// reply soon may still do so while others are asked: a transfer that is nearly done is not begun anew.
func (g *Gateway) fetchVersion(ctx context.Context, vms *fetchSources, f versionFetch) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	begin, replies := time.Now(), make(chan fetchResult, maxOverlapping)
	last := fetchResult{err: errNoReply}
	for number, inFlight := 1, 0; ; number++ {
		if inFlight < maxOverlapping {
			inFlight++
			vm := vms.next()
			go func() { replies <- g.requestVersion(ctx, vm, number, f) }()
		}
		select {
		case last = <-replies:
			inFlight--
			err := g.applyReply(vms, f, last, time.Since(begin))
			if err == nil {
				return nil
			}
			last.err = err
		case <-time.After(overlapDelay):
		case <-ctx.Done():
			return fmt.Errorf("last source %s: %w", last.attempt.vm, last.err)
		}
		if f.obtained(time.Since(begin)) {
			return nil
		}
		if !pause.For(ctx, time.Duration(rand.Int64N(int64(2*fetchPause)))) {
			return fmt.Errorf("last source %s: %w", last.attempt.vm, last.err)
		}
	}
}

var errNoReply = errors.New("no reply")

// fetchResult is the result of a request for a newer version of a value.
type fetchResult struct {
	attempt fetchAttempt
	reply   *FetchReply
	err     error
}

// applyReply applies the value of a reply, and adds the other sources that it names.
func (g *Gateway) applyReply(vms *fetchSources, f versionFetch, r fetchResult, since time.Duration) error {
	err := r.err
	if err == nil {
		vms.add(r.reply.Holders...)
		err = errBusy
		if !r.reply.Busy {
			err = f.apply(r.attempt.vm, r.reply)
		}
	}
	r.attempt.since = since
	g.logAttempt(r.attempt, err)
	return err
}

// fetchAttempt is a request for a newer version of a value, for its log line.
type fetchAttempt struct {
	method, vm    string
	number, bytes int
	// took is the time of this attempt, since that from the start of the first one.
	took, since time.Duration
}

// maxAttemptLines bounds the log lines on attempts to fetch a value, per second.
const maxAttemptLines = 20

// logAttempt logs an attempt that failed, or that transferred a whole value.
func (g *Gateway) logAttempt(a fetchAttempt, err error) {
	if err == nil && a.bytes == 0 || !g.attemptLog.Allow() {
		return
	}
	g.log.Info().Str("step", "fetch").Str("what", a.method).Str("peer", a.vm).Int("attempt", a.number).Int("bytes", a.bytes).
		Dur("took", a.took).Dur("since", a.since).Err(err).Msg("attempt to fetch a version")
}

func (g *Gateway) requestVersion(ctx context.Context, vm string, number int, f versionFetch) fetchResult {
	sent, reply := time.Now(), new(FetchReply)
	err := g.mesh.Transfer(ctx, vm, f.method, &FetchArgs{Requester: g.self.VM, HaveVersion: f.haveVersion}, reply)
	return fetchResult{attempt: fetchAttempt{method: f.method, vm: vm, number: number, bytes: len(reply.Data), took: time.Since(sent)}, reply: reply, err: err}
}

// fetchConfig fetches a later configuration from the VMs that have it, or else from the store.
func (g *Gateway) fetchConfig(ctx context.Context, vms *fetchSources) error {
	have := g.state.view.Load().ConfigVersion()
	return g.fetchVersion(ctx, vms, versionFetch{
		method: "View.ConfigVersion", haveVersion: have, apply: g.applyFetchedConfig,
		obtained: func(since time.Duration) bool {
			return g.state.view.Load().ConfigVersion() > have || since > storeFallbackDelay && g.readConfig(ctx, have)
		},
	})
}

func (g *Gateway) applyFetchedConfig(vm string, r *FetchReply) error {
	var c route.Config
	if err := packed.Decode(r.Data, &c); err != nil {
		return err
	}
	g.state.setConfig(&c, vm)
	g.reportReady()
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
		g.log.Warn().Str("step", "fetch").Str("what", "config").Err(err).Msg("could not read configuration from the store")
		return false
	}
	g.applyConfig(o)
	return g.state.view.Load().ConfigVersion() > have
}

// fetchTargets fetches the changes to the list of targets, or the whole list.
func (g *Gateway) fetchTargets(ctx context.Context, vms *fetchSources, whole bool) error {
	have := uint64(0)
	if g.listed.Load() && !whole {
		have = g.state.view.Load().Targets.Revision
	}
	return g.fetchVersion(ctx, vms, versionFetch{
		method: "View.TargetsSince", haveVersion: have, apply: g.applyFetchedTargets,
		obtained: func(time.Duration) bool { return !whole && g.state.view.Load().Targets.Revision > have },
	})
}

// applyFetchedTargets applies the changes to the list of targets, or the whole list.
func (g *Gateway) applyFetchedTargets(vm string, r *FetchReply) error {
	if r.Changes != nil {
		g.state.updateTargets(vm, func(m *catalog.TargetSet, now time.Duration) { m.Apply(*r.Changes, now) })
	} else {
		var t catalog.Targets
		if err := packed.Decode(r.Data, &t); err != nil {
			return err
		}
		g.state.updateTargets(vm, func(m *catalog.TargetSet, now time.Duration) { m.Replace(t, now) })
	}
	g.listed.Store(true)
	g.reportReady()
	return nil
}

func (g *Gateway) fetchRouting(ctx context.Context, vms *fetchSources, service string) error {
	vm := vms.next()
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
