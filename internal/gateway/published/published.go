// Package published holds the leases of keyed services as published by their grantors: for each
// service, the latest version that this VM has received. It starts no goroutines and uses neither
// the network nor the store.
package published

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// Leases holds the leases of all keyed services. It is safe for concurrent use.
type Leases struct {
	clock    boottime.Clock
	registry metrics.Registry
	// onChange is called after each change, without holding mu.
	onChange func()

	mu      sync.Mutex
	routing map[string]*lease.Routing
	// changedAt is when the routing of each service last changed.
	changedAt map[string]time.Duration
	// stale is, by service, the version that was last found to be behind another VM's.
	stale map[string]staleVersion
}

// New returns a Leases without any leases. onChange is called after each change.
func New(clock boottime.Clock, registry metrics.Registry, onChange func()) *Leases {
	return &Leases{
		clock: clock, registry: registry, onChange: onChange,
		routing: make(map[string]*lease.Routing), changedAt: make(map[string]time.Duration), stale: make(map[string]staleVersion),
	}
}

// Set replaces the routing of a service by r if r is newer.
func (l *Leases) Set(r *lease.Routing) {
	if l.replace(r) {
		l.onChange()
	}
}

// replace does the work of Set and reports whether r was newer.
func (l *Leases) replace(r *lease.Routing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.routing[r.Service]; old != nil && !r.After(old.Epoch, old.Seq) {
		return false
	}
	if l.routing[r.Service] == nil {
		l.registerAgeGauge(r.Service)
	}
	l.routing[r.Service], l.changedAt[r.Service] = r, l.clock.Now()
	return true
}

// registerAgeGauge registers a gauge of the time since a service's leases last changed, in
// milliseconds.
func (l *Leases) registerAgeGauge(service string) {
	l.registry.GetOrRegister("leases."+service+".age", metrics.NewFunctionalGauge(func() int64 {
		return (l.clock.Now() - l.ChangedAt(service)).Milliseconds()
	}))
}

// Update applies changes to a service's routing. It returns false if they are based on another
// version than the one held, or if the result is not valid.
func (l *Leases) Update(u *lease.Update) bool {
	old := l.Get(u.Routing.Service)
	if old != nil && !u.Routing.After(old.Epoch, old.Seq) {
		return true
	}
	r, ok := u.Apply(old)
	if !ok || !r.Valid() {
		return false
	}
	l.Set(r)
	return true
}

// StaleFor returns for how long this VM has known that there is a later version than have. The
// first call for a version returns 0.
func (l *Leases) StaleFor(have *lease.Routing) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	stale, ok := l.stale[have.Service]
	if !ok || stale.epoch != have.Epoch || stale.seq != have.Seq {
		stale = staleVersion{epoch: have.Epoch, seq: have.Seq, since: now}
		l.stale[have.Service] = stale
	}
	return now - stale.since
}

// staleVersion is the version that this VM had when it first learned of a later one.
type staleVersion struct {
	epoch, seq uint64
	since      time.Duration
}

// Get returns the leases of a service, or nil if none are known.
func (l *Leases) Get(service string) *lease.Routing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.routing[service]
}

// All returns the leases of all services.
func (l *Leases) All() []*lease.Routing {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*lease.Routing
	for _, r := range l.routing {
		out = append(out, r)
	}
	return out
}

// ChangedAt returns when the leases of a service last changed, as a reading of the clock.
func (l *Leases) ChangedAt(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changedAt[service]
}

// Grantors returns the VMs that are the grantor of at least one service.
func (l *Leases) Grantors() map[string]bool {
	out := make(map[string]bool)
	for _, r := range l.All() {
		if r.Holder != "" {
			out[r.Holder] = true
		}
	}
	return out
}

// Versions returns the versions of all leases.
func (l *Leases) Versions() []mesh.LeaseVersion {
	var out []mesh.LeaseVersion
	for _, r := range l.All() {
		out = append(out, mesh.LeaseVersion{Service: r.Service, Epoch: r.Epoch, Seq: r.Seq})
	}
	return out
}
