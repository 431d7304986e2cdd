package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the second answer to a request that is taken for that to its second send, or to one without an id.
func TestSecondAnswerIsNotTakenForThatToTheSecondSend(t *testing.T) {
	for _, id := range []string{"1", ""} {
		t.Run("id "+id, func(t *testing.T) {
			// The first answer on a connection is sent again when the next request has arrived.
			p := scriptedServer(t, func(n int, c net.Conn, in *bufio.Reader) {
				copied := ""
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					own := answer(r.Header.Get("Id"), fmt.Sprint("connection ", n))
					_, _ = io.WriteString(c, copied+own)
					copied = own
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			first, err := p.Exchange(ctx, request(id), AnyConn)
			require.NoError(t, err)
			require.Equal(t, "connection 0", string(first.Body))
			second, err := p.Exchange(ctx, request(id), AnyConn)
			require.NoError(t, err)
			require.Equal(t, "connection 1", string(second.Body))
			other, err := p.Exchange(ctx, request("2"), AnyConn)
			require.NoError(t, err)
			require.Equal(t, "2", other.Header.Get("Id"))
			_, err = p.Exchange(ctx, request(id), KeptConn)
			require.ErrorIs(t, err, ErrNoKeptConn)
			require.EqualValues(t, 2, p.dials.Count())
		})
	}
}

// Guards against connections that are never used again by a request whose id may not be sent any more.
func TestSentRequestIsForgottenAfterItsDeadline(t *testing.T) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(time.Second))
	defer cancel()
	var sent sentRequests
	sent.add(ctx, request("1"), now)
	require.True(t, sent.contains(request("1")))
	require.False(t, sent.contains(request("2")))
	sent.add(ctx, request("2"), now.Add(2*time.Second))
	require.False(t, sent.contains(request("1")))
	require.Len(t, sent, 1)
}
