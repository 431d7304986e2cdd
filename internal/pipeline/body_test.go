package pipeline

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldListener accepts one connection. Each of its reads returns what it has read after a release.
type heldListener struct {
	net.Listener
	conn chan *heldConn
}

type heldConn struct {
	net.Conn
	read, release chan int
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := &heldConn{Conn: c, read: make(chan int, 100), release: make(chan int, 100)}
	l.conn <- held
	return held, nil
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read <- n
		<-c.release
	}
	return n, err
}

// Guards against a body that is lost to an earlier request because it is read while the last request before it ends.
func TestBodyThatIsReadWhileTheRequestBeforeItEnds(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held := heldListener{Listener: raw, conn: make(chan *heldConn, 1)}
	s := serveTest(t, held, testLimits)
	c := s.dial()
	conn := <-held.conn
	pass := func() { <-conn.read; conn.release <- 0 }
	c.get("/1")
	pass()
	c.get("/2")
	pass()
	s.requireStarted("/1", "/2")
	c.send("POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nab")
	pass()
	c.send("cd")
	<-conn.read
	s.release("/1", "/2")
	c.requireResponses("/1", "/2")
	s.awaitExclusive()
	conn.release <- 0
	c.send("ef")
	pass()
	s.requireStarted("/3")
	s.release("/3")
	c.requireResponses("/3abcdef")
	require.Empty(t, s.started)
}

// awaitExclusive waits until a request that runs alone was assigned.
func (s *testServer) awaitExclusive() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for _, c := range s.listener.occupancy.all() {
			c.mu.Lock()
			exclusive := c.exclusive
			c.mu.Unlock()
			if exclusive {
				return true
			}
		}
		return false
	}, testTimeout, time.Millisecond)
}
