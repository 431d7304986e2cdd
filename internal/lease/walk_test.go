package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Two owners after a cut of six seconds were found by no random walk: numbers that rapid
// draws from a range are mostly small, so that a VM took over every fifth step, and no hold
// ran out within an epoch. These walks draw evenly: an epoch lasts many holds, and keys of
// silent owners are given to others as the gateway does.
func TestNoKeyHasTwoOwnersInLongEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "walk"), 0))
		steps := rapid.IntRange(200, 3000).Draw(t, "steps")
		w := startWorld(
			func(least, most int, _ string) int { return least + chance.IntN(most-least+1) },
			func(text string) { t.Fatalf("%s", text) },
		)
		w.takeOver(0)
		for range steps {
			disturbSeldom(chance, w)
			w.tick()
		}
	})
}

// seldom are the disturbances of a walk, each with how many of a thousand steps have it.
var seldom = []struct {
	perMille int
	strike   func(chance *rand.Rand, w *world, vm, target int)
}{
	{3, func(_ *rand.Rand, w *world, vm, _ int) { w.takeOver(vm) }},
	{30, func(c *rand.Rand, w *world, vm, target int) { w.move(vm, c.IntN(worldUnits), target) }},
	{200, func(_ *rand.Rand, w *world, vm, target int) { w.moveSilent(vm, target) }},
	{5, func(_ *rand.Rand, w *world, _, target int) { w.restart(target) }},
	{5, func(c *rand.Rand, w *world, vm, _ int) { w.freeze(vm, seconds(c, 20)) }},
	{5, func(c *rand.Rand, w *world, vm, _ int) { w.cutStore(vm, seconds(c, 30)) }},
	{10, func(c *rand.Rand, w *world, vm, target int) { w.cutTarget(vm, target, seconds(c, 30)) }},
	{5, func(_ *rand.Rand, w *world, vm, _ int) { w.kill(vm) }},
	{10, func(c *rand.Rand, w *world, vm, target int) { w.stall(vm, target, seconds(c, 12)) }},
	{100, func(_ *rand.Rand, w *world, vm, _ int) { w.readEpoch(vm) }},
	{20, func(c *rand.Rand, w *world, vm, _ int) { w.divide(vm, c.IntN(worldUnits), c.IntN(worldUnits-1)) }},
}

// seconds draws a span, which need not end at a step.
func seconds(c *rand.Rand, most int) time.Duration {
	return time.Duration(c.Int64N(int64(most) * int64(time.Second)))
}

func disturbSeldom(chance *rand.Rand, w *world) {
	at, vm, target := chance.IntN(1000), chance.IntN(worldVMs), chance.IntN(worldTargets)
	for _, d := range seldom {
		if at -= d.perMille; at < 0 {
			d.strike(chance, w, vm, target)
			return
		}
	}
}
