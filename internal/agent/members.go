package agent

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/suspicion"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// listEvery is how often the platform's list of VMs is read; it lags anyway.
const listEvery = time.Second

// members knows the VMs of the system. It is safe for concurrent use.
type members struct {
	clock   boottime.Clock
	silence time.Duration
	begun   time.Duration
	// changed is told of members, grantsChanged of peers' grants.
	changed, grantsChanged func()

	mu    sync.Mutex
	self  wire.Member
	peers map[string]*peerState
	// listed says that the platform's list was read.
	listed bool
}

// peerState is what heartbeats told about one VM.
type peerState struct {
	listed platform.VM
	member wire.Member
	heard  suspicion.Peer
	known  bool
	// source and state name the grants received from the peer.
	source string
	state  uint64
	grants []wire.Grant
}

func newMembers(self wire.Member, clock boottime.Clock, silence time.Duration, changed func()) *members {
	return &members{
		self: self, clock: clock, silence: silence, begun: clock.Now(), changed: changed, grantsChanged: changed,
		peers: make(map[string]*peerState),
	}
}

// setList takes the platform's list. VMs that left the list are forgotten.
func (m *members) setList(vms []platform.VM) {
	m.mu.Lock()
	m.listed = true
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		if vm.Name == m.self.VM {
			continue
		}
		p := m.peers[vm.Name]
		if p == nil {
			p = &peerState{}
			m.peers[vm.Name] = p
		}
		p.listed = vm
	}
	for name := range m.peers {
		if !listed[name] {
			delete(m.peers, name)
		}
	}
	m.mu.Unlock()
	m.changed()
}

// updateSelf changes what heartbeats tell of this VM.
func (m *members) updateSelf(change func(*wire.Member)) {
	m.mu.Lock()
	before := m.self
	change(&m.self)
	same := before == m.self
	m.mu.Unlock()
	if !same {
		m.changed()
	}
}

func (m *members) me() wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// heard notes a sign of life of a peer.
//
// Failure: a heartbeat of a process that has been replaced arrives late, and the
// VM would show its old address and revision. The incarnation that was heard
// last stays as long as it speaks. A lower one is taken after that: a VM whose
// clock was set back is not locked out.
func (m *members) heard(told wire.Member) {
	m.mu.Lock()
	p := m.peerOf(told)
	if p == nil || (m.alive(p) && started(told.Incarnation) < started(p.member.Incarnation)) {
		m.mu.Unlock()
		return
	}
	same := p.known && p.member == told && m.alive(p)
	p.member, p.known = told, true
	p.heard.Heard(m.clock.Now())
	m.mu.Unlock()
	if !same {
		m.changed()
	}
}

// peerOf returns the peer that speaks. It needs m.mu.
//
// Failure: an agent starts while the platform's list cannot be read. Until it
// is read, whoever speaks is taken for a VM of the system; then the list rules.
func (m *members) peerOf(told wire.Member) *peerState {
	p := m.peers[told.VM]
	if p == nil && !m.listed && told.VM != m.self.VM {
		p = &peerState{listed: platform.VM{Name: told.VM, DataCentre: told.DataCentre, AgentAddr: told.AgentAddr, State: platform.VMLive}}
		m.peers[told.VM] = p
	}
	return p
}

// started returns the start time in an incarnation, nanoseconds.
func started(incarnation string) int64 {
	n, _ := strconv.ParseInt(incarnation[strings.LastIndexByte(incarnation, '-')+1:], 10, 64)
	return n
}

// alive needs m.mu.
func (m *members) alive(p *peerState) bool { return p.known && p.heard.Alive(m.clock.Now(), m.silence) }

// resumed takes note that this process stood still.
//
// Failure: the VM freezes and returns. All peers seem silent at once, and the
// agent would tell its daemons that it is alone. Silence counts only while
// somebody listened, so each peer gets the pause on top.
func (m *members) resumed(after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.heard.Forgive(after)
	}
}

// ahead returns the agents that hold a newer configuration, of the own data
// centre and of others. Without one of our own, any that holds one is ahead.
func (m *members) ahead(revision uint64, ready bool) (near, far []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !m.alive(p) || (ready && p.member.Held <= revision) || !p.member.Holds {
			continue
		}
		if p.member.DataCentre == m.self.DataCentre {
			near = append(near, p.member.AgentAddr)
		} else {
			far = append(far, p.member.AgentAddr)
		}
	}
	return near, far
}

// live returns this VM and the peers that are alive, sorted by name.
func (m *members) live() []wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []wire.Member{m.self}
	for _, p := range m.peers {
		if !m.alive(p) {
			continue
		}
		member := p.member
		member.Leaving = member.Leaving || p.listed.State == platform.VMLeaving
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// heardWithin returns the VMs heard within the time, or within what their
// heartbeats need under load; this one included.
func (m *members) heardWithin(d time.Duration) map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]bool{m.self.VM: true}
	now := m.clock.Now()
	for name, p := range m.peers {
		if p.known && p.heard.Alive(now, d) {
			out[name] = true
		}
	}
	return out
}

// places returns all listed VMs, this one too, sorted by name; none before the
// list was read. To name this VM alone would tell its entry that it may use the
// whole of every contract.
func (m *members) places() []wire.Place {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		return nil
	}
	out := []wire.Place{{VM: m.self.VM, DataCentre: m.self.DataCentre}}
	for name, p := range m.peers {
		out = append(out, wire.Place{VM: name, DataCentre: p.listed.DataCentre})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// settleWithin bounds how long a new agent waits for the word of its peers: a
// peer that has not answered within the time that makes it silent is gone.
const settleWithin = time.Second

// settled tells whether members and grants are complete enough to act on.
//
// Failure: a VM is replaced. Its dispatcher is ready at once and gets requests,
// but its agent has not heard the peers' grants yet; every key seems without
// owner, and callers wait out their deadline. So daemons are ready only once
// each listed peer has told its grants, or is taken for lost.
func (m *members) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clock.Now()-m.begun >= settleWithin {
		return true
	}
	if !m.listed {
		return false
	}
	for _, p := range m.peers {
		if p.source == "" && p.listed.State == platform.VMLive {
			return false
		}
	}
	return true
}

func (m *members) isListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// addrs returns the agents of all listed peers.
func (m *members) addrs() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]string, len(m.peers))
	for name, p := range m.peers {
		out[name] = p.listed.AgentAddr
	}
	return out
}

// grantsHeld returns which grants of a peer are held.
func (m *members) grantsHeld(vm string) (source string, state uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[vm]; p != nil {
		return p.source, p.state
	}
	return "", 0
}

// takeGrants keeps a peer's grants.
func (m *members) takeGrants(vm string, reply *wire.BeatReply) {
	m.mu.Lock()
	// A pushed state may overtake a reply on its way, and must not be undone.
	if p := m.peers[vm]; p != nil && (p.source != reply.Member.Incarnation || reply.State >= p.state) {
		p.source, p.state, p.grants = reply.Member.Incarnation, reply.State, reply.Grants
	}
	m.mu.Unlock()
	m.grantsChanged()
}

// peerGrants returns the grants of all peers.
func (m *members) peerGrants() []wire.Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.Grant
	for _, p := range m.peers {
		out = append(out, p.grants...)
	}
	return out
}

// lister reads the platform's list. It is one goroutine.
type lister struct {
	store   platform.Store
	members *members
	timeout time.Duration
	log     *log.Logger
}

func (l *lister) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.once(ctx)
		pause(ctx, listEvery)
	}
}

func (l *lister) once(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	vms, err := l.store.VMs(ctx)
	if err != nil {
		// The list in force stays: an outage of the platform ends no VM.
		l.log.Debug().Err(err).Str("step", "list-vms").Str("peer", "platform").Msg("list not read")
		return
	}
	l.members.setList(vms)
}

// heart sends heartbeats to all listed peers. It is one goroutine and one for
// each heartbeat on its way.
type heart struct {
	members *members
	peers   *peer.Pool
	every   time.Duration
	// seeds are agents to ask while the platform's list is not known.
	seeds []string
	// grants are pushed when pushes tells that they changed: a key that was
	// lost is served again as soon as dispatchers know its new owner.
	grants *grantTable
	pushes <-chan struct{}
	log    *log.Logger

	mu   sync.Mutex
	busy map[string]bool
}

func (h *heart) run(ctx context.Context) {
	tick := time.NewTicker(h.every)
	defer tick.Stop()
	last := h.members.clock.Now()
	for {
		select {
		case <-tick.C:
			now := h.members.clock.Now()
			if gap := now - last; gap > h.members.silence/2 {
				h.members.resumed(gap)
			}
			last = now
			h.beatAll(ctx)
			// A peer that fell silent leaves the list without any event.
			h.members.changed()
		case <-h.pushes:
			for vm, addr := range h.members.addrs() {
				go h.push(ctx, vm, addr)
			}
			pause(ctx, pushPause)
		case <-ctx.Done():
			return
		}
	}
}

// pushPause bounds how often changed grants are pushed; changes of one loss come
// together.
const pushPause = 5 * time.Millisecond

// push sends a heartbeat with this agent's grants. If it is lost, the peer gets
// them by its own next heartbeat.
func (h *heart) push(ctx context.Context, vm, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*h.every)
	defer cancel()
	source, state := h.members.grantsHeld(vm)
	args := wire.BeatArgs{Member: h.members.me(), Source: source, State: state, Pushed: true}
	args.Grants, args.PushedState = h.grants.snapshot()
	var reply wire.BeatReply
	if err := h.peers.Get(addr).Call(ctx, wire.MethodBeat, &args, &reply); err != nil {
		h.log.Debug().Err(err).Str("step", "push-grants").Str("peer", vm).Msg("no answer")
	}
}

func (h *heart) beatAll(ctx context.Context) {
	known := make(map[string]bool)
	for vm, addr := range h.members.addrs() {
		known[addr] = true
		h.beat(ctx, vm, addr)
	}
	if h.members.isListed() {
		return
	}
	for _, addr := range h.seeds {
		if !known[addr] {
			h.beat(ctx, addr, addr)
		}
	}
}

// beat sends one heartbeat unless the last is still on its way.
func (h *heart) beat(ctx context.Context, vm, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy[vm] {
		return
	}
	h.busy[vm] = true
	go func() {
		h.send(ctx, vm, addr)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.busy, vm)
	}()
}

func (h *heart) send(ctx context.Context, vm, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*h.every)
	defer cancel()
	source, state := h.members.grantsHeld(vm)
	args := wire.BeatArgs{Member: h.members.me(), Source: source, State: state}
	var reply wire.BeatReply
	if err := h.peers.Get(addr).Call(ctx, wire.MethodBeat, &args, &reply); err != nil {
		h.log.Debug().Err(err).Str("step", "heartbeat").Str("peer", vm).Msg("no answer")
		return
	}
	h.members.heard(reply.Member)
	if reply.Changed {
		h.members.takeGrants(reply.Member.VM, &reply)
	}
}
