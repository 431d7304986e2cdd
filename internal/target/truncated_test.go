package target

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/standin/link/linktest"
	"hemlockquay/internal/wire"
)

// Guards against a head that breaks off and that a dispatcher takes for a whole answer, or for a refusal.
func TestTruncatedHeadIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nHq-Ran: no\r\nHq-Refused: shed\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			linktest.EachTruncation(t, answer, len(answer), func(t *testing.T, b linktest.Truncation) {
				s := NewSender(1)
				defer s.Close()
				_, err := s.Send(t.Context(), &Attempt{
					Request: &wire.Request{ID: "r-1", Method: "POST", Path: "/x", Body: []byte("in")}, Target: model.Target{Addr: linktest.ServeTruncation(t, b)},
					MaxAnswer: 100, Deadline: time.Now().Add(time.Minute),
				})
				require.Error(t, err)
				require.NotErrorIs(t, err, ErrUnsent)
				var refused *RefusedError
				require.NotErrorAs(t, err, &refused)
			})
		})
	}
}
