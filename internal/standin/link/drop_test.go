package link

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDroppedDialGetsNoResponse(t *testing.T) {
	addr, begun, arrived := server(t)
	l, err := New(addr)
	require.NoError(t, err)
	defer l.Close()
	send(t, l, "before", func(c *net.TCPConn) { require.NoError(t, c.Close()) })
	require.Equal(t, "before", <-begun+<-arrived)
	for range 2 {
		require.NoError(t, l.Drop())
		for range 3 {
			_, err = net.DialTimeout("tcp", l.Addr(), 50*time.Millisecond)
			require.True(t, os.IsTimeout(err), "%v", err)
		}
		l.Heal()
		send(t, l, "after", func(c *net.TCPConn) { require.NoError(t, c.Close()) })
		got := ""
		for got == "" {
			got = <-begun + <-arrived
		}
		require.Equal(t, "after", got)
	}
}

func TestRefusedDialDoesNotEndOpenConnections(t *testing.T) {
	addr, begun, arrived := server(t)
	l, err := New(addr)
	require.NoError(t, err)
	defer l.Close()
	kept, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	_, err = kept.Write([]byte("k"))
	require.NoError(t, err)
	require.Equal(t, "k", <-begun)
	require.NoError(t, l.Refuse())
	_, err = net.Dial("tcp", l.Addr())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = kept.Write([]byte("ept"))
	require.NoError(t, err)
	require.NoError(t, kept.Close())
	require.Equal(t, "ept", <-arrived)
	l.Heal()
	send(t, l, "after", func(c *net.TCPConn) { require.NoError(t, c.Close()) })
	require.Equal(t, "after", <-begun+<-arrived)
}
