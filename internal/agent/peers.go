package agent

import (
	"strconv"
	"strings"
	"time"

	"hemlockquay/internal/decide/suspicion"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// peerState is what the list and the heartbeats report about one VM.
type peerState struct {
	listed        platform.VM
	member        wire.Member
	detector      suspicion.Detector
	heartbeatSeen bool
	// grantSource and grantState are the incarnation and the state number of the grants received
	// from the peer.
	grantSource string
	grantState  uint64
	grants      []wire.Grant
}

// recordHeartbeat records a heartbeat of a peer.
//
// A delayed heartbeat of a replaced process must not restore its address and revision, so lower
// incarnations are ignored while the latest one is alive. Afterwards a lower one is accepted,
// because the VM's clock may have been set back.
func (m *members) recordHeartbeat(sender wire.Member) {
	m.mu.Lock()
	p := m.senderState(sender)
	if p == nil || (m.alive(p) && startTime(sender.Incarnation) < startTime(p.member.Incarnation)) {
		m.mu.Unlock()
		return
	}
	same := p.heartbeatSeen && p.member == sender && m.alive(p)
	p.member, p.heartbeatSeen = sender, true
	p.detector.RecordHeartbeat(m.clock.Now())
	m.mu.Unlock()
	if !same {
		m.changed()
	}
}

// senderState returns the state of the peer that sent a heartbeat, or nil if it is not a known
// VM. Until the platform's list has been read, every sender counts as a VM of the system. The
// caller must hold m.mu.
func (m *members) senderState(sender wire.Member) *peerState {
	p := m.peers[sender.VM]
	if p == nil && !m.listRead && sender.VM != m.self.VM {
		p = &peerState{listed: platform.VM{Name: sender.VM, DataCentre: sender.DataCentre, AgentAddr: sender.AgentAddr, State: platform.VMLive}}
		m.peers[sender.VM] = p
	}
	return p
}

// startTime returns the start time that is part of an incarnation, in nanoseconds.
func startTime(incarnation string) int64 {
	n, _ := strconv.ParseInt(incarnation[strings.LastIndexByte(incarnation, '-')+1:], 10, 64)
	return n
}

// alive reports whether the peer's last heartbeat is recent enough. The caller must hold m.mu.
func (m *members) alive(p *peerState) bool {
	return p.heartbeatSeen && p.detector.Alive(m.clock.Now(), m.silenceTimeout)
}

// excludePause adds a pause of this process to the time that each peer may be silent, since no
// heartbeats were received during it. Otherwise a VM that was suspended would consider all others
// lost.
func (m *members) excludePause(pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.detector.ExcludePause(pause)
	}
}

// grantsHeld returns which grants of a peer this agent has.
func (m *members) grantsHeld(vm string) (source string, state uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[vm]; p != nil {
		return p.grantSource, p.grantState
	}
	return "", 0
}

// setPeerGrants stores the grants that a peer reported.
func (m *members) setPeerGrants(vm string, reply *wire.BeatReply) {
	m.mu.Lock()
	// A pushed state may overtake a reply in flight. The older reply must not replace it.
	if p := m.peers[vm]; p != nil && (p.grantSource != reply.Member.Incarnation || reply.State >= p.grantState) {
		p.grantSource, p.grantState, p.grants = reply.Member.Incarnation, reply.State, reply.Grants
	}
	m.mu.Unlock()
	m.grantsChanged()
}

// peerGrants returns the grants that all peers reported.
func (m *members) peerGrants() []wire.Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.Grant
	for _, p := range m.peers {
		out = append(out, p.grants...)
	}
	return out
}
