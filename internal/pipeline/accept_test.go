package pipeline

import (
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// shortOfDescriptors is a listener that fails a number of times before each connection.
type shortOfDescriptors struct {
	net.Listener
	mu    sync.Mutex
	fails int
}

func (l *shortOfDescriptors) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fails > 0 {
		l.fails--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that accepts no connection any more after it has run out of descriptors once.
func TestConnectionsAreAcceptedAfterALackOfDescriptors(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := serveTest(t, &shortOfDescriptors{Listener: raw, fails: 3}, testLimits)
	c := s.dial()
	c.get("/now/1")
	c.requireResponses("/now/1")
	require.EqualValues(t, 3, s.count("acceptErrors"))
	require.NoError(t, s.server.Close())
	_, err = s.listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// Guards against idle connections that keep the descriptors which new ones need.
func TestIdleConnectionsEndIfNoneCanBeAccepted(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	short := &shortOfDescriptors{Listener: raw}
	s := serveTest(t, short, testLimits)
	idle, running := s.dial(), s.dial()
	running.get("/1")
	s.requireStarted("/1")
	// The accept that is in progress returns this connection, and the next one fails.
	go func() {
		short.mu.Lock()
		defer short.mu.Unlock()
		short.fails = 1
	}()
	for s.count("acceptErrors") == 0 {
		_ = s.dial()
	}
	idle.requireEnd()
	s.release("/1")
	running.requireResponses("/1")
}
