package link

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// server takes one connection after the other and passes on all that arrives on each.
func server(t *testing.T) (string, <-chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	arrived := make(chan string)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				close(arrived)
				return
			}
			// The error of a connection that was reset; what arrived before counts.
			text, _ := io.ReadAll(c)
			_ = c.Close()
			arrived <- string(text)
		}
	}()
	return listener.Addr().String(), arrived
}

func send(t *testing.T, l *Link, text string, end func(*net.TCPConn)) {
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	end(c.(*net.TCPConn))
}

// A connection is opened in a cut. What its sender closed arrives after the cut; what its
// sender reset does not.
func TestHeldConnectionsEndAsTheirSendersEndedThem(t *testing.T) {
	addr, arrived := server(t)
	l, err := New(addr)
	require.NoError(t, err)
	defer l.Close()
	l.Hold()
	send(t, l, "closed", func(c *net.TCPConn) { require.NoError(t, c.Close()) })
	l.Heal()
	require.Equal(t, "closed", <-arrived)
	l.Hold()
	send(t, l, "reset", func(c *net.TCPConn) { reset(c) })
	l.Heal()
	require.Empty(t, <-arrived)
}
