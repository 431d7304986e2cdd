package loadgen

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/target"
)

// The baseline without dispatchers answered 27,000 requests of 27,000 at three times
// the pool's capacity. Its requests bore no id, and a target counts what it runs by
// id: all of them took one slot together and none was ever shed.
func TestDirectRequestsHaveUniqueIDs(t *testing.T) {
	ids := make(map[string]bool)
	for _, id := range []string{"a", "b"} {
		h := make(http.Header)
		setHeaders(h, &Workload{Direct: true}, call{id: id})
		ids[h.Get(target.HeaderRequestID)] = true
	}
	require.Equal(t, map[string]bool{"a": true, "b": true}, ids)
}
