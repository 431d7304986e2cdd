package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

const (
	// probeAfter is how long a call waits before the peer is probed. Most calls end sooner.
	probeAfter = 250 * time.Millisecond
	// silenceCheckInterval is how often a probed connection is checked for received data.
	silenceCheckInterval = 50 * time.Millisecond
	// silentIntervals is the number of intervals without received data after which a probed
	// connection counts as silent. A peer answers a probe at once, however long its calls take.
	silentIntervals = 10
	// maxUnansweredDoublings bounds how often silentIntervals is doubled for a peer that accepts connections
	// and answers on none of them: a peer that is short of processor time must not be kept busy with new ones.
	maxUnansweredDoublings = 2
)

// probeService and methodProbe name the probe, which every Server answers at once. An error
// reply from a server that does not know the method proves delivery as well.
const (
	probeService = "Peer"
	methodProbe  = probeService + ".Probe"
)

// probeReceiver is the RPC receiver of probes.
type probeReceiver struct{}

// Probe returns an empty reply.
func (probeReceiver) Probe(_, _ *struct{}) error { return nil }

// countingConn counts the reads that returned data.
type countingConn struct {
	net.Conn
	reads atomic.Uint64
}

// Read implements net.Conn.
func (h *countingConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 {
		h.reads.Add(1)
	}
	return n, err
}

// deliveryState records whether the calls on a session have reached the peer. It is guarded by
// managedConn.mu.
type deliveryState struct {
	// unconfirmed counts the late or timed-out calls whose arrival is not confirmed by a probe yet;
	// a call that is first late and then times out counts twice. timedOut counts those of them
	// that timed out.
	unconfirmed, timedOut int
	// probing says that a goroutine sends probes until all calls are confirmed. It stays set on a
	// session that has ended.
	probing bool
	// silent says that nothing arrived for silentIntervals during a probe; reads is the
	// connection's read count at that time.
	silent bool
	reads  uint64
}

// startProbing counts a call as unconfirmed and starts to probe whether the calls on the session
// have reached the peer.
//
// After a network cut the kernel delivers data that was written before it, and the peer would
// execute calls that timed out long ago. The reply to a probe on the same connection shows that
// all calls before it have arrived. If nothing is received at all, the connection is reset, which
// discards undelivered data. A peer that is only slow answers the probe.
func (m *managedConn) startProbing(s *session, timedOut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.delivery.unconfirmed++
	if timedOut {
		s.delivery.timedOut++
		m.closeIfSilent(s)
	}
	if !s.delivery.probing {
		s.delivery.probing = true
		go m.probeUntilConfirmed(s)
	}
}

// probeUntilConfirmed sends probes until a probe that was sent after all unconfirmed calls is
// answered, or the connection ends.
func (m *managedConn) probeUntilConfirmed(s *session) {
	for {
		before := m.deliveryOf(s)
		if !m.probe(s) || m.confirm(s, before) {
			return
		}
	}
}

func (m *managedConn) deliveryOf(s *session) deliveryState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.delivery
}

// confirm records that the calls that were unconfirmed before an answered probe have arrived. It
// reports whether no unconfirmed call is left.
func (m *managedConn) confirm(s *session, before deliveryState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.delivery.unconfirmed -= before.unconfirmed
	s.delivery.timedOut -= before.timedOut
	s.delivery.silent = false
	s.delivery.probing = s.delivery.unconfirmed > 0
	return !s.delivery.probing
}

// probe sends a probe, waits for its reply or the end of the connection, and reports whether a
// reply came.
//
// Silence is counted in ticks, not in elapsed time: a ticker drops the ticks of a suspension of
// the process, so replies that arrived during it are read before the connection counts as silent.
func (m *managedConn) probe(s *session) bool {
	seen, silentTicks := s.conn.reads.Load(), 0
	w := newWrite(context.Background(), methodProbe, &struct{}{}, &struct{}{})
	// queue is nil once the probe is queued. A stalled write may keep the queue full.
	queue := s.writes
	step := time.NewTicker(silenceCheckInterval)
	defer step.Stop()
	for {
		select {
		case queue <- w:
			queue = nil
		case call := <-w.done:
			return !isConnError(call.Error)
		case <-s.ended:
			return false
		case <-step.C:
			silentTicks++
			if now := s.conn.reads.Load(); now != seen {
				seen, silentTicks = now, 0
			}
			m.recordSilence(s, silentTicks, seen)
		}
	}
}

func (m *managedConn) recordSilence(s *session, silentTicks int, reads uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.delivery.silent, s.delivery.reads = silentTicks >= m.maxSilentIntervals(), reads
	m.closeIfSilent(s)
}

// maxSilentIntervals returns the number of intervals without received data after which a session counts as
// silent. m.mu is held.
func (m *managedConn) maxSilentIntervals() int {
	if m.resetOnTimeout {
		return silentIntervals
	}
	return silentIntervals << min(m.unanswered, maxUnansweredDoublings)
}

// closeIfSilent resets the connection of a silent session if a call on it has timed out. Pending
// calls get the read error, which is not rpc.ErrShutdown, since they may have run. Until a call
// times out the session is kept, because its calls may still be answered. m.mu is held.
func (m *managedConn) closeIfSilent(s *session) {
	if !s.delivery.silent || s.delivery.timedOut == 0 || s.conn.reads.Load() != s.delivery.reads {
		return
	}
	m.unanswered++
	if s.delivery.reads > 0 {
		m.unanswered = 0
	}
	m.retire(s)
	_ = s.conn.Close()
	if s.pending == 0 {
		s.end()
	}
}

// awaitReply waits for a call to complete. It returns nil if done is closed first.
func (m *managedConn) awaitReply(done <-chan struct{}, s *session, w *write) *rpc.Call {
	timer := time.NewTimer(probeAfter)
	defer timer.Stop()
	early := timer.C
	ended := s.ended
	for {
		select {
		case call := <-w.done:
			return call
		case <-ended:
			if w.state.CompareAndSwap(writeQueued, writeCanceled) {
				return &rpc.Call{Error: rpc.ErrShutdown}
			}
			ended = nil
		case <-early:
			m.startProbing(s, false)
		case <-done:
			m.startProbing(s, true)
			return nil
		}
	}
}
