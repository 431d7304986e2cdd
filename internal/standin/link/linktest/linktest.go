// Package linktest starts links and HTTP servers behind them for tests.
package linktest

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/link"
)

// Serve starts an HTTP server and a link to it. Both are closed at the end of the test.
func Serve(t *testing.T, h http.Handler) *link.Link {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return To(t, server.Listener.Addr().String())
}

// To returns a link to an address. The link is closed at the end of the test.
func To(t *testing.T, addr string) *link.Link {
	t.Helper()
	l, err := link.New(addr)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}
