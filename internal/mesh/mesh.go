// Package mesh tracks the VMs of the system by heartbeats: which VMs are live, whether each one
// reaches the store, and how many requests it has in flight at each target.
//
// Each pair of VMs exchanges heartbeats: neighbours several times a second, other pairs at a
// period that grows with the fleet. A heartbeat is small: it carries versions of configuration,
// targets and leases rather than their contents. A VM that sees a newer version fetches it.
package mesh

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/peer"
)

// Periods of the mesh.
const (
	// basePeriod is the time between two exchanges of a pair of VMs in a small
	// fleet. Only one of the two calls; the reply carries the other's heartbeat.
	basePeriod = 150 * time.Millisecond
	// overdueFactor is the number of periods without a heartbeat after which the VM of a pair
	// that normally only answers makes the call itself.
	overdueFactor = 1.6
	// periodPerVM, multiplied by the number of VMs beyond smallFleetSize, is the period in a
	// larger fleet, so that a VM exchanges about 40 heartbeats a second with VMs that are not its
	// neighbours.
	periodPerVM    = 24 * time.Millisecond
	smallFleetSize = 6
	// callTimeout bounds one heartbeat exchange or small call.
	callTimeout = 400 * time.Millisecond
	// transferTimeout bounds a transfer. It suffices for 1 MB over a link of 10 Mbit/s.
	transferTimeout = time.Second
	// failureTimeoutPeriods is the number of periods without a heartbeat after which a VM counts
	// as failed. minFailureTimeout is the lower bound, so that a short pause is not a failure.
	failureTimeoutPeriods = 2.6
	minFailureTimeout     = 750 * time.Millisecond
	// forgetAfter is the time without a heartbeat after which a lost VM is removed and no longer
	// called. If it returns, it calls by itself.
	forgetAfter = time.Minute
	// pauseThreshold is the gap between two checks above which this VM itself counts as paused in
	// between. Then the age of the other VMs' heartbeats says nothing about them.
	pauseThreshold = 500 * time.Millisecond
)

// Local is implemented by the daemon that the mesh runs in.
type Local interface {
	// Heartbeat returns the heartbeat to send.
	Heartbeat() Heartbeat
	// OnHeartbeat is called with each heartbeat of a live VM. sentAt is a time on this VM's clock before which it was
	// not sent, or 0 if none is known. It must not block.
	OnHeartbeat(b Heartbeat, sentAt time.Duration)
}

type remote struct {
	member Member
	client Client
	// transfers carries large messages, which would delay heartbeats on client's
	// connection.
	transfers Client
	lastHeard time.Duration
	heartbeat Heartbeat
	stamp     stamp
	// previous is the last earlier incarnation of the VM that reported crashes, or nil.
	previous *previousIncarnation
	// countedLoads are the VM's loads that are included in Mesh.loads.
	countedLoads  []Load
	cancel        context.CancelFunc
	announcements chan struct{}
	// retries asks for another exchange ahead of its time.
	retries chan struct{}
	// precedes holds whether the VM precedes this one in the order of preference for a duty.
	precedes map[string]bool
	// failing reports whether the last exchange that this VM began failed.
	failing bool
}

// Mesh is this VM's view of the other VMs. It is safe for concurrent use.
type Mesh struct {
	self  Member
	local Local
	clock boottime.Clock
	log   *log.Logger
	// newClient returns a client of the VM at an address.
	newClient func(addr string) Client

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	remotes map[string]*remote
	// monitored holds the closely monitored VM of each duty.
	monitored map[string]string
	// neighbours are the VMs that share targets with this one.
	neighbours map[string]bool
	loads      loadSums
	// detectionResumesAt is the time before which no VM counts as failed, because this VM was
	// paused itself.
	detectionResumesAt time.Duration
	lastCheck          time.Duration
	// failing is the number of VMs with which the last exchange failed. retriedAllAt is when all these exchanges
	// were last retried at once.
	failing      int
	retriedAllAt time.Duration
	// replies bound the replies of other VMs.
	replies peer.ReplyBounds
}

// New returns a mesh that knows only this VM.
func New(self Member, clock boottime.Clock, logger *log.Logger) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{self: self, clock: clock, log: logger, ctx: ctx, cancel: cancel, remotes: make(map[string]*remote), monitored: make(map[string]string), loads: newLoadSums(), lastCheck: clock.Now()}
	m.newClient = func(addr string) Client { return peer.NewClient(addr, 1).Within(m.replies) }
	return m
}

// BoundReplies bounds the replies of other VMs. Call it before heartbeats are exchanged.
func (m *Mesh) BoundReplies(b peer.ReplyBounds) { m.replies = b }

// Start sets the source of this VM's heartbeats and the receiver of the others'. Call it before
// heartbeats are exchanged.
func (m *Mesh) Start(local Local) { m.local = local }

// Close stops all exchanges and waits for their end.
func (m *Mesh) Close() {
	// Cancelling under the lock ensures that Add starts no exchange during Wait.
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.wait.Wait()
}

// Add adds a VM, or replaces a known VM by a new incarnation.
func (m *Mesh) Add(member Member) {
	if member.VM == m.self.VM || member.VM == "" || member.Addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	old := m.remotes[member.VM]
	if old != nil && !m.supersedesLocked(old, member) {
		return
	}
	if old != nil {
		old.cancel()
		m.setFailingLocked(old, false)
		m.loads.replace(old, nil)
	}
	ctx, cancel := context.WithCancel(m.ctx)
	r := &remote{member: member, client: m.newClient(member.Addr), transfers: m.newClient(member.Addr), lastHeard: m.clock.Now(), cancel: cancel, announcements: make(chan struct{}, 1), retries: make(chan struct{}, 1)}
	if old != nil {
		r.previous = old.asPrevious()
	}
	m.remotes[member.VM] = r
	m.log.Info().Str("step", "mesh").Str("peer", member.VM).Str("addr", member.Addr).Uint64("incarnation", member.Incarnation).Msg("peer added")
	m.wait.Add(1)
	go m.exchange(ctx, r)
}

// supersedesLocked reports whether member is a later incarnation than the known one. The caller
// holds m.mu.
//
// If the VM's wall clock stepped back, the later incarnation has the lower number. So any other
// incarnation is accepted once the known one has exceeded the failure timeout.
func (m *Mesh) supersedesLocked(old *remote, member Member) bool {
	if member.Incarnation == old.member.Incarnation {
		return false
	}
	return member.Incarnation > old.member.Incarnation || m.clock.Now()-old.lastHeard > m.failureTimeoutLocked()
}

// Live returns the live VMs that are not leaving, this one included, sorted by name.
func (m *Mesh) Live() []Member {
	out := m.liveUnsorted()
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// liveUnsorted is Live without the sorting.
func (m *Mesh) liveUnsorted() []Member { return append(m.liveOthers(false), m.self) }

// liveOthers returns the other live VMs that are leaving, or those that are not.
func (m *Mesh) liveOthers(leaving bool) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	out := make([]Member, 0, len(m.remotes)+1)
	for _, r := range m.remotes {
		if m.liveLocked(r, now) && r.heartbeat.Leaving == leaving {
			out = append(out, r.member)
		}
	}
	return out
}

// IsLive reports whether this incarnation of a VM is live. A leaving VM counts as live, since it
// keeps its duties until it reports their end.
func (m *Mesh) IsLive(vm string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm == m.self.VM {
		return incarnation == m.self.Incarnation
	}
	r := m.remotes[vm]
	return r != nil && r.member.Incarnation == incarnation && m.liveLocked(r, m.clock.Now())
}

// MayServe reports whether a VM is live and not leaving. This VM always is live.
func (m *Mesh) MayServe(vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm == m.self.VM {
		return true
	}
	r := m.remotes[vm]
	return r != nil && !r.heartbeat.Leaving && m.liveLocked(r, m.clock.Now())
}

// LastHeard returns when the last heartbeat of this incarnation of a VM arrived, or the incarnation
// was added if none has arrived yet, on the mesh's clock. It returns false if the incarnation is
// not known.
func (m *Mesh) LastHeard(vm string, incarnation uint64) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remotes[vm]
	if r == nil || r.member.Incarnation != incarnation {
		return 0, false
	}
	return r.lastHeard, true
}

// HeardWithin returns how many of the other known VMs were heard within the last span of time, and their number.
func (m *Mesh) HeardWithin(span time.Duration) (heard, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, r := range m.remotes {
		if r.heartbeat.From.VM != "" && now-r.lastHeard < span {
			heard++
		}
	}
	return heard, len(m.remotes)
}

// liveLocked reports whether a heartbeat arrived within the failure timeout. The caller holds
// m.mu.
//
// After a pause of this VM the heartbeats of all others are old. None counts as failed until it
// has had time to call again.
func (m *Mesh) liveLocked(r *remote, now time.Duration) bool {
	m.checkPauseLocked(now)
	return now < m.detectionResumesAt || now-r.lastHeard < m.failureTimeoutOfLocked(r, now)
}

// checkPauseLocked suspends failure detection if this VM was paused since the last check.
func (m *Mesh) checkPauseLocked(now time.Duration) {
	if now-m.lastCheck > pauseThreshold {
		m.detectionResumesAt = now + m.failureTimeoutLocked()
	}
	m.lastCheck = now
}

// Announce sends a brief heartbeat to all VMs without waiting for the period, to tell them that
// this VM has a newer version of something.
func (m *Mesh) Announce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.remotes {
		select {
		case r.announcements <- struct{}{}:
		default:
		}
	}
}

// Size returns the number of known VMs, including lost ones and this one.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.remotes) + 1
}

// Others returns the names of all other live VMs, including leaving ones.
func (m *Mesh) Others() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var out []string
	for vm, r := range m.remotes {
		if m.liveLocked(r, now) {
			out = append(out, vm)
		}
	}
	return out
}

// Members returns this VM and all known VMs, including lost ones.
func (m *Mesh) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Member{m.self}
	for r := range maps.Values(m.remotes) {
		out = append(out, r.member)
	}
	return out
}

// Heartbeat receives the caller's heartbeat and replies with this VM's, brief if the caller's is.
func (s Service) Heartbeat(in *Heartbeat, out *Heartbeat) error {
	s.Mesh.receive(*in)
	*out = s.Mesh.buildHeartbeat(in.From)
	if in.Brief {
		*out = out.brief()
	}
	return nil
}

// Join makes this VM known to the VM at addr and returns all VMs that it knows.
func (m *Mesh) Join(ctx context.Context, addr string) ([]Member, error) {
	self := m.self
	client := peer.NewClient(addr, 1).Within(m.replies)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []Member
	if err := client.Call(ctx, "Mesh.Join", &self, &out); err != nil {
		return nil, err
	}
	return out, nil
}
