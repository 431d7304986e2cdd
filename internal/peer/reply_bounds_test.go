package peer

import (
	"net"
	"sync"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/budget"
)

// Guards against peers whose replies do not end and that together take the memory of the process that called them.
func TestRepliesWithoutEndStayWithinTheMemoryOfAllClients(t *testing.T) {
	for name, head := range map[string]string{
		"body":        "\x82\xadServiceMethod\xa9Echo.Text\xa3Seq\x00\xdb\x7f\xff\xff\xff",
		"header":      "\x82\xadServiceMethod\xdb\x7f\xff\xff\xff",
		"fields":      "\xdf\x7f\xff\xff\xff",
		"nested body": "\x82\xadServiceMethod\xa9Echo.Text\xa3Seq\x00",
		"array":       "\x82\xadServiceMethod\xa9Echo.Text\xa3Seq\x00\xdd\x7f\xff\xff\xff",
	} {
		t.Run(name, func(t *testing.T) {
			piece := make([]byte, 64<<10)
			if name == "nested body" {
				for i := range piece {
					piece[i] = 0x91
				}
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						_, err := conn.Write([]byte(head))
						for err == nil {
							_, err = conn.Write(piece)
						}
					}()
				}
			}()
			const memory = 8 << 20
			registry := metrics.NewRegistry()
			share := budget.New("memory", memory, registry).Share(memory)
			var calls sync.WaitGroup
			for range 8 {
				calls.Go(func() {
					c := NewClient(l.Addr().String(), 1).Within(ReplyBounds{Memory: share, Registry: registry})
					defer c.Close()
					require.Error(t, c.Call(t.Context(), "Echo.Text", "a", new(string)))
				})
			}
			calls.Wait()
			require.Eventually(t, func() bool { return share.Used() == 0 }, maxEndWait, maxEndWait/1000)
		})
	}
}
