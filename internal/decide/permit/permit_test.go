package permit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/decide/rendezvous"
	_ "hemlockquay/internal/fixedseed"
)

// The users' bound on what a target gets in any windowSpan.
const boundExcess, boundSlack = 1.5, 5

func bound(perSecond float64) int {
	return int(boundExcess*perSecond*windowSpan.Seconds() + boundSlack)
}

// fleet plays VMs that send requests to one target, without a network or clock.
type fleet struct {
	draw       *rand.Rand
	now        time.Duration
	perSecond  float64
	vms        []*fleetVM
	candidates []rendezvous.Candidate
	// orders holds the order of the VMs by the number of VMs that are known.
	orders   map[int][]int
	arrivals []time.Duration
}

// fleetVM is a VM of a fleet. A VM that is down is stopped or cut off from the others.
type fleetVM struct {
	tenure Tenure
	down   bool
	// knows is the number of VMs in its list, which lags while VMs join.
	knows int
	// failed holds when a call to another VM last failed.
	failed map[int]time.Duration
}

// fleetDelay bounds the time from a permit to the arrival of the request.
const fleetDelay = 200 * time.Millisecond

func newFleet(seed uint64, vms int, perSecond float64) *fleet {
	f := &fleet{draw: rand.New(rand.NewPCG(seed, uint64(vms))), perSecond: perSecond, orders: make(map[int][]int)}
	for range vms {
		f.join()
	}
	for _, vm := range f.vms {
		vm.knows = vms
	}
	return f
}

func (f *fleet) join() {
	f.candidates = append(f.candidates, rendezvous.Candidate{VM: fmt.Sprint("vm-", len(f.vms)), DataCentre: "a"})
	f.vms = append(f.vms, &fleetVM{knows: len(f.candidates), failed: make(map[int]time.Duration)})
}

// order returns the VMs in the order in which they may hold the permits, as a VM knows it that knows some of them.
func (f *fleet) order(knows int) []int {
	if f.orders[knows] == nil {
		f.orders[knows] = rendezvous.Rank(f.candidates[:knows], "t", "a")
	}
	return f.orders[knows]
}

// reaches reports whether a call of VM i to VM j is answered. A failed one is remembered for a second.
func (f *fleet) reaches(i, j int) bool {
	vm := f.vms[i]
	if at, known := vm.failed[j]; known && f.now-at < time.Second {
		return false
	}
	if vm.down || f.vms[j].down {
		vm.failed[j] = f.now
		return false
	}
	return true
}

// ask has VM i ask the holder for a permit, by the rules of the gateway.
func (f *fleet) ask(i int) bool {
	for _, j := range f.order(f.vms[i].knows) {
		if j != i && !f.reaches(i, j) {
			continue
		}
		if granted, holds := f.answer(j); holds {
			return granted
		}
	}
	return false
}

// answer has VM j decide about a request for a permit. holds is false if a VM before it answers.
func (f *fleet) answer(j int) (granted, holds bool) {
	vm := f.vms[j]
	first := true
	for _, k := range f.order(vm.knows) {
		if k == j {
			break
		}
		first = false
		if f.reaches(j, k) {
			vm.tenure.Yield()
			return false, false
		}
	}
	vm.tenure.Hold(first, f.now)
	return vm.tenure.Take(f.perSecond, false, f.now).Granted, true
}

// offer sends requests at a mean rate per second for some time. Requests of VMs that are down do not count.
func (f *fleet) offer(perSecond float64, over time.Duration) {
	for end := f.now + over; f.now < end; {
		f.now += seconds(f.draw.ExpFloat64() / perSecond)
		i := f.draw.IntN(len(f.vms))
		if !f.vms[i].down && f.ask(i) {
			f.arrivals = append(f.arrivals, f.now+time.Duration(f.draw.Int64N(int64(fleetDelay))))
		}
	}
}

// most returns the most arrivals in any windowSpan.
func (f *fleet) most() (most int) {
	sorted, first := slices.Sorted(slices.Values(f.arrivals)), 0
	for i, at := range sorted {
		for at-sorted[first] >= windowSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var fleetSizes = []int{1, 9, 82, 195, 300}

// Guards against VMs that together exceed the limit, or leave most of it unused.
func TestLimitHoldsOverAllVMsAndIsUsed(t *testing.T) {
	for _, vms := range fleetSizes {
		for _, perSecond := range []float64{0, 0.05, 0.5, 2.6, 3.4, 30} {
			f := newFleet(1, vms, perSecond)
			f.offer(5+3*perSecond, time.Minute)
			require.LessOrEqual(t, f.most(), bound(perSecond), "%d VMs, limit %v", vms, perSecond)
			if perSecond > 1 {
				used := float64(len(f.arrivals)) / time.Minute.Seconds() / perSecond
				require.GreaterOrEqual(t, used, 0.85, "%d VMs, limit %v", vms, perSecond)
			}
		}
	}
}

// Guards against permits of several holders that add up beyond the bound while VMs stop, are cut off, return and join.
func TestLimitHoldsWhileVMsStopReturnAndJoin(t *testing.T) {
	for _, vms := range []int{9, 82, 195, 300} {
		most, used := 0.0, 0
		for seed := range uint64(40) {
			f := newFleet(seed, vms, 3.4)
			for range 30 {
				f.disrupt()
				f.offer(30, time.Duration(f.draw.Int64N(int64(1500*time.Millisecond))))
			}
			most = max(most, float64(f.most())/float64(bound(f.perSecond)))
			used += len(f.arrivals)
		}
		t.Logf("%d VMs: at most %.2f of the bound", vms, most)
		require.LessOrEqual(t, most, 1.0, "%d VMs", vms)
		require.NotZero(t, used)
	}
}

// disrupt stops or cuts one of the first VMs in the order, lets those return that are down, or lets a VM join
// that some VMs do not know yet.
func (f *fleet) disrupt() {
	order := f.order(len(f.candidates))
	switch f.draw.IntN(4) {
	case 0, 1:
		f.vms[order[f.draw.IntN(min(3, len(order)))]].down = true
	case 2:
		for _, vm := range f.vms {
			if vm.down && f.draw.IntN(2) == 0 {
				// A VM that has restarted remembers nothing.
				vm.down, vm.tenure, vm.failed = false, Tenure{}, make(map[int]time.Duration)
			}
		}
	default:
		f.join()
		for _, vm := range f.vms {
			if f.draw.IntN(2) == 0 {
				vm.knows = len(f.candidates)
			}
		}
		f.offer(30, 500*time.Millisecond)
		for _, vm := range f.vms {
			vm.knows = len(f.candidates)
		}
	}
}

// Guards against a bound that any rule keeps: no permits, and a part of the limit for each VM, must exceed it.
func TestRulesOfOneVMAloneBreakTheBound(t *testing.T) {
	for _, vms := range []int{9, 82, 195, 300} {
		f := newFleet(1, vms, 3.4)
		for end := 20 * time.Second; f.now < end; f.now += seconds(f.draw.ExpFloat64() / 11.9) {
			f.arrivals = append(f.arrivals, f.now)
		}
		require.Greater(t, f.most(), bound(f.perSecond), "no permits, %d VMs", vms)
	}
	for _, vms := range []int{82, 195, 300} {
		f := newFleet(1, vms, 3.4)
		tokens, refilled := make([]float64, vms), make([]time.Duration, vms)
		for i := range tokens {
			tokens[i] = 1
		}
		for end := 20 * time.Second; f.now < end; f.now += seconds(f.draw.ExpFloat64() / 11.9) {
			i := f.draw.IntN(vms)
			tokens[i] = min(1, tokens[i]+f.perSecond/float64(vms)*(f.now-refilled[i]).Seconds())
			if refilled[i] = f.now; tokens[i] >= 1 {
				tokens[i]--
				f.arrivals = append(f.arrivals, f.now)
			}
		}
		require.Greater(t, f.most(), bound(f.perSecond), "a part for each of %d VMs", vms)
	}
}

// Two tenures at a time, with any changes between them, stay within the bound: the package's invariant.
func TestTwoHoldersStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 40).Draw(t, "limit")
		first, standby := new(Tenure), new(Tenure)
		f := &fleet{perSecond: perSecond}
		restart := rapid.SliceOfN(rapid.IntRange(0, 3000), 0, 3).Draw(t, "restarts")
		for step := range 3000 {
			f.now = time.Duration(step) * 5 * time.Millisecond
			for _, at := range restart {
				if at == step {
					*first = Tenure{}
				}
			}
			first.Hold(true, f.now)
			standby.Hold(false, f.now)
			for _, h := range []*Tenure{first, standby} {
				if h.Take(perSecond, false, f.now).Granted {
					f.arrivals = append(f.arrivals, f.now)
				}
			}
		}
		require.LessOrEqual(t, f.most(), bound(perSecond))
	})
}

// Guards against less urgent requests that take the permits of more urgent ones.
func TestUrgentRequestsGetThePermits(t *testing.T) {
	granted := func(lessUrgent bool) int {
		var tenure Tenure
		draw, urgent := rand.New(rand.NewPCG(1, 1)), 0
		for now := time.Duration(0); now < time.Minute; now += seconds(draw.ExpFloat64() / 12) {
			tenure.Hold(true, now)
			outranked := draw.IntN(2) == 0
			if (!outranked || lessUrgent) && tenure.Take(3.4, outranked, now).Granted && !outranked {
				urgent++
			}
		}
		return urgent
	}
	require.GreaterOrEqual(t, float64(granted(true)), 0.85*float64(granted(false)))
}

// Guards against refused callers that all return at the same moment.
func TestRefusedCallersReturnSpreadOverThePermitsToCome(t *testing.T) {
	var tenure Tenure
	returns := make(map[time.Duration]int)
	for now := 3 * time.Second; now < 13*time.Second; now += 20 * time.Millisecond {
		tenure.Hold(true, now)
		if d := tenure.Take(3.4, false, now); !d.Granted {
			require.Positive(t, d.RetryAfter)
			require.LessOrEqual(t, d.RetryAfter, maxRetryAfter)
			returns[(now+d.RetryAfter).Truncate(time.Second)]++
		}
	}
	for at, n := range returns {
		require.LessOrEqual(t, n, 100, "%v", at)
	}
	require.Greater(t, len(returns), 8)
}

func TestBlockedTimeIsThatUntilTheNextPermit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tenure Tenure
		perSecond := rapid.Float64Range(0, 40).Draw(t, "limit")
		outranked := rapid.Bool().Draw(t, "outranked")
		tenure.Hold(true, 0)
		now := 2 * settleTime
		for range 20 {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			tenure.Hold(true, now)
			d := tenure.Take(perSecond, outranked, now)
			if d.Granted {
				continue
			}
			later := tenure
			require.True(t, later.Take(perSecond, outranked, now+d.Blocked+time.Microsecond).Granted)
		}
	})
}

// Guards against a bound on permits that breaks when several holders succeed each other within its window.
func TestHoldersInAChainStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{perSecond: rapid.Float64Range(0, 40).Draw(t, "limit")}
		overlap := time.Duration(rapid.IntRange(0, 1500).Draw(t, "overlap in ms")) * time.Millisecond
		for begin := time.Duration(0); begin < 12*time.Second; {
			holder, first := new(Tenure), rapid.Bool().Draw(t, "first in the order")
			term := time.Duration(rapid.IntRange(1, 4000).Draw(t, "term in ms")) * time.Millisecond
			// Two grant at a time at most, so that a term is no shorter than the overlap.
			term = max(term, overlap)
			for at := begin; at < begin+term+overlap; at += 5 * time.Millisecond {
				holder.Hold(first, at)
				if holder.Take(f.perSecond, false, at).Granted {
					f.arrivals = append(f.arrivals, at)
				}
			}
			begin += term
		}
		slices.Sort(f.arrivals)
		require.LessOrEqual(t, f.most(), bound(f.perSecond))
	})
}
