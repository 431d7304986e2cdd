// Package leasing manages the leases of keyed services on its VM: the VM is the grantor of some
// services and a candidate to succeed the grantors of the others.
//
// The package runs goroutines, sends orders to targets, writes lease records to the store and
// notifies the other VMs. The decisions are made by packages that do none of this: internal/lease,
// the state machine of the grants, and internal/decide. The request path does not call this
// package; it reads the leases from internal/gateway/published.
package leasing

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/answers"
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

// Deps are the dependencies of a Manager.
type Deps struct {
	Self     mesh.Member
	Clock    boottime.Clock
	Log      *log.Logger
	Registry metrics.Registry
	// TargetSource is the local address of connections to targets, if it is set.
	TargetSource netip.Addr
	// AnswerMemory bounds the memory of all answers of targets. It may be nil.
	AnswerMemory *upstream.Memory
	// BrokenAnswers records the broken answers of targets to orders. It may be nil.
	BrokenAnswers *answers.Log
	// MaxHold limits the hold of a lease to what targets accept.
	MaxHold time.Duration

	// Spread bounds how keys are spread over the targets of a service.
	Spread Spread

	Store Store
	// StoreTimeout limits a call to the store. StoreRetryDelay is the delay after a failed call.
	StoreTimeout, StoreRetryDelay time.Duration

	Mesh            Mesh
	Reach           Reach
	Leases          *published.Leases
	LocalState      LocalState
	TargetDirectory TargetDirectory
	OrderCodec      OrderCodec
	// TargetIDHeader names the target that a request is meant for, InstanceIDHeader the one that
	// answers.
	TargetIDHeader, InstanceIDHeader string
}

// Store is the part of the platform's store that a Manager uses.
type Store interface {
	platform.ReadWriter
	ListKind(ctx context.Context, kind model.Kind) (platform.Listing, error)
}

// Mesh is the part of the mesh of VMs that a Manager uses.
type Mesh interface {
	// IsLive reports whether the given incarnation of a VM is alive.
	IsLive(vm string, incarnation uint64) bool
	// LastHeard returns when the given incarnation of a VM was last heard from. known is false if
	// that is not known.
	LastHeard(vm string, incarnation uint64) (at time.Duration, known bool)
	// ReachesStoreByAnyPath reports whether a VM reaches the store, directly or through another
	// VM.
	ReachesStoreByAnyPath(vm string) bool
	// StoreRelays returns the VMs through which the store can be called.
	StoreRelays() []mesh.Member
	// Monitor makes this VM closely monitor the VM that has a duty. An empty name ends the
	// monitoring.
	Monitor(duty, vm string)
	// Period is the interval between two heartbeats of a pair of VMs.
	Period() time.Duration
	// ConfirmEnded reports whether the process of a VM that was known before the call has certainly ended. It may ask the VM.
	ConfirmEnded(ctx context.Context, vm, addr string, incarnation uint64) bool
	// Size is the number of live VMs, including this one.
	Size() int
	// NonLeavingPeers is the number of other live VMs that were not asked to end.
	NonLeavingPeers() int
	// AllKnowStandbys reports whether no VM that was heard of is of a version that ignores the standbys in records.
	AllKnowStandbys() bool
	// Others returns the other live VMs.
	Others() []string
	// Call calls a method of another VM.
	Call(ctx context.Context, vm, method string, args, reply any) error
}

// LocalState is the state of this VM.
type LocalState interface {
	// StoreUp reports whether the last direct call to the store was answered.
	StoreUp() bool
	// TargetsListed reports whether the list of targets is known.
	TargetsListed() bool
	// Leaving reports whether this VM's process was asked to end.
	Leaving() bool
	// StoreReachable reports whether the store can be reached, directly or through another VM.
	StoreReachable() bool
	// TimeUntilExit returns the longest time until this VM's process, which was asked to end,
	// exits.
	TimeUntilExit() time.Duration
	// SuccessionRank returns this VM's rank, from 0, in the order of succession of a service's
	// grantor. A leaving VM is ranked among the leaving VMs.
	SuccessionRank(service string) int
	// ReachesOwners reports whether this VM reaches enough targets of a service to be its grantor.
	ReachesOwners(service string) bool
	// WriteID returns an identifier that no other write has.
	WriteID() string
}

// TargetDirectory is what this VM knows about targets and services.
type TargetDirectory interface {
	// View returns the routes and targets.
	View() *catalog.View
	// ReadTarget parses a target's entry. It returns false if the entry names no usable target.
	ReadTarget(o platform.Object) (catalog.Target, bool)
	// Warming reports whether a target is cold.
	Warming(target string) bool
	// Limit is the number of requests per second that a target takes from all VMs, if it states a limit.
	Limit(target string) (perSecond float64, limited bool)
	// Refusing reports whether a target refuses the requests of several VMs.
	Refusing(target string) bool
	// RecordAnswer records what a target says of itself in the answer to an order.
	RecordAnswer(o lease.Owner, resp *upstream.Answer)
	// Slots is the number of requests that a target runs at a time, or 0 if it is not known.
	Slots(target string) int
	// MeanServiceTime is the mean duration of a request to a service. It returns false if none was
	// measured.
	MeanServiceTime(service string) (time.Duration, bool)
	// WarmupCost is the number of usual requests that cost as much as one for a cold key.
	WarmupCost(service string) float64
	// TakeKeyLoad returns the load of a service's keys that this VM has counted since the last
	// call.
	TakeKeyLoad(service string) KeyLoad
}

// OrderCodec encodes orders for the platform's targets and decodes their answers.
type OrderCodec interface {
	// TargetKind is the kind of the targets' entries.
	TargetKind() model.Kind
	// Order encodes an order.
	Order(o lease.Order) (*upstream.Request, error)
	// OrderResult decodes the answer to an order.
	OrderResult(a *upstream.Answer) (result lease.Result, handover string, err error)
}

// Manager manages the leases of all keyed services on this VM, as their grantor or as a candidate to
// succeed it.
type Manager struct {
	Deps
	// ctx ends with the process: updates to other VMs may outlast the leader that sent them.
	ctx context.Context

	// startedAt is when this process started.
	startedAt time.Duration
	// ledServices is the number of services whose grantor this VM is.
	ledServices atomic.Int32
	// demotedUntil is until when this VM ranks last in the succession, because it has resigned.
	demotedUntil atomic.Int64
}

// New returns a Manager that is not running yet. The context ends with the process.
func New(ctx context.Context, d Deps) *Manager {
	d.Spread = d.Spread.orDefault()
	return &Manager{Deps: d, ctx: ctx, startedAt: d.Clock.Now()}
}

// Leading returns the number of services whose grantor this VM is.
func (m *Manager) Leading() int { return int(m.ledServices.Load()) }

// Run runs a candidate for each keyed service of the configuration until the context ends.
func (m *Manager) Run(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	for pause.For(ctx, candidateTick) {
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

// AwaitSuccessors waits until this VM is no longer a grantor, or until the context ends because the
// process must exit. A grantor resigns only once another VM can take over, which requires the store.
func (m *Manager) AwaitSuccessors(ctx context.Context) {
	for m.ledServices.Load() > 0 && pause.For(ctx, leaderTick) {
	}
}
