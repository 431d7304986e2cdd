package loadgen

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/target"
)

// Guards against direct requests without an id. A target counts running requests by id, so
// that they all shared one slot and none was shed: the baseline without dispatchers answered
// 27,000 of 27,000 requests at three times the pool's capacity.
func TestDirectRequestsHaveUniqueIDs(t *testing.T) {
	ids := make(map[string]bool)
	for _, id := range []string{"a", "b"} {
		h := make(http.Header)
		setHeaders(h, &Workload{Direct: true}, call{id: id})
		ids[h.Get(target.HeaderRequestID)] = true
	}
	require.Equal(t, map[string]bool{"a": true, "b": true}, ids)
}
