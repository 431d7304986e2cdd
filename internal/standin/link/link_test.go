package link

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// server accepts one connection after the other and reports the first byte of each in
// begun and the rest in arrived.
func server(t *testing.T) (addr string, begun, arrived chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	begun, arrived = make(chan string, 8), make(chan string, 8)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				close(arrived)
				return
			}
			// The connection may be reset. The bytes that arrived before are reported.
			first := make([]byte, 1)
			n, _ := c.Read(first)
			begun <- string(first[:n])
			text, _ := io.ReadAll(c)
			_ = c.Close()
			arrived <- string(text)
		}
	}()
	return listener.Addr().String(), begun, arrived
}

func send(t *testing.T, l *Link, text string, end func(*net.TCPConn)) {
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	end(c.(*net.TCPConn))
}

// A connection is opened during a cut. If its sender closes it, the bytes arrive after the
// cut; if its sender resets it, they do not.
func TestHeldConnectionsEndAsTheirSendersEndedThem(t *testing.T) {
	addr, begun, arrived := server(t)
	l, err := New(addr)
	require.NoError(t, err)
	defer l.Close()
	l.Hold()
	send(t, l, "closed", func(c *net.TCPConn) { require.NoError(t, c.Close()) })
	l.Heal()
	require.Equal(t, "closed", <-begun+<-arrived)
	l.Hold()
	send(t, l, "reset", func(c *net.TCPConn) { reset(c) })
	l.Heal()
	require.Empty(t, <-begun+<-arrived)
}

// A middlebox loses the state of its connections. Both sides see a reset, and no held bytes
// arrive.
func TestResetEndsBothEnds(t *testing.T) {
	addr, begun, arrived := server(t)
	l, err := New(addr)
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "x")
	require.NoError(t, err)
	require.Equal(t, "x", <-begun)
	l.Cut()
	_, err = io.WriteString(c, "held")
	require.NoError(t, err)
	l.AwaitHeld()
	l.Reset()
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	l.Heal()
	require.Empty(t, <-arrived)
	send(t, l, "after", func(c *net.TCPConn) { require.NoError(t, c.Close()) })
	require.Equal(t, "after", <-begun+<-arrived)
}
