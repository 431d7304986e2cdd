package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Runs the simulation with evenly distributed random numbers. Numbers that rapid draws from a range are
// mostly small, so that a VM took over every fifth step and no hold expired within an epoch. For this reason
// the random runs missed two owners after a cut of six seconds. Here an epoch lasts many holds, and the keys
// of silent owners are reassigned as the gateway does.
func TestNoKeyHasTwoOwnersInLongEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		steps := rapid.IntRange(200, 3000).Draw(t, "steps")
		sim := newSimulation(
			func(low, high int, _ string) int { return low + random.IntN(high-low+1) },
			func(text string) { t.Fatalf("%s", text) },
		)
		sim.takeOver(0)
		for range steps {
			injectRareFault(random, sim)
			sim.step()
		}
	})
}

// rareFaults lists the faults and the number of steps in a thousand at which each is injected.
var rareFaults = []struct {
	perMille int
	inject   func(random *rand.Rand, sim *simulation, vm, target int)
}{
	{3, func(_ *rand.Rand, sim *simulation, vm, _ int) { sim.takeOver(vm) }},
	{30, func(c *rand.Rand, sim *simulation, vm, target int) { sim.moveSlice(vm, c.IntN(simUnits), target) }},
	{200, func(_ *rand.Rand, sim *simulation, vm, target int) { sim.moveFromSilent(vm, target) }},
	{5, func(_ *rand.Rand, sim *simulation, _, target int) { sim.restartTarget(target) }},
	{5, func(c *rand.Rand, sim *simulation, vm, _ int) { sim.suspend(vm, randomSpan(c, 20)) }},
	{5, func(c *rand.Rand, sim *simulation, vm, _ int) { sim.cutStore(vm, randomSpan(c, 30)) }},
	{10, func(c *rand.Rand, sim *simulation, vm, target int) { sim.cutTarget(vm, target, randomSpan(c, 30)) }},
	{5, func(_ *rand.Rand, sim *simulation, vm, _ int) { sim.restartVM(vm) }},
	{10, func(c *rand.Rand, sim *simulation, vm, target int) { sim.stallGrants(vm, target, randomSpan(c, 12)) }},
	{100, func(_ *rand.Rand, sim *simulation, vm, _ int) { sim.readEpoch(vm) }},
	{20, func(c *rand.Rand, sim *simulation, vm, _ int) {
		sim.splitSlice(vm, c.IntN(simUnits), c.IntN(simUnits-1))
	}},
}

// randomSpan draws a duration that need not be a multiple of the simulation step.
func randomSpan(c *rand.Rand, maxSeconds int) time.Duration {
	return time.Duration(c.Int64N(int64(maxSeconds) * int64(time.Second)))
}

// injectRareFault injects at most one of rareFaults.
func injectRareFault(random *rand.Rand, sim *simulation) {
	at, vm, target := random.IntN(1000), random.IntN(simVMs), random.IntN(simTargets)
	for _, d := range rareFaults {
		if at -= d.perMille; at < 0 {
			d.inject(random, sim, vm, target)
			return
		}
	}
}
