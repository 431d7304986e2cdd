package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

// fleet is a fleet of VMs that exchange marks as heartbeats do, in steps of simulated time. The VMs are in order
// of preference for watching the store.
type fleet struct {
	draw *rand.Rand
	now  time.Duration
	vms  []simulatedVM
	// committed is the version in the store.
	committed uint64
	// exchanges is the number of heartbeats that each VM begins in a step, on average.
	exchanges float64
	// inFlight are the marks that have not arrived yet.
	inFlight []message
}

type simulatedVM struct {
	tracker *Tracker
	// silent says that the store leaves the VM's calls unanswered, lost that the VM has found that out.
	silent, lost bool
	// latency is how long its heartbeats take, inputDelay how much longer all of those that it receives do.
	latency, inputDelay time.Duration
	// watchEnds is when the call of a watcher ends, callEnds when the call of another VM does, or 0.
	watchEnds, callEnds time.Duration
}

type message struct {
	at   time.Duration
	to   int
	mark Mark
	// sentAt is a time before which the message was not sent, as its receiver knows it.
	sentAt time.Duration
}

const (
	step         = 5 * time.Millisecond
	callDuration = 10 * time.Millisecond
	callTimeout  = time.Second
	watchers     = 3
	// maxExchangesPerSecond is how many heartbeats a VM exchanges with VMs that are not its neighbours.
	maxExchangesPerSecond = 40
)

func newFleet(draw *rand.Rand, vms int) *fleet {
	f := &fleet{draw: draw, vms: make([]simulatedVM, vms), committed: 1}
	f.exchanges = min(float64(vms-1)/0.15, maxExchangesPerSecond) / 2 * step.Seconds()
	for i := range f.vms {
		f.vms[i] = simulatedVM{tracker: NewTracker(0), latency: time.Millisecond}
	}
	for i := range watchers {
		f.vms[i].watchEnds = f.watchDuration()
	}
	return f
}

func (f *fleet) watchDuration() time.Duration {
	return 650*time.Millisecond + time.Duration(f.draw.Int64N(int64(650*time.Millisecond)))
}

func (f *fleet) send(from, to int) {
	// The sender knows the receiver's clock from a heartbeat of the receiver, and does not know how late that was.
	unknown := f.vms[to].latency + f.vms[from].inputDelay
	f.inFlight = append(f.inFlight, message{
		at: f.now + f.vms[from].latency + f.vms[to].inputDelay, to: to,
		mark: f.vms[from].tracker.Mark(f.now), sentAt: max(0, f.now-unknown),
	})
}

// advance simulates one step.
func (f *fleet) advance() {
	f.now += step
	var later []message
	for _, m := range f.inFlight {
		if m.at > f.now {
			later = append(later, m)
			continue
		}
		f.vms[m.to].tracker.Merge(m.mark, m.sentAt, f.now)
	}
	f.inFlight = later
	for i := range f.vms {
		f.advanceVM(i)
		for n := f.exchanges; n > f.draw.Float64(); n-- {
			other := f.draw.IntN(len(f.vms))
			f.send(i, other)
			f.send(other, i)
		}
	}
}

func (f *fleet) advanceVM(i int) {
	vm := &f.vms[i]
	if vm.watchEnds > 0 && f.now >= vm.watchEnds && !vm.silent {
		vm.tracker.Confirm(0, f.committed, f.now, f.now)
		vm.watchEnds = f.now + f.watchDuration()
	}
	switch {
	case vm.callEnds > 0 && f.now >= vm.callEnds:
		vm.callEnds, vm.lost = 0, vm.silent
		if !vm.silent {
			vm.tracker.Confirm(0, f.committed, f.now-callDuration, f.now)
			for to := range f.vms {
				f.send(i, to)
			}
		}
	case vm.callEnds == 0 && !vm.lost && vm.tracker.Age(f.now) >= MaxAge+Delay(i):
		vm.callEnds = f.now + callDuration
		if vm.silent {
			vm.callEnds = f.now + callTimeout
		}
	}
}

// Guards against a bound that grows with the VMs that are silent, that are there, or whose heartbeats are held up.
func TestEachVMThatReachesTheStoreHearsOfAChangeInTime(t *testing.T) {
	const bound = 2 * time.Second
	for _, vms := range []int{10, 82, 195, 300} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			worst := time.Duration(0)
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), vms)
				for f.now < 2*time.Second {
					f.advance()
				}
				reaching := rapid.IntRange(1, vms).Draw(t, "reaching")
				inOrder := rapid.Bool().Draw(t, "preferred VMs are silent")
				for at, i := range f.draw.Perm(vms) {
					vm := &f.vms[i]
					vm.silent = inOrder && i < vms-reaching || !inOrder && at >= reaching
					if f.draw.IntN(4) == 0 {
						vm.latency = time.Duration(f.draw.Int64N(int64(3 * time.Second)))
					}
				}
				f.committed++
				begin := f.now
				for f.uninformed() && f.now < begin+2*bound {
					f.advance()
				}
				worst = max(worst, f.now-begin)
				require.LessOrEqual(t, f.now-begin, bound)
			})
			t.Log("worst:", worst)
		})
	}
}

// uninformed reports whether a VM that reaches the store has not heard of the committed version.
func (f *fleet) uninformed() bool {
	for _, vm := range f.vms {
		if !vm.silent && vm.tracker.Mark(f.now).Newest < f.committed {
			return true
		}
	}
	return false
}

// Guards against a VM that holds old knowledge for recent because all its messages are late.
func TestNoVMHoldsItsKnowledgeForYoungerThanItIs(t *testing.T) {
	for _, size := range []struct{ vms, plays int }{{10, 40}, {82, 2}, {195, 1}} {
		t.Run(fmt.Sprint(size.vms, " VMs"), func(t *testing.T) {
			for seed := range uint64(size.plays) {
				playLateInputs(t, rand.New(rand.NewPCG(seed, 2)), size.vms)
			}
		})
	}
}

// playLateInputs plays a fleet some VMs of which get all messages late, and checks the invariant of the package.
func playLateInputs(t *testing.T, draw *rand.Rand, vms int) {
	f := newFleet(draw, vms)
	delay := time.Duration(draw.Int64N(int64(3 * time.Second)))
	for i := range 1 + draw.IntN(vms) {
		f.vms[vms-1-i].inputDelay, f.vms[vms-1-i].silent, f.vms[vms-1-i].lost = delay, true, true
	}
	// committedAt holds when each version was committed.
	committedAt := []time.Duration{0, 0}
	for f.now < 5*time.Second {
		f.advance()
		if draw.IntN(50) == 0 {
			f.committed++
			committedAt = append(committedAt, f.now)
		}
		for i := range f.vms {
			tracker := f.vms[i].tracker
			if next := tracker.Mark(f.now).Newest + 1; tracker.Confirmed() && next <= f.committed {
				require.LessOrEqual(t, f.now-committedAt[next], tracker.Age(f.now), "VM %d of %d lacks version %d", i, vms, next)
			}
		}
	}
}
