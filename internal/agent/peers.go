package agent

import (
	"strconv"
	"strings"
	"time"

	"hemlockquay/internal/decide/suspicion"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// peerState is what heartbeats reported about one VM.
type peerState struct {
	listed        platform.VM
	member        wire.Member
	detector      suspicion.Detector
	heartbeatSeen bool
	// grantSource and state name the grants received from the peer.
	grantSource string
	grantState  uint64
	grants      []wire.Grant
}

// recordHeartbeat records a heartbeat of a peer.
// A late heartbeat of a replaced process must not bring back its address and revision, so the last
// incarnation stays while it sends. After that a lower one is accepted: a clock may have been set back.
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

// senderState returns the peer that sent a heartbeat. It needs m.mu.
// Until the platform's list has been read, every sender counts as a VM of the system.
func (m *members) senderState(sender wire.Member) *peerState {
	p := m.peers[sender.VM]
	if p == nil && !m.listRead && sender.VM != m.self.VM {
		p = &peerState{listed: platform.VM{Name: sender.VM, DataCentre: sender.DataCentre, AgentAddr: sender.AgentAddr, State: platform.VMLive}}
		m.peers[sender.VM] = p
	}
	return p
}

// startTime returns the start time in an incarnation, nanoseconds.
func startTime(incarnation string) int64 {
	n, _ := strconv.ParseInt(incarnation[strings.LastIndexByte(incarnation, '-')+1:], 10, 64)
	return n
}

// alive needs m.mu.
func (m *members) alive(p *peerState) bool {
	return p.heartbeatSeen && p.detector.Alive(m.clock.Now(), m.silenceTimeout)
}

// excludePause takes note that this process stood still.
// Silence counts only while somebody listened, so each peer gets the pause on top: a VM that was
// suspended would otherwise consider all others failed.
func (m *members) excludePause(pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.detector.ExcludePause(pause)
	}
}

// grantsHeld returns which grants of a peer are held.
func (m *members) grantsHeld(vm string) (source string, state uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[vm]; p != nil {
		return p.grantSource, p.grantState
	}
	return "", 0
}

// setPeerGrants keeps a peer's grants.
func (m *members) setPeerGrants(vm string, reply *wire.BeatReply) {
	m.mu.Lock()
	// A pushed state may overtake a reply in flight, and must not be undone.
	if p := m.peers[vm]; p != nil && (p.grantSource != reply.Member.Incarnation || reply.State >= p.grantState) {
		p.grantSource, p.grantState, p.grants = reply.Member.Incarnation, reply.State, reply.Grants
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
