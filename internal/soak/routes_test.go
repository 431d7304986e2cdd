package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against schedules in which no route is added while watchers of the store are silent.
func TestRoutesAreAddedWhileVMsDoNotReachTheStore(t *testing.T) {
	for seed := range uint64(50) {
		s := GenerateRoutes(seed, 20*time.Second)
		require.Equal(t, s, GenerateRoutes(seed, 20*time.Second))
		require.NoError(t, s.Check())
		most := 0
		for _, route := range s.Faults {
			if route.Kind != AddRoute {
				continue
			}
			silent := 0
			for _, f := range s.Faults {
				if f.Kind == HoldLink && f.At <= route.At && route.At < f.At+f.Duration {
					silent++
				}
			}
			most = max(most, silent)
		}
		require.Positive(t, most, "seed %d", seed)
	}
}
