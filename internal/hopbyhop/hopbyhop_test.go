package hopbyhop

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	h := http.Header{"X-Far": {"1"}, "Content-Type": {"text/plain"}}
	for _, name := range headers {
		h.Set(name, "x")
	}
	h["Connection"] = []string{"close, x-hop", " Connection ,keep-alive", "X-Other"}
	h["X-Hop"], h["X-Other"] = []string{"1"}, []string{"2"}
	RemoveHeaders(h)
	require.Equal(t, http.Header{"X-Far": {"1"}, "Content-Type": {"text/plain"}}, h)
}
