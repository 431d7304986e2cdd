package agent

import (
	"sort"
	"sync"
	"time"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// members holds the VMs of the system. It is safe for concurrent use.
type members struct {
	clock          boottime.Clock
	silenceTimeout time.Duration
	startedAt      time.Duration
	// changed is called when members change, grantsChanged when grants of peers change.
	changed, grantsChanged func()

	mu    sync.Mutex
	self  wire.Member
	peers map[string]*peerState
	// listRead is set once the platform's list was read.
	listRead bool
}

func newMembers(self wire.Member, clock boottime.Clock, silence time.Duration, changed func()) *members {
	return &members{
		self: self, clock: clock, silenceTimeout: silence, startedAt: clock.Now(), changed: changed, grantsChanged: changed,
		peers: make(map[string]*peerState),
	}
}

// setList stores the platform's list and removes VMs that are not on it.
func (m *members) setList(vms []platform.VM) {
	m.mu.Lock()
	m.listRead = true
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

// updateSelf changes what heartbeats report about this VM.
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

func (m *members) selfMember() wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// peersAhead returns the agents with a newer configuration in the own data centre (near) and in
// others (far). If this agent has no configuration (ready is false), every agent with one counts
// as newer.
func (m *members) peersAhead(revision uint64, ready bool) (near, far []string) {
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

// live returns this VM and the live peers, sorted by name.
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

// aliveWithin returns the VMs whose last heartbeat arrived within d, or within the longer timeout
// that their heartbeats need under load, and this VM.
//
// VMs that report that they are leaving are excluded, so that the next in the succession takes
// over their groups while they still renew the grants, and their end causes no gap.
func (m *members) aliveWithin(d time.Duration) map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]bool{m.self.VM: true}
	now := m.clock.Now()
	for name, p := range m.peers {
		if p.heartbeatSeen && !p.member.Leaving && p.detector.Alive(now, d) {
			out[name] = true
		}
	}
	return out
}

// listedPlaces returns all listed VMs including this one, sorted by name, or nil before the list
// was read. A list of only this VM would give its entry the whole limit of every contract.
func (m *members) listedPlaces() []wire.Place {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listRead {
		return nil
	}
	out := []wire.Place{{VM: m.self.VM, DataCentre: m.self.DataCentre}}
	for name, p := range m.peers {
		out = append(out, wire.Place{VM: name, DataCentre: p.listed.DataCentre})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// settleTimeout bounds how long a new agent waits for the reports of its peers. It is longer than
// the silence after which a peer counts as lost.
const settleTimeout = time.Second

// settled reports whether members and grants are complete enough to act on: every listed live
// peer has reported its grants, or settleTimeout has passed. Daemons become ready only then; with
// less, keys would appear to have no owner.
func (m *members) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clock.Now()-m.startedAt >= settleTimeout {
		return true
	}
	if !m.listRead {
		return false
	}
	for _, p := range m.peers {
		if p.grantSource == "" && p.listed.State == platform.VMLive {
			return false
		}
	}
	return true
}

func (m *members) isListRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listRead
}

// peerAddrs returns the agent addresses of all listed peers by VM.
func (m *members) peerAddrs() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]string, len(m.peers))
	for name, p := range m.peers {
		out[name] = p.listed.AgentAddr
	}
	return out
}

// storeWatched reports whether the watch of any live agent works. While one does, an outranked
// grantor writes a new epoch. A claim by the next in the succession at the old epoch would then
// soon be superseded, and callers would be refused twice.
func (m *members) storeWatched() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Watching {
		return true
	}
	for _, p := range m.peers {
		if p.member.Watching && m.alive(p) {
			return true
		}
	}
	return false
}
