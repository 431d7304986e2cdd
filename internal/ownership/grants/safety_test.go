package grants

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type rapidSource struct{ t *rapid.T }

func (d rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "n") }

// TestNeverTwoOwners: a user would see a key answered by two targets with
// different state. Losses, pauses, cuts, restarts, moves and a store that is cut
// off come in any order; whatever they do, one target at most serves a slice.
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

// simulate walks from the seed and returns the first fault.
func simulate(seed uint64, steps int, mutation mutation) error {
	sim := newSimulation(rand.New(rand.NewPCG(seed, 0)), mutation)
	for range steps {
		if err := sim.step(); err != nil {
			return err
		}
	}
	return nil
}

// TestLongWalks is the same with longer walks from fixed seeds, and shows that
// they come somewhere: keys are served, by several targets.
func TestLongWalks(t *testing.T) {
	served, owners := 0, 0
	for seed := range uint64(60) {
		sim := newSimulation(rand.New(rand.NewPCG(seed, 0)), "")
		for i := range 3000 {
			require.NoError(t, sim.step(), "seed %d step %d", seed, i)
		}
		served += sim.servedChecks
		owners += len(sim.servedBy)
	}
	t.Logf("slices served at a check: %d; owners of a group, mean: %.1f", served, float64(owners)/120)
	require.Greater(t, owners, 2*120)
}

// TestBrokenGuards takes out one guard at a time and shows the seed whose walk
// finds it: a checker that finds nothing proves nothing. A change of what agents
// do changes all walks; the seeds are then to be searched again.
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
			require.NoError(t, simulate(c.seed, 3000, ""), "with the guard")
			require.ErrorContains(t, simulate(c.seed, 3000, c.mutation), "is served by", "without the guard")
		})
	}
}
