package peer

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

type failingListener struct {
	net.Listener
	fails atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.fails.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that is lost to its peers after it has run out of descriptors once.
func TestPeersAreAcceptedAfterALackOfDescriptors(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &failingListener{Listener: raw}
	l.fails.Store(2)
	s, err := NewServer(l)
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Register("Echo", &echo{}))
	var seen atomic.Int32
	s.OnAcceptError = func(error) { seen.Add(1) }
	go s.Serve()
	c := NewClient(s.Addr(), 1)
	defer c.Close()
	var out string
	require.NoError(t, c.Call(t.Context(), "Echo.Say", "x", &out))
	require.EqualValues(t, 2, seen.Load())
}
