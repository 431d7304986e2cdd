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
	listed platform.VM
	member wire.Member
	heard  suspicion.Detector
	known  bool
	// source and state name the grants received from the peer.
	source string
	state  uint64
	grants []wire.Grant
}

// recordHeartbeat records a heartbeat of a peer.
// A late heartbeat of a replaced process must not bring back its address and revision, so the last
// incarnation stays while it sends. After that a lower one is accepted: a clock may have been set back.
func (m *members) recordHeartbeat(sender wire.Member) {
	m.mu.Lock()
	p := m.peerOf(sender)
	if p == nil || (m.alive(p) && started(sender.Incarnation) < started(p.member.Incarnation)) {
		m.mu.Unlock()
		return
	}
	same := p.known && p.member == sender && m.alive(p)
	p.member, p.known = sender, true
	p.heard.RecordHeartbeat(m.clock.Now())
	m.mu.Unlock()
	if !same {
		m.changed()
	}
}

// peerOf returns the peer that sent a heartbeat. It needs m.mu.
// Until the platform's list has been read, every sender counts as a VM of the system.
func (m *members) peerOf(sender wire.Member) *peerState {
	p := m.peers[sender.VM]
	if p == nil && !m.listed && sender.VM != m.self.VM {
		p = &peerState{listed: platform.VM{Name: sender.VM, DataCentre: sender.DataCentre, AgentAddr: sender.AgentAddr, State: platform.VMLive}}
		m.peers[sender.VM] = p
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
// Silence counts only while somebody listened, so each peer gets the pause on top: a VM that was
// suspended would otherwise consider all others failed.
func (m *members) resumed(after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.heard.ExcludePause(after)
	}
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
	// A pushed state may overtake a reply in flight, and must not be undone.
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
