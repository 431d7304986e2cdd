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
	// changed is called after a change, without a lock of this package.
	changed func()

	mu      sync.Mutex
	routing map[string]*lease.Routing
	// routedAt is when the routing of a service last changed.
	routedAt map[string]time.Duration
	// stale holds the versions of routing that were found behind.
	stale map[string]staleSince
}

// New returns leases of which nothing is known. changed is called after each change.
func New(clock boottime.Clock, registry metrics.Registry, changed func()) *Leases {
	return &Leases{
		clock: clock, registry: registry, changed: changed,
		routing: make(map[string]*lease.Routing), routedAt: make(map[string]time.Duration), stale: make(map[string]staleSince),
	}
}

// Set applies a newer routing of a service's keys.
func (l *Leases) Set(r *lease.Routing) {
	if l.set(r) {
		l.changed()
	}
}

func (l *Leases) set(r *lease.Routing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.routing[r.Service]; old != nil && !r.After(old.Epoch, old.Seq) {
		return false
	}
	if l.routing[r.Service] == nil {
		l.gauge(r.Service)
	}
	l.routing[r.Service], l.routedAt[r.Service] = r, l.clock.Now()
	return true
}

// gauge shows how long ago a service's leases last changed, milliseconds.
func (l *Leases) gauge(service string) {
	l.registry.GetOrRegister("leases."+service+".age", metrics.NewFunctionalGauge(func() int64 {
		return (l.clock.Now() - l.RoutedAt(service)).Milliseconds()
	}))
}

// Update applies changes of a service's routing; false if they build on another
// version.
func (l *Leases) Update(u *lease.Update) bool {
	old := l.Of(u.Routing.Service)
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
	since, ok := l.stale[have.Service]
	if !ok || since.epoch != have.Epoch || since.seq != have.Seq {
		since = staleSince{epoch: have.Epoch, seq: have.Seq, at: now}
		l.stale[have.Service] = since
	}
	return now - since.at
}

// staleSince is the version that this VM had when it first heard of a later one.
type staleSince struct {
	epoch, seq uint64
	at         time.Duration
}

// Of returns what is known of a service's leases, or nil.
func (l *Leases) Of(service string) *lease.Routing {
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

// RoutedAt returns when what is known of a service's leases last changed, on the clock.
func (l *Leases) RoutedAt(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.routedAt[service]
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

// Marks returns the versions of all leases.
func (l *Leases) Marks() []mesh.LeaseVersion {
	var out []mesh.LeaseVersion
	for _, r := range l.All() {
		out = append(out, mesh.LeaseVersion{Service: r.Service, Epoch: r.Epoch, Seq: r.Seq})
	}
	return out
}
