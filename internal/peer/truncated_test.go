package peer

import (
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// truncatingListener accepts connections that end after a number of bytes towards the caller.
type truncatingListener struct {
	net.Listener
	left  *atomic.Int64
	reset bool
}

type truncatedConn struct {
	net.Conn
	left  *atomic.Int64
	reset bool
}

func (l truncatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return truncatedConn{c, l.left, l.reset}, err
}

func (c truncatedConn) Write(p []byte) (int, error) {
	left := c.left.Add(-int64(len(p))) + int64(len(p))
	if left >= int64(len(p)) {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:max(left, 0)])
	if c.reset {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Conn.Close()
	return n, net.ErrClosed
}

// Report is a reply with a status and a body, like that to a forwarded request.
type Report struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
}

type reporter struct{ calls atomic.Int64 }

func (r *reporter) Send(_ string, out *Report) error {
	r.calls.Add(1)
	out.Status, out.Body = 200, []byte(strings.Repeat("b", 40))
	return nil
}

// Guards against a reply between VMs that breaks off and counts as whole, as an error of the other VM, or as not sent.
func TestTruncatedReplyIsALostCall(t *testing.T) {
	call := func(t *testing.T, bytes int64, reset bool) (*Report, *reporter, int64, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		left := new(atomic.Int64)
		left.Store(bytes)
		s, err := NewServer(truncatingListener{l, left, reset})
		require.NoError(t, err)
		r := new(reporter)
		require.NoError(t, s.Register("Report", r))
		go s.Serve()
		defer s.Close()
		c := NewClient(s.Addr(), 1)
		defer c.Close()
		out := new(Report)
		err = c.Call(t.Context(), "Report.Send", "x", out)
		return out, r, bytes - left.Load(), err
	}
	whole, _, size, err := call(t, 1<<20, false)
	require.NoError(t, err)
	require.Len(t, whole.Body, 40)
	for n := range size {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, reset %t", n, reset), func(t *testing.T) {
				_, r, _, err := call(t, n, reset)
				require.Error(t, err)
				require.NotErrorIs(t, err, ErrNotSent)
				var other rpc.ServerError
				require.NotErrorAs(t, err, &other)
				require.EqualValues(t, 1, r.calls.Load(), "calls that ran")
			})
		}
	}
}
