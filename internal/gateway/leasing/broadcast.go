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
	// pushTimeout limits an update of another VM's leases.
	pushTimeout = 300 * time.Millisecond
	// pushLinkShare is the share of the link's capacity within pushTimeout that the updates in flight
	// may use. Renewals and requests use the same link.
	pushLinkShare = 0.5
	// typicalDeltaBytes is the usual size of an update that holds only changes.
	typicalDeltaBytes = 256
)

// ErrMalformed is returned for leases from another VM that are incomplete or inconsistent.
var ErrMalformed = errors.New("malformed leases: the lists are incomplete or inconsistent")

// pushFunc sends an update to a VM and reports whether the VM could apply it.
type pushFunc func(ctx context.Context, vm string, u *lease.Update) (used bool, err error)

// leaseBroadcaster replicates a service's leases from the grantor to the other VMs. Each VM has at most
// one update in flight, from the version that it last confirmed to the latest one, so a slow link
// carries fewer updates instead of a queue of them. The total size of the updates in flight is limited
// by what the grantor's link carries within their timeout.
type leaseBroadcaster struct {
	push     pushFunc
	log      *log.Logger
	inFlight *semaphore.Weighted
	// maxBytes is the capacity of inFlight.
	maxBytes int64

	mu     sync.Mutex
	latest *lease.Routing
	// assumed is the version that a VM is assumed to have until an update shows otherwise: the last
	// one of the predecessor, or nil for none.
	assumed *lease.Routing
	peers   map[string]*peerProgress
}

// peerProgress is the state of the updates to one VM.
type peerProgress struct {
	// known is the version that the VM has, or nil if it needs a full update.
	known *lease.Routing
	// updating reports whether a goroutine sends updates to the VM.
	updating bool
	// failing reports whether the last update failed.
	failing bool
}

// newLeaseBroadcaster returns a broadcaster for a link of the given capacity. The other VMs are taken
// to have the version assumed, unless it is nil.
func newLeaseBroadcaster(push pushFunc, logger *log.Logger, bytesPerSecond float64, assumed *lease.Routing) *leaseBroadcaster {
	maxBytes := int64(pushLinkShare * bytesPerSecond * pushTimeout.Seconds())
	return &leaseBroadcaster{
		push: push, log: logger, inFlight: semaphore.NewWeighted(maxBytes), maxBytes: maxBytes,
		assumed: assumed, peers: make(map[string]*peerProgress),
	}
}

// Publish updates the VMs to a new version.
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

// runUpdates sends updates to one VM until it has the latest version or an update fails. A VM that an
// update did not reach learns from the heartbeats that it is behind.
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

// sendUpdate sends the changes from the VM's version to the latest one, which may be newer than when
// the update began to wait for the link.
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

// updateSize estimates the size of an update in bytes.
func updateSize(known, latest *lease.Routing) int64 {
	if known == nil {
		return int64(latest.WireSize())
	}
	return typicalDeltaBytes
}

// progress returns the version that a VM has and the latest one.
func (b *leaseBroadcaster) progress(p *peerProgress) (known, latest *lease.Routing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.known, b.latest
}

// finishIfCurrent reports whether a VM has the latest version. If so, its updates end.
func (b *leaseBroadcaster) finishIfCurrent(p *peerProgress) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.updating = p.known != b.latest
	return !p.updating
}

// recordReply records the reply to an update. A VM that could not apply it gets a full one next.
func (b *leaseBroadcaster) recordReply(p *peerProgress, r *lease.Routing, used bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.known, p.failing = nil, false
	if used {
		p.known = r
	}
}

// endAfterError ends the updates to a VM after an error. It delays the end after a timeout, when the
// link may be full, and after a second error in a row, when the process may be gone. After a timeout
// the VM probably still has the version that the update was based on.
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

// recordFailure records a failed update. It returns the version that the VM had and whether the update
// before failed as well.
func (b *leaseBroadcaster) recordFailure(p *peerProgress) (known *lease.Routing, again bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, again = p.known, p.failing
	p.failing = true
	return known, again
}

// endUpdates ends the updates to a VM, which is taken to have the version known.
func (b *leaseBroadcaster) endUpdates(p *peerProgress, known *lease.Routing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.known, p.updating = known, false
}

// pushLeases sends an update of leases to a VM.
func (m *Manager) pushLeases(ctx context.Context, vm string, u *lease.Update) (bool, error) {
	var used bool
	err := m.Mesh.Call(ctx, vm, "View.Push", u, &used)
	return used, err
}
