package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller with a large upload gets no answer long after its deadline, and the calls that
// share the connection wait behind it. The other VM does not read; the call is given up, but
// net/rpc is still writing it, and the client looks at the deadline only after that.
func TestACallThatIsStillBeingWrittenEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	c := NewRequestClient(l.Addr().String(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	body := make([]byte, 64<<20)
	go func() { ended <- c.Call(ctx, "Echo.Take", body, new(string)) }()
	conn := <-accepted
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err, "the call is being written")
	cancel()
	var got error
	select {
	case got = <-ended:
	case <-time.After(endsMost):
		got = errors.New("the call has not ended")
	}
	_ = conn.Close()
	require.ErrorIs(t, got, context.Canceled)
}
