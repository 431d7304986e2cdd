package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against schedules whose limits never change, end or come again, or come beside no faults of VMs.
func TestGeneratedLimitsChangeEndAndComeAgain(t *testing.T) {
	changed, vmFaults := 0, 0
	for seed := range uint64(50) {
		s := GenerateLimits(seed, 20*time.Second)
		require.Equal(t, s, GenerateLimits(seed, 20*time.Second))
		require.NoError(t, s.Check())
		latest := make(map[string]float64)
		for _, f := range s.Faults {
			if f.Kind != StateLimit {
				vmFaults++
				continue
			}
			if before, known := latest[f.Subject]; known && before != f.Limit {
				changed++
			}
			latest[f.Subject] = f.Limit
		}
		require.NotEmpty(t, latest)
	}
	require.Greater(t, changed, 50)
	require.Greater(t, vmFaults, 50)
}

func TestAllowedRequestsFollowTheStatedLimits(t *testing.T) {
	begin := time.Now()
	l := &limitWatch{since: begin, values: []statedLimit{{begin, 2}, {begin.Add(3 * time.Second), 6}}}
	require.InDelta(t, 2*4, l.allowed(begin.Add(2*time.Second)), 1e-9)
	require.InDelta(t, 2*2+6*2, l.allowed(begin.Add(5*time.Second)), 1e-9)
	require.InDelta(t, 6*4, l.allowed(begin.Add(20*time.Second)), 1e-9)
}
