package upstream

import (
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link/linktest"
)

// Guards against an answer whose head breaks off and that is taken for a whole one with a short body.
func TestTruncatedHeadIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"interim":   "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			linktest.EachTruncation(t, answer, len(answer), func(t *testing.T, b linktest.Truncation) {
				p := NewPool(linktest.ServeTruncation(t, b), metrics.NewCounter())
				defer p.Close()
				_, err := p.Exchange(t.Context(), request("1"), AnyConn)
				require.ErrorIs(t, err, ErrLost)
			})
		})
	}
}
