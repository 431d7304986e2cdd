package relay

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a status that promises a caller that its request has not run, although the target has run it.
func TestNoStatusPromisesWhatTheTargetDoesNotSay(t *testing.T) {
	promises := []int{408, 421, 429, 503}
	for status := 100; status <= 599; status++ {
		for _, idempotent := range []bool{false, true} {
			for _, c := range []Convention{ByStatus, ByHeader} {
				require.Equal(t, NotRun, Of(c, Answer{Status: status, Idempotent: idempotent, SaysNotRun: true}), "status %d", status)
			}
			want := PassOn
			switch {
			case status < 200, status == 503, !idempotent && slices.Contains(promises, status):
				want = Withhold
			case status >= 500:
				want = Failed
			}
			require.Equal(t, want, Of(ByStatus, Answer{Status: status, Idempotent: idempotent}), "status %d, idempotent %v", status, idempotent)
			want = PassOn
			if status < 200 {
				want = Withhold
			}
			require.Equal(t, want, Of(ByHeader, Answer{Status: status, Idempotent: idempotent}), "status %d, idempotent %v", status, idempotent)
		}
	}
	for _, status := range []int{-1, 0, 99, 600, 700, 1000} {
		require.Equal(t, Withhold, Of(ByStatus, Answer{Status: status, Idempotent: true}))
		require.Equal(t, Withhold, Of(ByHeader, Answer{Status: status, Idempotent: true}))
	}
}
