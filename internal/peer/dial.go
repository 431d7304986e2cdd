package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"hemlockquay/internal/upstream"
)

const (
	// redialPause is the minimum time between a failed dial of a connection and the
	// next. It spares a peer that is down a flood of SYNs, and is short enough that a
	// restarted peer is found soon.
	redialPause = 100 * time.Millisecond
	// dialTimeout bounds one dial. Round trips between data centres take
	// milliseconds, so no answer within a second means that the path is cut.
	dialTimeout = time.Second
	// dialStagger is the time after which a call that still waits for a connection begins another dial. The
	// kernel repeats the first packet of a dial after a second, so after a cut a new dial succeeds sooner.
	dialStagger = 200 * time.Millisecond
)

// dialState is the state of the dials of a managedConn. It is guarded by managedConn.mu.
type dialState struct {
	running int
	// beganAt is when the last dial began, failedAt when the last one that failed did.
	beganAt, failedAt time.Time
	failure           error
	// ctx ends, and cancel ends, the running dials.
	ctx    context.Context
	cancel context.CancelFunc
}

// acquire returns a session with one more pending call, and dials if there is none. It waits for
// dials for dialTimeout or until the context ends. A dial goes on after the call that began it has timed out.
func (m *managedConn) acquire(ctx context.Context) (*session, error) {
	if s, _, err := m.acquireOrDial(); s != nil || err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		s, changed, err := m.acquireOrDial()
		if s != nil || err != nil {
			return s, err
		}
		if err := m.awaitDial(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// awaitDial waits until a dial ends or another one is due.
func (m *managedConn) awaitDial(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(dialStagger)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for a connection: %w", ctx.Err())
	}
}

// acquireOrDial adds a pending call to the current session. If there is none, it begins a dial that is due, and
// returns a channel that is closed when a dial ends.
func (m *managedConn) acquireOrDial() (*session, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, nil, net.ErrClosed
	}
	if m.current != nil {
		m.current.pending++
		return m.current, nil, nil
	}
	now := time.Now()
	switch since := now.Sub(m.dials.failedAt); {
	case m.dials.running == 0 && m.dials.failure != nil && since < redialPause:
		return nil, nil, fmt.Errorf("dial failed %v ago: %w", since.Round(time.Millisecond), m.dials.failure)
	case m.dials.running == 0 || now.Sub(m.dials.beganAt) >= dialStagger:
		m.beginDialLocked(now)
	}
	return nil, m.changed, nil
}

// beginDialLocked begins a dial. m.mu is held.
func (m *managedConn) beginDialLocked(now time.Time) {
	if m.dials.running == 0 {
		m.dials.ctx, m.dials.cancel = context.WithCancel(context.Background())
	}
	m.dials.running++
	m.dials.beganAt = now
	go m.dial(m.dials.ctx)
}

// dial opens a connection, which becomes the current session unless there is one. The first connection ends the
// other dials.
func (m *managedConn) dial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := m.connect(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dials.running--
	switch {
	case err == nil && m.current == nil && !m.closed:
		m.current, m.dials.failure = newSession(nc, m.bounds), nil
		m.dials.cancel()
	case err == nil:
		_ = nc.Close()
	case m.current == nil:
		m.dials.failure, m.dials.failedAt = err, time.Now()
	}
	if m.dials.running == 0 {
		m.dials.cancel()
	}
	m.notifyLocked()
}

// notifyLocked wakes the calls that wait for a dial. m.mu is held.
func (m *managedConn) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *managedConn) connect(ctx context.Context) (net.Conn, error) {
	if m.open != nil {
		return m.open(ctx, m.addr)
	}
	dialer := &net.Dialer{}
	if m.resetOnTimeout {
		return upstream.DialWithReset(ctx, dialer, "tcp", m.addr)
	}
	return dialer.DialContext(ctx, "tcp", m.addr)
}
