package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against schedules in which no route is added while a VM is starved.
func TestRoutesAreAddedWhileVMsAreStarved(t *testing.T) {
	for seed := range uint64(50) {
		s := GenerateStarved(seed, 20*time.Second)
		require.Equal(t, s, GenerateStarved(seed, 20*time.Second))
		require.NoError(t, s.Check())
		starved := 0
		for _, route := range s.Faults {
			for _, f := range s.Faults {
				if route.Kind == AddRoute && f.Kind == Starve && f.At <= route.At && route.At+route.Duration < f.At+f.Duration {
					starved++
				}
			}
		}
		require.Positive(t, starved, "seed %d", seed)
	}
}
