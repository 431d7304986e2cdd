package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runCutAndMove simulates an owner that is cut off from the grantor for six seconds while its keys move to
// another target. It returns the first violation of single ownership, if there is one.
func runCutAndMove(closeWithoutReset bool) (violation string) {
	sim := newSimulation(deterministicDraw, func(text string) {
		if violation == "" {
			violation = text
		}
	})
	sim.noLostAnswers, sim.closeWithoutReset = true, closeWithoutReset
	sim.takeOver(0)
	for range 40 {
		sim.step()
	}
	sim.vms[0].targetCutUntil[0] = sim.now + 6*time.Second
	for range 34 {
		sim.step()
	}
	sim.moveSlice(0, 0, 1)
	for range 200 {
		sim.readEpoch(0)
		sim.step()
	}
	return violation
}

// Guards against a simulation that misses grants delayed by a network cut. Renewals to an owner behind a cut
// timed out, but arrived when the cut ended and another target held its keys. Random runs did not find
// this while the simulation did not keep data in transit during a cut. The simulation must report two
// owners if connections are only closed, and none if they are reset.
func TestAbandonedGrantsBreakOwnershipOnlyWithoutReset(t *testing.T) {
	require.Contains(t, runCutAndMove(true), "has owners [0 1]")
	require.Empty(t, runCutAndMove(false))
}
