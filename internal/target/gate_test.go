package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/caller"
)

// departing is a caller that leaves when it is asked the n-th time.
type departing struct{ left atomic.Int32 }

// Left implements caller.Connection.
func (d *departing) Left() bool { return d.left.Add(-1) < 0 }

// Guards against requests that net/http sends to a target after their callers left, on new and on kept connections.
func TestRequestOfACallerThatLeftIsNotSent(t *testing.T) {
	var ran atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	defer server.Close()
	s := NewSender(1)
	defer s.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	here := new(departing)
	here.left.Store(1)
	for _, ctx := range []context.Context{caller.WithConnection(t.Context(), new(departing)), t.Context(), caller.WithConnection(t.Context(), new(departing))} {
		_, err := s.Send(ctx, attempt(addr))
		if ctx == t.Context() {
			require.NoError(t, err)
			continue
		}
		require.ErrorIs(t, err, ErrUnsent)
		require.ErrorIs(t, err, ErrWithheld)
		require.ErrorIs(t, err, caller.ErrLeft)
	}
	_, err := s.Send(caller.WithConnection(t.Context(), here), attempt(addr))
	require.NoError(t, err, "a caller that is asked once and waits")
	require.EqualValues(t, 2, ran.Load())
}
