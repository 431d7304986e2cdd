package repeats

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet simulates, in steps, the VMs that forward requests to one service, and counts the
// requests and repeats that the service receives.
type fleet struct {
	limit             Limit
	budgets           []Budget
	weights           []float64
	requests, repeats []float64
	random            *rand.Rand
}

const step = 100 * time.Millisecond

func newFleet(vms int, slack float64, seed uint64) *fleet {
	f := &fleet{
		limit: Limit{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}, budgets: make([]Budget, vms),
		weights: make([]float64, vms), random: rand.New(rand.NewPCG(seed, 1)),
	}
	f.moveCallers()
	return f
}

// moveCallers moves callers to other VMs.
func (f *fleet) moveCallers() {
	total := 0.0
	for i := range f.weights {
		f.weights[i] = f.random.ExpFloat64()
		total += f.weights[i]
	}
	for i := range f.weights {
		f.weights[i] /= total
	}
}

// restart restarts the processes of a share of the VMs.
func (f *fleet) restart(share float64) {
	for i := range f.budgets {
		if f.random.Float64() < share {
			f.budgets[i] = Budget{}
		}
	}
}

// run simulates one step in which the given number of requests arrive. If they fail, each VM
// sends all repeats that its budget grants.
func (f *fleet) run(requests float64, fails bool) {
	now := time.Duration(len(f.requests)+1) * step
	seen, again := 0.0, 0.0
	for i := range f.budgets {
		share := requests * f.weights[i]
		n := int(share)
		if f.random.Float64() < share-float64(n) {
			n++
		}
		for range n {
			f.budgets[i].AddRequest(f.limit, now)
		}
		seen += float64(n)
		for fails && f.budgets[i].TakeRepeat(f.limit, len(f.budgets), now).Granted {
			again++
		}
	}
	f.requests, f.repeats = append(f.requests, seen), append(f.repeats, again)
}

// excess returns by how much the worst window exceeds the bound. The requests of a window are
// those of the window itself, of the window before it, or of the window that starts half a window
// earlier, whichever has the most.
func (f *fleet) excess() float64 {
	width := int(f.limit.Window / step)
	in := func(counts []float64, from int) float64 {
		return sum(counts[min(max(from, 0), len(counts)):min(max(from+width, 0), len(counts))])
	}
	worst := -f.limit.Slack
	for from := range f.requests {
		most := max(in(f.requests, from), in(f.requests, from-width), in(f.requests, from-width/2))
		worst = max(worst, in(f.repeats, from)-f.limit.Ratio*most-f.limit.Slack)
	}
	return worst
}

// requireBoundDuringOverload simulates 12 s of normal operation, then 13 s in which all requests
// fail, with an event 1 s after the failures begin, for three fleet sizes.
func requireBoundDuringOverload(t *testing.T, event func(f *fleet)) {
	const overloadAt, eventAt, steps = 120, 130, 250
	for _, vms := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			f := newFleet(vms, 2*float64(vms), 1)
			for i := range steps {
				if i == eventAt {
					event(f)
				}
				f.run(10*float64(vms), i >= overloadAt)
			}
			require.LessOrEqual(t, f.excess(), 0.0)
		})
	}
}

// Guards against a restart that refills a budget whose saved repeats are spent.
func TestRepeatsStayWithinTheBoundWhenAllVMsRestart(t *testing.T) {
	requireBoundDuringOverload(t, func(f *fleet) { f.restart(1) })
}

// Guards against repeats over the bound when callers move away from VMs that have spent their
// saved repeats.
func TestRepeatsStayWithinTheBoundWhenCallersMove(t *testing.T) {
	requireBoundDuringOverload(t, func(f *fleet) {
		vms := len(f.weights)
		for i := range f.weights {
			f.weights[i] = 0
			if i >= vms/2 {
				f.weights[i] = 2 / float64(vms)
			}
		}
	})
}

// Guards against any sequence of restarts, moves of callers and surges in which a window exceeds
// the bound.
func TestNoOrderOfRestartsMovesAndSurgesExceedsTheBound(t *testing.T) {
	const steps = 300
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SampledFrom([]int{10, 10, 10, 100, 300}).Draw(t, "vms")
		slack := float64(vms) * rapid.Float64Range(1.3, 6).Draw(t, "slack per VM")
		f := newFleet(vms, slack, rapid.Uint64().Draw(t, "seed"))
		rate, fails := 0.0, false
		for i := range steps {
			if i%5 == 0 && rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				rate = float64(rapid.SampledFrom([]int{0, 1, 5, 20, 100}).Draw(t, "requests a VM and second")*vms) * step.Seconds()
			}
			if rapid.IntRange(0, 9).Draw(t, "turn") == 0 {
				fails = !fails
			}
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				f.restart(rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "share"))
			case 1:
				f.moveCallers()
			}
			f.run(rate, fails)
		}
		require.LessOrEqual(t, f.excess(), 0.0)
	})
}
