package peer

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

const (
	// probeAfter is how long a call waits before the peer is probed, milliseconds: most
	// calls end sooner and cost no probe, and a silence is known before most deadlines.
	probeAfter = 250 * time.Millisecond
	// silenceStep is how often a probed connection is looked at, milliseconds.
	silenceStep = 50 * time.Millisecond
	// silentSteps is for how many steps after a probe nothing at all arrives until the
	// connection counts as silent. A peer answers a probe at once, however long its calls
	// take; half a second is room for a pause of its process or a packet that is sent again.
	silentSteps = 10
)

// probeService and methodProbe name what every server answers at once. A server that does
// not know it answers with an error, which is as good a sign of life.
const (
	probeService = "Peer"
	methodProbe  = probeService + ".Probe"
)

// prober is the receiver of probes.
type prober struct{}

// Probe answers.
func (prober) Probe(_, _ *struct{}) error { return nil }

// heard is a connection that counts the reads which brought something.
type heard struct {
	net.Conn
	reads atomic.Uint64
}

// Read implements net.Conn.
func (h *heard) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 {
		h.reads.Add(1)
	}
	return n, err
}

// doubt is what is known of whether the calls on a session arrive. The lane's lock guards it.
type doubt struct {
	// asked counts the calls whose arrival is to be proved, given those of them that were
	// given up.
	asked, given int
	// probing says that probes go out until all calls are proved. It stays set on a session
	// that has ended.
	probing bool
	// silent says that nothing arrived for silentSteps since a probe; reads is the
	// connection's count of reads by then.
	silent bool
	reads  uint64
}

// ask has it proved that what was sent on the session has arrived.
//
// Failure: the way to the peer is cut, and a call is given up at its deadline. What was
// written to its connection is sent on when the cut ends, and the peer carries the call out
// seconds after its caller was told that it may have run: a booking is made for nobody.
// A probe travels behind the call on the same connection, so its answer shows that the call
// arrived before it. Where nothing arrives instead, the connection ends with a reset, which
// drops what has not arrived. A peer that is only slow answers the probe, and nobody else's
// call on that connection is disturbed.
func (l *lane) ask(s *session, givenUp bool) {
	if !l.dropsGivenUp {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.doubt.asked++
	if givenUp {
		s.doubt.given++
		l.endIfSilent(s)
	}
	if !s.doubt.probing {
		s.doubt.probing = true
		go l.prove(s)
	}
}

// prove sends probes until one was sent after all calls in doubt, and answered.
func (l *lane) prove(s *session) {
	for {
		before := l.inDoubt(s)
		if !l.probe(s) || l.proved(s, before) {
			return
		}
	}
}

func (l *lane) inDoubt(s *session) doubt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.doubt
}

// proved notes that the calls that were in doubt before a probe have arrived, and tells
// whether all have.
func (l *lane) proved(s *session, before doubt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.doubt.asked -= before.asked
	s.doubt.given -= before.given
	s.doubt.silent = false
	s.doubt.probing = s.doubt.asked > 0
	return !s.doubt.probing
}

// probe returns whether the peer answered; it waits until it does or the connection ends.
//
// Failure: this VM was suspended for a second. When it goes on, the time of its probes is
// over while the answers wait unread, and it would end connections that are whole. So the
// silence is counted in steps: those of a suspension are not made up for, and during the
// next ones the answers are read.
func (l *lane) probe(s *session) bool {
	answered := make(chan error, 1)
	seen, quiet := s.conn.reads.Load(), 0
	go func() { answered <- s.rpc.Call(methodProbe, &struct{}{}, &struct{}{}) }()
	step := time.NewTicker(silenceStep)
	defer step.Stop()
	for {
		select {
		case err := <-answered:
			return !broken(err)
		case <-step.C:
			quiet++
			if now := s.conn.reads.Load(); now != seen {
				seen, quiet = now, 0
			}
			l.judge(s, quiet >= silentSteps, seen)
		}
	}
}

func (l *lane) judge(s *session, silent bool, reads uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.doubt.silent, s.doubt.reads = silent, reads
	l.endIfSilent(s)
}

// endIfSilent ends a silent session if a call on it was given up. Calls that wait on it get
// the error of the read that ends, which is not rpc.ErrShutdown: they may have run. While
// nobody gave up, a silent session stays, since its calls may yet be answered in time. The
// lane's lock is held.
func (l *lane) endIfSilent(s *session) {
	if !s.doubt.silent || s.doubt.given == 0 || s.conn.reads.Load() != s.doubt.reads {
		return
	}
	l.retire(s)
	_ = s.conn.Close()
	if s.pending == 0 {
		s.end()
	}
}

// await waits for the end of a call or of its context; it returns nil if the context ended.
func (l *lane) await(done <-chan struct{}, s *session, w *write) *rpc.Call {
	// A client whose calls are not proved to arrive needs no timer for each.
	var early <-chan time.Time
	if l.dropsGivenUp {
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
			l.ask(s, false)
		case <-done:
			l.ask(s, true)
			return nil
		}
	}
}
