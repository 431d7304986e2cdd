package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	in, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		out.Close()
		in.Close()
	})
	return in.(*net.TCPConn), out.(*net.TCPConn)
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	require.NoError(t, err)
}

func requireState(t *testing.T, conn net.Conn, want State) {
	t.Helper()
	require.Eventually(t, func() bool { return Peek(conn) == want }, 10*time.Second, time.Millisecond)
}

func TestStatesOfAConnection(t *testing.T) {
	here, there := pair(t)
	require.Equal(t, Quiet, Peek(here))
	require.False(t, HungUp(here))
	write(t, there, "a")
	requireState(t, here, Readable)
	require.False(t, HungUp(here))
	_, err := here.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, Quiet, Peek(here))
	require.NoError(t, there.Close())
	requireState(t, here, Ended)
	require.True(t, HungUp(here))
	require.NoError(t, here.Close())
	require.Equal(t, Ended, Peek(here))
}

// Guards against an end that is not seen because bytes lie in front of it.
func TestEndBehindUnreadBytesIsSeen(t *testing.T) {
	here, there := pair(t)
	write(t, there, "unread")
	require.NoError(t, there.CloseWrite())
	require.Eventually(t, func() bool { return HungUp(here) }, 10*time.Second, time.Millisecond)
	require.Equal(t, Readable, Peek(here), "the bytes are still to be read")
}

func TestResetIsSeen(t *testing.T) {
	here, there := pair(t)
	write(t, there, "unread")
	require.NoError(t, there.SetLinger(0))
	require.NoError(t, there.Close())
	require.Eventually(t, func() bool { return HungUp(here) }, 10*time.Second, time.Millisecond)
}

func TestAgeOfUnreadBytes(t *testing.T) {
	here, there := pair(t)
	write(t, there, "a")
	requireState(t, here, Readable)
	require.Eventually(t, func() bool { return SinceReceived(here) >= 20*time.Millisecond }, 10*time.Second, time.Millisecond)
	require.NoError(t, there.CloseWrite())
	require.Eventually(t, func() bool { return HungUp(here) }, 10*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, SinceReceived(here), 20*time.Millisecond, "the end carries no bytes")
}

func TestConnectionThatIsNotOneOfTheSystem(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	require.Equal(t, Unknown, Peek(here))
	require.False(t, HungUp(here))
	require.Zero(t, SinceReceived(here))
}
