package grants

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type rapidSource struct{ t *rapid.T }

func (d rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "n") }

// Guards against a key that two targets answer with different state. Crashes, pauses,
// partitions, restarts, moves and store outages come in any order; at most one target
// may serve a slice.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapidSource{t}, "")
		for range 300 {
			if err := sim.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// simulate runs a simulation from the seed and returns the first violation.
func simulate(seed uint64, steps int, mutation mutation) error {
	sim := newSimulation(rand.New(rand.NewPCG(seed, 0)), mutation)
	for range steps {
		if err := sim.step(); err != nil {
			return err
		}
	}
	return nil
}

// Runs longer simulations from fixed seeds, and checks that they cover something: keys are
// served, by several targets.
func TestLongSimulations(t *testing.T) {
	served, owners := 0, 0
	for seed := range uint64(60) {
		sim := newSimulation(rand.New(rand.NewPCG(seed, 0)), "")
		for i := range 3000 {
			require.NoError(t, sim.step(), "seed %d step %d", seed, i)
		}
		served += sim.servedChecks
		owners += len(sim.servedBy)
	}
	t.Logf("served slices seen by the checker: %d; mean number of owners of a group: %.1f", served, float64(owners)/120)
	require.Greater(t, owners, 2*120)
}

// Disables one safety check at a time and runs a seed whose simulation notices it, to show
// that the invariant checker can fail. A change of the agents' behaviour changes all
// simulations; the seeds must then be searched again.
func TestBrokenGuards(t *testing.T) {
	seeds := []struct {
		mutation mutation
		seed     uint64
	}{
		{forgetsPair, 16},
		{ignoresHeld, 2},
		{noWitness, 2},
		{noAuthority, 12},
		{slowWithoutWrite, 9},
		{noSlowWait, 1},
		{noMargin, 6},
		{ownAuthority, 19},
		{recordsEndAfterSend, 0},
		{ignoresOtherGrants, 2},
		{ignoresPrevious, 0},
		{anyPosition, 14},
		{acceptsUnlisted, 991},
	}
	for _, c := range seeds {
		t.Run(string(c.mutation), func(t *testing.T) {
			t.Parallel()
			require.NoError(t, simulate(c.seed, 3000, ""), "with the check")
			require.ErrorContains(t, simulate(c.seed, 3000, c.mutation), "is served by", "without the check")
		})
	}
}
