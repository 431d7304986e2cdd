package leasing

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/semaphore"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/pause"
)

const (
	// pushTimeout bounds an update of another VM's leases.
	pushTimeout = 300 * time.Millisecond
	// pushLinkShare is the part of the link that updates in flight may take up within
	// their timeout: renewals and requests share it.
	pushLinkShare = 0.5
	// typicalDeltaBytes is the usual size of an update that holds changes only.
	typicalDeltaBytes = 256
)

// ErrMalformed is the error of leases from another VM that are incomplete or contradict
// themselves.
var ErrMalformed = errors.New("lists do not fit together")

// pushFunc sends an update to a VM and reports whether it could use it.
type pushFunc func(ctx context.Context, vm string, u *lease.Update) (used bool, err error)

// leaseBroadcaster replicates a service's leases from the grantor to the other VMs. Each VM
// has one update in flight at most, from the version that it last confirmed to the latest:
// a slow link gets fewer updates, not a queue of them. The bytes of all updates in flight
// are bounded by what the grantor's link carries within their timeout.
type leaseBroadcaster struct {
	push     pushFunc
	log      *log.Logger
	inFlight *semaphore.Weighted
	// maxBytes is the capacity of inFlight.
	maxBytes int64

	mu     sync.Mutex
	latest *lease.Routing
	// assumed is what a VM is taken to know until an update shows otherwise: the
	// predecessor's last version; nil for nothing.
	assumed *lease.Routing
	peers   map[string]*peerProgress
}

// peerProgress is what one VM has confirmed.
type peerProgress struct {
	known    *lease.Routing
	updating bool
	// failing reports whether the last update failed.
	failing bool
}

// newLeaseBroadcaster returns a broadcaster over a link that carries so many bytes a second. The
// other VMs are assumed to have a version already, unless it is nil.
func newLeaseBroadcaster(push pushFunc, logger *log.Logger, bytesPerSecond float64, assumed *lease.Routing) *leaseBroadcaster {
	maxBytes := int64(pushLinkShare * bytesPerSecond * pushTimeout.Seconds())
	return &leaseBroadcaster{
		push: push, log: logger, inFlight: semaphore.NewWeighted(maxBytes), maxBytes: maxBytes,
		assumed: assumed, peers: make(map[string]*peerProgress),
	}
}

// Publish brings the VMs to this version.
func (b *leaseBroadcaster) Publish(ctx context.Context, r *lease.Routing, vms []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latest = r
	for _, vm := range vms {
		p := b.peers[vm]
		if p == nil {
			p = &peerProgress{known: b.assumed}
			b.peers[vm] = p
		}
		if !p.updating {
			p.updating = true
			go b.runUpdates(ctx, vm, p)
		}
	}
}

// runUpdates brings one VM to the latest version, or until an runUpdates fails. A VM that an runUpdates
// did not reach learns from the heartbeats that it is behind.
func (b *leaseBroadcaster) runUpdates(ctx context.Context, vm string, p *peerProgress) {
	for !b.finishIfCurrent(p) {
		size := min(updateSize(b.progress(p)), b.maxBytes)
		if b.inFlight.Acquire(ctx, size) != nil {
			b.endUpdates(p, nil)
			return
		}
		seq, err := b.sendUpdate(ctx, vm, p)
		b.inFlight.Release(size)
		if err != nil {
			b.log.Info().Str("step", "leases").Str("peer", vm).Uint64("seq", seq).Int64("bytes", size).Err(err).Msg("leases not pushed")
			b.endAfterError(ctx, p, err)
			return
		}
	}
}

// sendUpdate sends the changes from what the VM knows to the latest version, which may be
// another one than before the update waited for its turn.
func (b *leaseBroadcaster) sendUpdate(ctx context.Context, vm string, p *peerProgress) (seq uint64, err error) {
	known, latest := b.progress(p)
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	u := lease.UpdateBetween(known, latest)
	used, err := b.push(ctx, vm, u)
	if err == nil && !used && u.Base == 0 {
		err = ErrMalformed
	}
	if err == nil {
		b.recordReply(p, latest, used)
	}
	return latest.Seq, err
}

// updateSize estimates the bytes of an update.
func updateSize(known, latest *lease.Routing) int64 {
	if known == nil {
		return int64(latest.WireSize())
	}
	return typicalDeltaBytes
}

// progress returns what a VM knows and what it is to know.
func (b *leaseBroadcaster) progress(p *peerProgress) (known, latest *lease.Routing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.known, b.latest
}

// finishIfCurrent reports whether a VM knows the latest version; its updates end then.
func (b *leaseBroadcaster) finishIfCurrent(p *peerProgress) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.updating = p.known != b.latest
	return !p.updating
}

// recordReply notes the reply to an update. A VM that could not use it gets a whole one.
func (b *leaseBroadcaster) recordReply(p *peerProgress, r *lease.Routing, used bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.known, p.failing = nil, false
	if used {
		p.known = r
	}
}

// endAfterError ends the updates of a VM after an error. A link that is full, and a process that
// is gone, get a pause first. After a timeout the VM probably still has the version that the
// update was built on.
func (b *leaseBroadcaster) endAfterError(ctx context.Context, p *peerProgress, err error) {
	timedOut := errors.Is(err, context.DeadlineExceeded)
	known, again := b.recordFailure(p)
	if timedOut || again {
		pause.For(ctx, pushTimeout)
	}
	if !timedOut {
		known = nil
	}
	b.endUpdates(p, known)
}

// recordFailure notes a failed update and returns what the VM knew, and whether the one before
// failed as well.
func (b *leaseBroadcaster) recordFailure(p *peerProgress) (known *lease.Routing, again bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, again = p.known, p.failing
	p.failing = true
	return known, again
}

func (b *leaseBroadcaster) endUpdates(p *peerProgress, known *lease.Routing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.known, p.updating = known, false
}

// pushLeases sends changed leases to a VM.
func (m *Manager) pushLeases(ctx context.Context, vm string, u *lease.Update) (bool, error) {
	var used bool
	err := m.Mesh.Call(ctx, vm, "View.Push", u, &used)
	return used, err
}
