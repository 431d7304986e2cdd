// Package mesh joins the VMs of the system: which ones live, what each one believes of
// the store, and what it has running at the targets.
//
// Each VM exchanges heartbeats with each other one, with its neighbours several times a second
// and with the rest the more rarely the larger the fleet is. A heartbeat is small and holds only
// versions; a VM that sees a newer one fetches it.
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
	// fleet. One of the two calls; the reply carries as much as the call.
	basePeriod = 150 * time.Millisecond
	// overdueFactor is after how many periods without a heartbeat the other one calls.
	overdueFactor = 1.6
	// periodPerVM makes the period grow with the fleet beyond smallFleet, so that a VM
	// exchanges about 40 heartbeats a second with VMs that are no neighbours.
	periodPerVM    = 24 * time.Millisecond
	smallFleetSize = 6
	// callTimeout bounds one exchange.
	callTimeout = 400 * time.Millisecond
	// transferTimeout bounds a transfer: a megabyte over a link of 10 Mbit/s.
	transferTimeout = time.Second
	// failureTimeoutPeriods is after how many periods without a heartbeat a VM counts as
	// failed; silentLeast is the least, since a short pause is no failure.
	failureTimeoutPeriods = 2.6
	minFailureTimeout     = 750 * time.Millisecond
	// forgetAfter is when a lost VM is not called any more. One that returns
	// calls by itself.
	forgetAfter = time.Minute
	// pauseThreshold is a gap between two steps of our own from which we were
	// paused and know nothing of the others.
	pauseThreshold = 500 * time.Millisecond
)

// Local is what the mesh asks of its VM.
type Local interface {
	// Heartbeat returns the state to send.
	Heartbeat() Heartbeat
	// OnHeartbeat is called with each heartbeat of a live VM. It must not block.
	OnHeartbeat(Heartbeat)
}

type remote struct {
	member Member
	client *peer.Client
	// transfers carries large messages, which would delay heartbeats on client's
	// connection.
	transfers *peer.Client
	lastHeard time.Duration
	heartbeat Heartbeat
	// previous is an earlier life of the VM that reported crashes, or nil.
	previous *previousIncarnation
	// countedLoads are the loads of the heartbeat that are in the sums.
	countedLoads  []Load
	cancel        context.CancelFunc
	announcements chan struct{}
}

// Mesh is the VM's view of the others. It is safe for concurrent use.
type Mesh struct {
	self  Member
	local Local
	clock boottime.Clock
	log   *log.Logger

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	remotes map[string]*remote
	// monitored holds the VMs that are monitored closely, by duty.
	monitored map[string]string
	// neighbours are the VMs that use some of the same targets as this one.
	neighbours map[string]bool
	loads      loadSums
	// detectionResumesAt is until when no VM counts as failed: this one was paused
	// itself.
	detectionResumesAt time.Duration
	lastCheck          time.Duration
}

// New returns a mesh that knows nobody.
func New(self Member, clock boottime.Clock, logger *log.Logger) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{self: self, clock: clock, log: logger, ctx: ctx, cancel: cancel, remotes: make(map[string]*remote), monitored: make(map[string]string), loads: newLoadSums(), lastCheck: clock.Now()}
}

// Start begins to answer with local's state.
func (m *Mesh) Start(local Local) { m.local = local }

// Close ends all exchanges.
func (m *Mesh) Close() {
	// No exchange may begin while the others are awaited.
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.wait.Wait()
}

// Add adds a VM, or a new life of one.
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
		m.loads.replace(old, nil)
	}
	ctx, cancel := context.WithCancel(m.ctx)
	r := &remote{member: member, client: peer.NewClient(member.Addr, 1), transfers: peer.NewClient(member.Addr, 1), lastHeard: m.clock.Now(), cancel: cancel, announcements: make(chan struct{}, 1)}
	if old != nil {
		r.previous = old.asPrevious()
	}
	m.remotes[member.VM] = r
	m.log.Info().Str("step", "mesh").Str("peer", member.VM).Str("addr", member.Addr).Uint64("incarnation", member.Incarnation).Msg("peer known")
	m.wait.Add(1)
	go m.exchange(ctx, r)
}

// supersedesLocked reports whether who is another life than the one that is known. It
// needs m.mu.
// The incarnation of a VM whose time of day has jumped back is lower than before. A process that is
// silent has ended in any case.
func (m *Mesh) supersedesLocked(old *remote, member Member) bool {
	if member.Incarnation == old.member.Incarnation {
		return false
	}
	return member.Incarnation > old.member.Incarnation || m.clock.Now()-old.lastHeard > m.failureTimeoutLocked()
}

// Live returns the VMs that sent heartbeats lately, this one included, in order of
// their names. Those that leave are left out.
func (m *Mesh) Live() []Member {
	out := m.liveUnsorted()
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// liveUnsorted returns the same in no order.
func (m *Mesh) liveUnsorted() []Member { return append(m.liveOthers(false), m.self) }

// liveOthers returns the other VMs that sent heartbeats lately: those that leave, or those
// that do not.
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

// IsLive reports whether this life of a VM sent heartbeats lately. One that leaves does its
// duties until it reports that they have ended.
func (m *Mesh) IsLive(vm string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if vm == m.self.VM {
		return incarnation == m.self.Incarnation
	}
	r := m.remotes[vm]
	return r != nil && r.member.Incarnation == incarnation && m.liveLocked(r, m.clock.Now())
}

// LastHeard returns when the last heartbeat of this life of a VM arrived, on the mesh's clock;
// false if it is not known.
func (m *Mesh) LastHeard(vm string, incarnation uint64) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.remotes[vm]
	if r == nil || r.member.Incarnation != incarnation {
		return 0, false
	}
	return r.lastHeard, true
}

// Replaced reports whether a process of a VM has ended: a later one runs at its
// address.
func (m *Mesh) Replaced(vm, addr string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.self
	if vm != m.self.VM {
		r := m.remotes[vm]
		if r == nil {
			return false
		}
		now = r.member
	}
	return now.Addr == addr && now.Incarnation > incarnation
}

// liveLocked needs m.mu.
// After a suspension of this VM all others seem silent. It waits until they had time to call.
func (m *Mesh) liveLocked(r *remote, now time.Duration) bool {
	m.checkPauseLocked(now)
	return now < m.detectionResumesAt || now-r.lastHeard < m.failureTimeoutOfLocked(r, now)
}

func (m *Mesh) checkPauseLocked(now time.Duration) {
	if now-m.lastCheck > pauseThreshold {
		m.detectionResumesAt = now + m.failureTimeoutLocked()
	}
	m.lastCheck = now
}

// Announce sends a brief heartbeat to all VMs at once: this VM has a newer version of something.
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

// Size returns how many VMs are known, lost ones included.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.remotes) + 1
}

// Call calls one VM with a small message, on the connection that carries heartbeats.
func (m *Mesh) Call(ctx context.Context, vm, method string, args, reply any) error {
	r := m.remote(vm)
	if r == nil {
		return peer.ErrNotSent
	}
	return callWithin(ctx, callTimeout, r.client, method, args, reply)
}

// Transfer calls one VM with a message or a reply that may be large, on a connection of its
// own.
func (m *Mesh) Transfer(ctx context.Context, vm, method string, args, reply any) error {
	r := m.remote(vm)
	if r == nil {
		return peer.ErrNotSent
	}
	return callWithin(ctx, transferTimeout, r.transfers, method, args, reply)
}

func callWithin(ctx context.Context, timeout time.Duration, client *peer.Client, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return client.Call(ctx, method, args, reply)
}

func (m *Mesh) remote(vm string) *remote {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.remotes[vm]
}

// Others returns the names of all other VMs that are not lost.
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

// Members returns this VM and all that it knows.
func (m *Mesh) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Member{m.self}
	for r := range maps.Values(m.remotes) {
		out = append(out, r.member)
	}
	return out
}

// Heartbeat exchanges heartbeats.
func (s Service) Heartbeat(in *Heartbeat, out *Heartbeat) error {
	s.Mesh.receive(*in)
	*out = s.Mesh.local.Heartbeat()
	if in.Brief {
		*out = out.brief()
	}
	return nil
}

// Join asks the VM at addr for all that it knows, and makes itself known.
func Join(ctx context.Context, addr string, self Member) ([]Member, error) {
	client := peer.NewClient(addr, 1)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []Member
	if err := client.Call(ctx, "Mesh.Join", &self, &out); err != nil {
		return nil, err
	}
	return out, nil
}
