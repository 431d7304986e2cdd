// Package leasing does the work of granting keys for the VM that it runs on: it is the
// grantor of some keyed services and ready to become that of the others.
//
// It starts goroutines, sends orders to targets, writes the records of leases to the store
// and notifies the other VMs. What it decides stands where none of that is done: in
// internal/lease, the state machine of the grants, and in internal/decide. Nothing on the
// path of a request is here; that path reads what internal/gateway/published holds.
package leasing

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/gateway/published"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/upstream"
)

// Deps are what the grantor needs of its VM.
type Deps struct {
	Self     mesh.Member
	Clock    boottime.Clock
	Log      *log.Logger
	Registry metrics.Registry
	// HoldMost bounds the hold of a lease, as targets take it.
	HoldMost time.Duration

	Store Store
	// StoreTimeout bounds a call to the store, StorePause follows a failed one.
	StoreTimeout, StorePause time.Duration

	Mesh            Mesh
	Leases          *published.Leases
	LocalState      LocalState
	TargetDirectory TargetDirectory
	Orders          Orders
	// TargetIDHeader names the target that is meant, InstanceIDHeader the one that
	// answers.
	TargetIDHeader, InstanceIDHeader string
}

// Store is the part of the platform's store that the grantor uses.
type Store interface {
	platform.ReadWriter
	ListKind(ctx context.Context, kind model.Kind) (platform.Listing, error)
}

// Mesh is the part of the mesh of VMs that the grantor uses.
type Mesh interface {
	// IsLive reports whether a VM lives in this incarnation.
	IsLive(vm string, incarnation uint64) bool
	// LastHeard returns when a VM was last heard of in this incarnation; false if it is not
	// known.
	LastHeard(vm string, incarnation uint64) (at time.Duration, known bool)
	// ReachesStoreByAnyPath reports whether the store answers a VM, directly or through
	// another VM.
	ReachesStoreByAnyPath(vm string) bool
	// StoreRelays returns the VMs through which the store can be called.
	StoreRelays() []mesh.Member
	// Monitor has this VM monitor the one that has a duty closely; an empty name ends it.
	Monitor(duty, vm string)
	// Period is the time between two heartbeats of a pair of VMs.
	Period() time.Duration
	// Replaced reports whether the process of a VM has ended for sure.
	Replaced(vm, addr string, incarnation uint64) bool
	// Size is how many VMs live, with this one.
	Size() int
	// NonLeavingPeers is how many other VMs live and were not asked to end.
	NonLeavingPeers() int
	// Others returns the other VMs that live.
	Others() []string
	// Call calls another VM.
	Call(ctx context.Context, vm, method string, args, reply any) error
}

// LocalState is how this VM stands.
type LocalState interface {
	// StoreUp reports whether the store answered last.
	StoreUp() bool
	// Listed reports whether the targets are known.
	Listed() bool
	// Leaving reports whether the VM's process was asked to end.
	Leaving() bool
	// StoreReachable reports whether the store answered last, directly or through
	// another VM.
	StoreReachable() bool
	// EndsIn returns when the VM's process, which was asked to end, ends at the latest.
	EndsIn() time.Duration
	// Place returns the VM's place, from 0, in the succession of a service's grantor. One
	// that leaves has a place among those that leave.
	Place(service string) int
	// Tag returns a name for a write that no other write has.
	Tag() string
}

// TargetDirectory is what this VM believes of targets and services.
type TargetDirectory interface {
	// View returns the routes and targets.
	View() *catalog.View
	// ReadTarget reads a target's entry; false if it names no target to use.
	ReadTarget(o platform.Object) (catalog.Target, bool)
	// Slots is how many requests a target runs at a time; 0 if it is not known.
	Slots(target string) int
	// UsualTime is what a request to a service takes; false if it was not measured.
	UsualTime(service string) (time.Duration, bool)
	// WarmupCost is how many usual requests one for a cold key is worth.
	WarmupCost(service string) float64
	// TakeKeyLoad returns what this VM has seen of a service's keys, and starts anew.
	TakeKeyLoad(service string) KeyLoad
}

// Orders translate orders for the platform's targets.
type Orders interface {
	// TargetKind is the kind of the targets' entries.
	TargetKind() model.Kind
	// Order renders an order on leases.
	Order(o lease.Order) (*upstream.Request, error)
	// OrderResult reads the answer to an order.
	OrderResult(a *upstream.Answer) (result lease.Result, handover string, err error)
}

// Manager manages the leases of all keyed services for this VM: as their grantor, or as a
// candidate to succeed it.
type Manager struct {
	Deps
	// ctx ends with the process: updates to other VMs outlast their grantor.
	ctx context.Context

	// startedAt is when this process began.
	startedAt time.Duration
	// leading counts the services whose grantor this VM is.
	leading atomic.Int32
	// unfitUntil is until when this VM is no grantor.
	unfitUntil atomic.Int64
}

// New returns a manager that does nothing yet. The context ends with the process.
func New(ctx context.Context, d Deps) *Manager {
	return &Manager{Deps: d, ctx: ctx, startedAt: d.Clock.Now()}
}

// Leading returns the number of services whose grantor this VM is.
func (m *Manager) Leading() int { return int(m.leading.Load()) }

// Run runs a candidate for each keyed service of the configuration until the context ends.
func (m *Manager) Run(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	for pause.For(ctx, candidateStep) {
		keyed := m.keyedServices()
		for name := range keyed {
			if running[name] == nil {
				serviceCtx, cancel := context.WithCancel(ctx)
				running[name] = cancel
				go (&candidate{Manager: m, service: name}).run(serviceCtx)
			}
		}
		for name, cancel := range running {
			if !keyed[name] {
				cancel()
				delete(running, name)
			}
		}
	}
}

func (m *Manager) keyedServices() map[string]bool {
	out := make(map[string]bool)
	if t := m.TargetDirectory.View().Routes; t != nil {
		for name, s := range t.Config().Services {
			if s.Keyed {
				out[name] = true
			}
		}
	}
	return out
}

// AwaitSuccessors waits until this VM is no grantor any more, or until the process must end.
// It stays the grantor until another VM can take over, which takes the store.
func (m *Manager) AwaitSuccessors(ctx context.Context) {
	for m.leading.Load() > 0 && pause.For(ctx, leadStep) {
	}
}
