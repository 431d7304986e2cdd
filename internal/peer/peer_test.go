package peer

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type echo struct{ entered chan struct{} }

func (e *echo) Say(in string, out *string) error { *out = in; return nil }

func (e *echo) Hang(_ string, _ *string) error {
	close(e.entered)
	select {}
}

func serve(t *testing.T, addr string, e *echo) *Server {
	t.Helper()
	s, err := Listen(addr)
	require.NoError(t, err)
	require.NoError(t, s.Register("Echo", e))
	go s.Serve()
	return s
}

func TestCallReturnsReply(t *testing.T) {
	s := serve(t, "127.0.0.1:0", &echo{})
	defer s.Close()
	c := NewClient(s.Addr(), 2)
	defer c.Close()
	var out string
	require.NoError(t, c.Call(context.Background(), "Echo.Say", "x", &out))
	require.Equal(t, "x", out)
}

// Guards against mixing up two errors after a connection has broken. A call that
// was pending must be reported as lost; the next call must be reported as not
// sent, so that its request may be sent to another peer.
func TestBrokenConnectionDistinguishesUnsentFromLostCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := l.Accept()
		accepted <- conn
	}()
	c := NewClient(l.Addr().String(), 1)
	defer c.Close()
	waiting := make(chan error, 1)
	go func() { waiting <- c.Call(context.Background(), "Echo.Hang", "x", new(string)) }()
	conn := <-accepted
	// Once the first byte has arrived, the call is in flight.
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	l.Close()
	conn.Close()
	require.ErrorIs(t, <-waiting, ErrLost)
	err = c.Call(context.Background(), "Echo.Say", "x", new(string))
	require.ErrorIs(t, err, ErrNotSent)
}

func TestDeadlineEndsCall(t *testing.T) {
	e := &echo{entered: make(chan struct{})}
	s := serve(t, "127.0.0.1:0", e)
	c := NewClient(s.Addr(), 1)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, c.Call(ctx, "Echo.Hang", "x", new(string)), ErrLost)
}

// Guards against a caller that gets parts of another caller's answer. After
// a message that cannot be decoded, for example from a peer of an incompatible
// version, the rest of its bytes would be read as the next message.
func TestUndecodableMessageClosesTheConnection(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	go func() {
		c := newCodec(server, ReplyBounds{}.newMeter(server))
		_ = c.write("m", "not a response header", "rest")
	}()
	c := newCodec(client, ReplyBounds{}.newMeter(client))
	require.Error(t, clientCodec{c}.ReadResponseHeader(new(rpc.Response)))
	_, err := client.Write([]byte("x"))
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

func TestMessagesOfTwoVersionsAreCompatible(t *testing.T) {
	type older struct{ A string }
	type newer struct {
		A string
		B int
	}
	for _, c := range []struct{ sent, got, want any }{
		{newer{"a", 2}, &older{}, &older{"a"}},
		{older{"a"}, &newer{}, &newer{"a", 0}},
	} {
		client, server := net.Pipe()
		go func() { _ = newCodec(server, ReplyBounds{}.newMeter(server)).write("m", c.sent, "body") }()
		require.NoError(t, newCodec(client, ReplyBounds{}.newMeter(client)).readMessage(c.got, maxMessage))
		require.Equal(t, c.want, c.got)
		client.Close()
		server.Close()
	}
}

type slowEcho struct{ entered, release chan struct{} }

func (e *slowEcho) Late(in string, out *string) error {
	close(e.entered)
	<-e.release
	*out = in
	return nil
}

func (e *slowEcho) Say(in string, out *string) error { *out = in; return nil }

// Guards against a reply that arrives just as the call times out and is decoded into
// the caller's value while the caller reads it. For a vote on an idempotency record that
// would let a request run twice.
func TestLateReplyDoesNotReachTheCaller(t *testing.T) {
	e := &slowEcho{entered: make(chan struct{}), release: make(chan struct{})}
	s, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, s.Register("Echo", e))
	go s.Serve()
	c := NewClient(s.Addr(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	late, ended := "untouched", make(chan error, 1)
	go func() { ended <- c.Call(ctx, "Echo.Late", "late", &late) }()
	<-e.entered
	cancel()
	require.ErrorIs(t, <-ended, ErrLost)
	close(e.release)
	// After 100 more replies on the one connection, the late reply has been read.
	for range 100 {
		var next string
		require.NoError(t, c.Call(context.Background(), "Echo.Say", "next", &next))
	}
	require.Equal(t, "untouched", late)
}
