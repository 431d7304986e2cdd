package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	// fetchPause is the mean pause before another source is asked.
	fetchPause = 40 * time.Millisecond
	// storeFallback is after how long a configuration that no VM has sent is read from the
	// store: each call to the store is paid for, but a late configuration gives callers
	// wrong answers.
	storeFallback = 600 * time.Millisecond
)

var errBusy = errors.New("link is busy")

// fetch runs one fetch of a kind at a time.
func (n *node) fetch(vm, what string, get func(ctx context.Context, vm string) error) {
	if _, running := n.fetching.LoadOrStore(what, true); running {
		return
	}
	go func() {
		defer n.fetching.Delete(what)
		begin := time.Now()
		err := get(n.ctx, vm)
		if err != nil {
			n.log.Warn().Str("step", "fetch").Str("what", what).Str("peer", vm).Dur("took", time.Since(begin)).Err(err).Msg("not fetched")
		}
	}()
}

// fetchVersion asks one VM after the other, first the given one, until one has sent what
// apply takes. attempt is called before each try; it returns true to end the fetch.
func (n *node) fetchVersion(ctx context.Context, method, first string, have uint64, apply func(vm string, r *VersionReply) error, ended func(since time.Duration) bool) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	from := sources.New(first)
	for begin := time.Now(); ; {
		vm := from.Next(rand.IntN)
		reply, err := n.requestVersion(ctx, vm, method, have)
		if err == nil {
			from.Add(reply.Holders...)
			err = errBusy
			if !reply.Busy {
				err = apply(vm, reply)
			}
		}
		if err == nil || ended(time.Since(begin)) {
			return nil
		}
		if !pause.For(ctx, time.Duration(rand.Int64N(int64(2*fetchPause)))) {
			return fmt.Errorf("from %s at last: %w", vm, err)
		}
	}
}

func (n *node) requestVersion(ctx context.Context, vm, method string, have uint64) (*VersionReply, error) {
	reply := new(VersionReply)
	err := n.mesh.Transfer(ctx, vm, method, &VersionArgs{From: n.self.VM, Have: have}, reply)
	return reply, err
}

// fetchConfig fetches a later configuration from the VMs that have it, or from the store.
func (n *node) fetchConfig(ctx context.Context, vm string) error {
	have := n.state.view.Load().ConfigVersion()
	return n.fetchVersion(ctx, "View.ConfigVersion", vm, have, func(vm string, r *VersionReply) error {
		var c route.Config
		if err := packed.Decode(r.Data, &c); err != nil {
			return err
		}
		n.state.setConfig(&c, vm)
		n.checkReady()
		return nil
	}, func(since time.Duration) bool {
		return n.state.view.Load().ConfigVersion() > have || since > storeFallback && n.readConfig(ctx, have)
	})
}

// readConfig reads the configuration from the store and reports whether it is later than the
// given version.
func (n *node) readConfig(ctx context.Context, have uint64) bool {
	if !n.storeUp.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := n.store.Get(ctx, n.adapter.ConfigID())
	if err != nil {
		n.log.Warn().Str("step", "fetch").Str("what", "config").Err(err).Msg("configuration not read from the store")
		return false
	}
	n.applyConfig(o)
	return n.state.view.Load().ConfigVersion() > have
}

// fetchTargets fetches what changed in the list of targets, or the whole list.
func (n *node) fetchTargets(ctx context.Context, vm string, whole bool) error {
	have := uint64(0)
	if n.listed.Load() && !whole {
		have = n.state.view.Load().Targets.Revision
	}
	return n.fetchVersion(ctx, "View.TargetsSince", vm, have, func(vm string, r *VersionReply) error {
		if err := n.applyTargets(vm, r); err != nil {
			return err
		}
		n.listed.Store(true)
		n.checkReady()
		return nil
	}, func(time.Duration) bool { return false })
}

func (n *node) applyTargets(vm string, r *VersionReply) error {
	if r.Changes != nil {
		n.state.changeTargets(vm, func(m *catalog.Members, now time.Duration) { m.Apply(*r.Changes, now) })
		return nil
	}
	var t catalog.Targets
	if err := packed.Decode(r.Data, &t); err != nil {
		return err
	}
	n.state.changeTargets(vm, func(m *catalog.Members, now time.Duration) { m.Replace(t, now) })
	return nil
}

func (n *node) fetchRouting(ctx context.Context, vm, service string) error {
	var r lease.Routing
	if err := n.mesh.Transfer(ctx, vm, "View.Routing", &service, &r); err != nil {
		return err
	}
	if !r.Valid() {
		return fmt.Errorf("leases of %s from %s: %w", service, vm, leasing.ErrMalformed)
	}
	n.state.leases.Set(&r)
	return nil
}
