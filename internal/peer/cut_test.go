package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/virtualnet"
)

// reconnectBound is the time within which calls succeed again after the end of a cut.
const reconnectBound = 500 * time.Millisecond

// Guards against peers that stay apart after the end of a cut for as long again as the cut lasted.
func TestCallsSucceedSoonAfterACutOfAnyLength(t *testing.T) {
	for name, newClient := range map[string]func(string, int) *Client{"control": NewClient, "requests": NewRequestClient} {
		for _, cut := range []time.Duration{100, 500, 650, 1000, 1500, 3100, 7000, 15000, 40000} {
			cut *= time.Millisecond
			t.Run(fmt.Sprint(name, " ", cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					network := virtualnet.New()
					s, err := NewServer(network.Listen("b"))
					require.NoError(t, err)
					require.NoError(t, s.Register("Echo", &echo{}))
					go s.Serve()
					defer s.Close()
					c := newClient("b", 1)
					defer c.Close()
					c.UseDial(func(ctx context.Context, addr string) (net.Conn, error) { return network.Dial(ctx, "a", addr) })
					call := func() error {
						ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
						defer cancel()
						return c.Call(ctx, "Echo.Say", "x", new(string))
					}
					require.NoError(t, call())
					network.Cut("a", "b")
					network.Cut("b", "a")
					healed := time.Now().Add(cut)
					time.AfterFunc(cut, func() {
						network.Heal("a", "b")
						network.Heal("b", "a")
					})
					for call() != nil || time.Now().Before(healed) {
						require.Less(t, time.Since(healed), 2*cut+time.Minute)
						time.Sleep(100 * time.Millisecond)
					}
					t.Log("after", time.Since(healed))
					require.LessOrEqual(t, time.Since(healed), reconnectBound)
				})
			})
		}
	}
}
