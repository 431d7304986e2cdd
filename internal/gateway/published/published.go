// Package published holds the leases of keyed services as their grantors have published
// them: of each service the latest version that this VM knows. It starts no goroutine and
// uses neither network nor store.
package published

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
)

// Leases are the leases of all keyed services. They are safe for concurrent use.
type Leases struct {
	clock    boottime.Clock
	registry metrics.Registry
	// onChange is called after a change, without a lock of this package.
	onChange func()

	mu      sync.Mutex
	routing map[string]*lease.Routing
	// changedAt is when the routing of a service last changed.
	changedAt map[string]time.Duration
	// stale holds the versions of routing that were found behind.
	stale map[string]staleVersion
}

// New returns leases of which nothing is known. changed is called after each change.
func New(clock boottime.Clock, registry metrics.Registry, onChange func()) *Leases {
	return &Leases{
		clock: clock, registry: registry, onChange: onChange,
		routing: make(map[string]*lease.Routing), changedAt: make(map[string]time.Duration), stale: make(map[string]staleVersion),
	}
}

// Set applies a newer routing of a service's keys.
func (l *Leases) Set(r *lease.Routing) {
	if l.replace(r) {
		l.onChange()
	}
}

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

// registerAgeGauge shows how long ago a service's leases last changed, milliseconds.
func (l *Leases) registerAgeGauge(service string) {
	l.registry.GetOrRegister("leases."+service+".age", metrics.NewFunctionalGauge(func() int64 {
		return (l.clock.Now() - l.ChangedAt(service)).Milliseconds()
	}))
}

// Update applies changes of a service's routing; false if they build on another
// version.
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

// StaleFor returns for how long this VM has known that another version is later than
// the one it has.
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

// staleVersion is the version that this VM had when it first heard of a later one.
type staleVersion struct {
	epoch, seq uint64
	since      time.Duration
}

// Get returns what is known of a service's leases, or nil.
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

// ChangedAt returns when what is known of a service's leases last changed, on the clock.
func (l *Leases) ChangedAt(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changedAt[service]
}

// Grantors returns the VMs that are grantors of a service.
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
func (l *Leases) Versions() []mesh.LeaseMark {
	var out []mesh.LeaseMark
	for _, r := range l.All() {
		out = append(out, mesh.LeaseMark{Service: r.Service, Epoch: r.Epoch, Seq: r.Seq})
	}
	return out
}
