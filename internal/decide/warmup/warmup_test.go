package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/decide/rendezvous"
)

// bound is the number of requests per second that targets bear in these tests.
const bound = 16.1

func candidates(n int) []rendezvous.Candidate {
	out := make([]rendezvous.Candidate, n)
	for i := range out {
		out[i] = rendezvous.Candidate{VM: fmt.Sprintf("vm-%d", i), DataCentre: []string{"a", "b", "c"}[i%3]}
	}
	return out
}

// simulate lets VMs offer far more requests to a target than it bears and returns the most that arrive within
// a second. lists holds the list by which each VM chooses, jitter bounds the time on the way.
func simulate(vms []rendezvous.Candidate, lists [][]rendezvous.Candidate, jitter time.Duration, rnd *rand.Rand) (most, total int) {
	limit := LimitFor(bound)
	var meters []*Meter
	for i, vm := range vms {
		if limit.IsSender(vm.VM, lists[i], "t", "a") {
			meters = append(meters, new(Meter))
		}
	}
	var arrivals []time.Duration
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		for _, m := range meters {
			if !m.Allows(limit, now) {
				continue
			}
			m.Sent(limit, now)
			arrivals = append(arrivals, now+time.Duration(rnd.Int64N(int64(jitter))))
		}
	}
	for _, begin := range arrivals {
		n := 0
		for _, at := range arrivals {
			if at >= begin && at < begin+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most, len(arrivals)
}

// Guards against a cold target that is overrun by VMs which each count their own requests.
func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
	for _, n := range []int{1, 3, 10, 90, 300} {
		vms := candidates(n)
		lists := make([][]rendezvous.Candidate, n)
		for i := range lists {
			lists[i] = vms
		}
		most, total := simulate(vms, lists, 80*time.Millisecond, rand.New(rand.NewPCG(1, uint64(n))))
		require.LessOrEqual(t, float64(most), bound, "%d VMs", n)
		if n >= 10 {
			require.GreaterOrEqual(t, total, 20, "%d VMs: the target is used while it warms up", n)
		}
	}
}

// Guards against VMs that choose the senders by an older list and add their requests to those of the others.
func TestColdTargetGetsNoMoreThanItBearsWhileSomeVMsKnowAnOlderList(t *testing.T) {
	for _, n := range []int{10, 90, 300} {
		for seed := range uint64(20) {
			rnd := rand.New(rand.NewPCG(2, seed))
			vms := candidates(n)
			older := vms[:n-n/5]
			lists := make([][]rendezvous.Candidate, n)
			for i := range lists {
				lists[i] = vms
				if rnd.IntN(2) == 0 {
					lists[i] = older
				}
			}
			most, _ := simulate(vms, lists, 80*time.Millisecond, rnd)
			require.LessOrEqual(t, float64(most), bound, "%d VMs, seed %d", n, seed)
		}
	}
}

func TestUnknownVMSendsNothing(t *testing.T) {
	require.False(t, LimitFor(bound).IsSender("new", candidates(2), "t", "a"))
}

func TestSmallLimitsAreKept(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 1, 1.9, 2, 3, 7.9, 8, 16.1, 100} {
		l := LimitFor(perSecond)
		require.LessOrEqual(t, float64(differingViews*l.Senders*l.PerSender), perSecond)
	}
	require.False(t, LimitFor(1.9).IsSender("vm-0", candidates(1), "t", "a"))
}
