package peer

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

const (
	// probeAfter is how long a call waits before the peer is probed. Most calls end sooner.
	probeAfter = 250 * time.Millisecond
	// silenceCheckInterval is how often a probed connection is checked.
	silenceCheckInterval = 50 * time.Millisecond
	// silentIntervals is for how many steps after a probe nothing arrives until the connection
	// counts as silent. A peer answers a probe at once, however long its calls take.
	silentIntervals = 10
)

// probeService and methodProbe name the probe, which every server answers at once. An error
// reply to an unknown method proves just as much.
const (
	probeService = "Peer"
	methodProbe  = probeService + ".Probe"
)

// probeReceiver is the receiver of probes.
type probeReceiver struct{}

// Probe answers.
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

// deliveryState is what is known of whether the calls on a session arrive. The lock of managedConn
// guards it.
type deliveryState struct {
	// unconfirmed counts the calls whose arrival is not proved yet, timedOut those of them that
	// timed out.
	unconfirmed, timedOut int
	// probing says that a goroutine probes until all calls are proved. It stays set on a
	// session that has ended.
	probing bool
	// silent says that nothing arrived for silentSteps since a probe; reads is the
	// connection's count of reads by then.
	silent bool
	reads  uint64
}

// startProbing starts to probe whether the calls on the session arrive.
//
// After a cut the kernel delivers what was written before it, and the peer would execute calls
// that timed out long ago. A probe on the same connection shows, by its reply, that the calls
// before it arrived. If nothing arrives at all, the connection is reset, which drops what is
// undelivered. A peer that is only slow answers the probe.
func (m *managedConn) startProbing(s *session, timedOut bool) {
	if !m.resetOnTimeout {
		return
	}
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

// probeUntilConfirmed sends probes until one that was sent after all suspected calls is answered.
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

// confirm records that the calls that were suspected before a probe have arrived. It reports
// whether all have.
func (m *managedConn) confirm(s *session, before deliveryState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.delivery.unconfirmed -= before.unconfirmed
	s.delivery.timedOut -= before.timedOut
	s.delivery.silent = false
	s.delivery.probing = s.delivery.unconfirmed > 0
	return !s.delivery.probing
}

// probe reports whether the peer answered; it waits until it does or the connection ends.
//
// Silence is counted in steps of a ticker, which drops those of a suspension: after one, the
// replies that wait unread are read before the connection counts as silent.
func (m *managedConn) probe(s *session) bool {
	answered := make(chan error, 1)
	seen, quiet := s.conn.reads.Load(), 0
	go func() { answered <- s.rpc.Call(methodProbe, &struct{}{}, &struct{}{}) }()
	step := time.NewTicker(silenceCheckInterval)
	defer step.Stop()
	for {
		select {
		case err := <-answered:
			return !isConnError(err)
		case <-step.C:
			quiet++
			if now := s.conn.reads.Load(); now != seen {
				seen, quiet = now, 0
			}
			m.recordSilence(s, quiet >= silentIntervals, seen)
		}
	}
}

func (m *managedConn) recordSilence(s *session, silent bool, reads uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.delivery.silent, s.delivery.reads = silent, reads
	m.closeIfSilent(s)
}

// closeIfSilent ends a silent session if a call on it timed out. Its pending calls get the error
// of the read, which is not rpc.ErrShutdown: they may have run. Until a call times out the
// session stays, since its calls may yet be answered. m.mu is held.
func (m *managedConn) closeIfSilent(s *session) {
	if !s.delivery.silent || s.delivery.timedOut == 0 || s.conn.reads.Load() != s.delivery.reads {
		return
	}
	m.retire(s)
	_ = s.conn.Close()
	if s.pending == 0 {
		s.end()
	}
}

// awaitReply waits for the end of a call; it returns nil if the context ends first.
func (m *managedConn) awaitReply(done <-chan struct{}, s *session, w *write) *rpc.Call {
	var early <-chan time.Time
	if m.resetOnTimeout {
		timer := time.NewTimer(probeAfter)
		defer timer.Stop()
		early = timer.C
	}
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
