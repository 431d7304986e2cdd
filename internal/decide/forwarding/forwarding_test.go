package forwarding

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func none(string) bool { return false }

func TestNearVMsAreAskedInTurn(t *testing.T) {
	r := NewRouter(0)
	peers := []Peer{{VM: "a", Near: true}, {VM: "x"}, {VM: "b", Near: true}, {VM: "c", Near: true}}
	count := make(map[string]int)
	for range 300 {
		count[peers[r.Choose("s", peers, none, 0)].VM]++
	}
	require.Zero(t, count["x"])
	for _, vm := range []string{"a", "b", "c"} {
		require.Greater(t, count[vm], 70)
	}
}

func TestFarVMIsAskedIfNoNearOneAccepts(t *testing.T) {
	r := NewRouter(0)
	peers := []Peer{{VM: "a", Near: true}, {VM: "x"}}
	r.Full("a", 0)
	require.Equal(t, 1, r.Choose("s", peers, none, 50*ms))
	require.Equal(t, 0, r.Choose("s", peers, none, fullPause))
	require.Equal(t, 1, r.Choose("s", peers, func(vm string) bool { return vm == "a" }, fullPause))
	r.Lost("x", fullPause)
	require.Equal(t, -1, r.Choose("s", peers, func(vm string) bool { return vm == "a" }, 2*fullPause))
}

// Guards against asking again and again for a target that no VM reaches.
func TestDestinationThatOtherVMsDoNotReachIsDown(t *testing.T) {
	r := NewRouter(0)
	require.False(t, r.Down("t", 0, 0), "nobody was asked")
	for i, vm := range []string{"a", "b", "c"} {
		require.False(t, r.Down("t", 9, 0), "%d reports", i)
		r.Unreached("t", vm, 0)
	}
	require.True(t, r.Down("t", 9, 0))
	require.False(t, r.Down("u", 9, 0))
	require.False(t, r.Down("t", 9, unreachedPause), "asked again after a while")
	r.Unreached("t", "a", unreachedPause)
	require.True(t, r.Down("t", 1, unreachedPause), "the only other VM")
	r.Served("t")
	require.False(t, r.Down("t", 1, unreachedPause))
}

// Guards against asking a VM again for a target that it does not reach.
func TestVMIsNotAskedForWhatItDoesNotReach(t *testing.T) {
	r := NewRouter(0)
	peers := []Peer{{VM: "a", Near: true}, {VM: "b", Near: true}}
	r.Unreached("t", "a", 0)
	for range 10 {
		require.Equal(t, 1, r.Choose("t", peers, none, 1))
	}
	seen := make(map[int]bool)
	for range 10 {
		seen[r.Choose("u", peers, none, 1)] = true
	}
	require.Len(t, seen, 2)
}

func TestGateBoundsRequestsInFlight(t *testing.T) {
	g := NewGate(10)
	for range 10 {
		require.True(t, g.Enter())
	}
	require.False(t, g.Enter())
	g.Leave()
	require.True(t, g.Enter())
	require.Equal(t, 10, g.InFlight())
}

// Guards against a VM that refuses what only it could serve because its timers are a little late.
func TestSmallDelaysDoNotCloseTheGate(t *testing.T) {
	g := NewGate(1000)
	for range 100 {
		g.Observe(20 * ms)
	}
	require.Equal(t, initialLimit, g.Limit())
}

// Guards against a gate that stays closed after the VM was slow for a moment.
func TestGateOpensAgain(t *testing.T) {
	g := NewGate(1000)
	for range 100 {
		g.Observe(time.Second)
	}
	require.Equal(t, minLimit, g.Limit())
	for range 60 {
		for g.Enter() {
		}
		g.Observe(0)
	}
	require.Greater(t, g.Limit(), 500)
}

// simulation plays a fleet of which some VMs are cut off. A VM's processor runs its own requests and
// the forwarded ones in the order of their arrival; a target takes targetTime for each.
type simulation struct {
	vms []*simVM
	now time.Duration
}

type simVM struct {
	cut    bool
	gate   *Gate
	router *Router
	// backlog is the processor time of the work that waits.
	backlog time.Duration
	// ends are the times at which the forwarded requests in flight end.
	ends []time.Duration
	// owed is the fraction of a request that has not arrived yet.
	owed float64
	// slowness is the factor by which each request takes longer than requestTime.
	slowness                          int
	sent, forwarded, refused, carried int
	worstLag                          time.Duration
}

const (
	simTick = 5 * ms
	// observeEvery is the interval of Gate.Observe.
	observeEvery = 50 * ms
	targetTime   = 100 * ms
	// requestTime is the processor time of a request at each VM that it passes.
	requestTime = time.Millisecond
	ownRate     = 100
)

func newSimulation(vms, cut int) *simulation {
	s := new(simulation)
	for i := range vms {
		s.vms = append(s.vms, &simVM{cut: i < cut, slowness: 1, gate: NewGate(700), router: NewRouter(7919 * i)})
	}
	return s
}

// run plays the given time. The load of a tick arrives spread over it.
func (s *simulation) run(over time.Duration) {
	var peers []Peer
	byName := make(map[string]*simVM)
	for i, v := range s.vms {
		if !v.cut {
			name := fmt.Sprint(i)
			peers = append(peers, Peer{VM: name, Near: true})
			byName[name] = v
		}
	}
	for end := s.now + over; s.now < end; s.now += simTick {
		for _, v := range s.vms {
			v.owed += ownRate * simTick.Seconds()
			v.endRequests(s.now)
		}
		for more := true; more; {
			more = false
			for _, v := range s.vms {
				if v.owed < 1 {
					continue
				}
				v.owed--
				more = true
				s.request(v, peers, byName)
			}
		}
		for _, v := range s.vms {
			v.worstLag = max(v.worstLag, v.backlog-simTick)
			v.backlog = max(0, v.backlog-simTick)
			if s.now%observeEvery == 0 {
				v.gate.Observe(v.backlog)
			}
		}
	}
}

// request lets one request arrive at a VM.
func (s *simulation) request(v *simVM, peers []Peer, byName map[string]*simVM) {
	v.sent++
	v.backlog += v.requestTime()
	if !v.cut {
		return
	}
	asked := make(map[string]bool)
	for range 3 {
		i := v.router.Choose("s", peers, func(vm string) bool { return asked[vm] }, s.now)
		if i < 0 {
			break
		}
		other := byName[peers[i].VM]
		asked[peers[i].VM] = true
		if other.gate.Enter() {
			v.forwarded++
			other.carried++
			other.backlog += other.requestTime()
			other.ends = append(other.ends, s.now+targetTime+other.backlog)
			return
		}
		v.router.Full(peers[i].VM, s.now)
	}
	v.refused++
}

func (v *simVM) requestTime() time.Duration { return time.Duration(v.slowness) * requestTime }

func (v *simVM) endRequests(now time.Duration) {
	kept := v.ends[:0]
	for _, end := range v.ends {
		if now < end {
			kept = append(kept, end)
			continue
		}
		v.gate.Leave()
	}
	v.ends = kept
}

// Guards against VMs that are cut off and overload the others, or leave some of them idle.
func TestForwardedRequestsAreSpreadOverTheOtherVMs(t *testing.T) {
	for _, vms := range []int{10, 100, 300} {
		for _, cut := range []int{vms / 3, vms / 2} {
			t.Run(fmt.Sprintf("%d of %d", cut, vms), func(t *testing.T) {
				s := newSimulation(vms, cut)
				s.run(20 * time.Second)
				sent, served, most, mean := 0, 0, 0.0, 0.0
				for _, v := range s.vms {
					if v.cut {
						sent, served = sent+v.sent, served+v.forwarded
						continue
					}
					require.Less(t, v.worstLag, 50*ms, "delay of a VM's own callers")
					most, mean = math.Max(most, float64(v.carried)), mean+float64(v.carried)/float64(vms-cut)
				}
				require.GreaterOrEqual(t, float64(served), 0.98*float64(sent))
				require.LessOrEqual(t, most, 1.25*mean)
			})
		}
	}
}

// Guards against the only VM that reaches the targets being overloaded by all others.
func TestOnlyVMThatReachesTargetsServesItsOwnCallersFirst(t *testing.T) {
	for _, vms := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			s := newSimulation(vms, vms-1)
			s.run(5 * time.Second)
			last := s.vms[vms-1]
			last.worstLag, last.carried = 0, 0
			s.run(20 * time.Second)
			require.Less(t, last.worstLag, 100*ms, "delay of its own callers")
			spare := 20 * (time.Second.Seconds()/requestTime.Seconds() - ownRate)
			offered := 20 * float64(ownRate*(vms-1))
			require.GreaterOrEqual(t, float64(last.carried), 0.5*min(spare, offered))
		})
	}
}

// Guards against a VM that turns slow and goes on carrying as many requests of others as before.
func TestVMThatTurnsSlowCarriesFewerRequests(t *testing.T) {
	for _, vms := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			s := newSimulation(vms, vms-1)
			s.run(5 * time.Second)
			last := s.vms[vms-1]
			last.slowness = 4
			s.run(2 * time.Second)
			last.worstLag = 0
			s.run(10 * time.Second)
			require.Less(t, last.worstLag, 100*ms, "delay of its own callers")
		})
	}
}
