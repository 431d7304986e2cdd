package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testPool = "booth"

// lastCrashing is the highest fingerprint whose requests crash their target; all above it are
// harmless.
const lastCrashing = 2

// run is a request that a dispatcher sent to a target.
type run struct {
	fp         Fingerprint
	dispatcher int
}

// fleet simulates dispatchers that share a pool of targets.
type fleet struct {
	t        *rapid.T
	now      time.Duration
	trackers []*Tracker
	waiting  [][]Fingerprint
	targets  [][]run
	slots    int
	kills    map[Fingerprint]int
	served   map[Fingerprint]int
	refused  map[Fingerprint]int
	// lossy makes notices between dispatchers get lost at random.
	lossy bool
}

func newFleet(t *rapid.T, dispatchers int) *fleet {
	f := &fleet{t: t, slots: 3, kills: make(map[Fingerprint]int), served: make(map[Fingerprint]int), refused: make(map[Fingerprint]int)}
	for i := range dispatchers {
		f.trackers = append(f.trackers, New(fmt.Sprintf("vm%d", i)))
		f.waiting = append(f.waiting, nil)
	}
	f.targets = make([][]run, 4)
	return f
}

func targetName(target int) string { return fmt.Sprintf("target%d", target) }

func (f *fleet) notify(from int, c *Case) {
	for i, tr := range f.trackers {
		if i != from && c != nil && !(f.lossy && rapid.Bool().Draw(f.t, "lost")) {
			tr.MergeCase(*c, f.now)
		}
	}
}

// requestPermit requests a permit from all other dispatchers in one step, as package dispatch
// does.
func (f *fleet) requestPermit(d int, fp Fingerprint) {
	granted := true
	c := f.trackers[d].Case(fp, f.now)
	for i, tr := range f.trackers {
		if i == d {
			continue
		}
		tr.MergeCase(c, f.now)
		granted = tr.MayPermit(fp, testPool, f.trackers[d].vm, f.now) && granted
		f.trackers[d].MergeCase(tr.Case(fp, f.now), f.now)
	}
	f.trackers[d].PermitDecided(fp, f.now, granted, f.now)
}

// send sends the first waiting request of a dispatcher to a target if it is admitted.
func (f *fleet) send(d, target int) {
	if len(f.waiting[d]) == 0 || len(f.targets[target]) >= f.slots {
		return
	}
	fp := f.waiting[d][0]
	f.waiting[d] = f.waiting[d][1:]
	switch f.trackers[d].Admit(fp, testPool, targetName(target), f.now) {
	case Run:
		f.trackers[d].Started(fp, testPool, targetName(target), f.now)
		f.targets[target] = append(f.targets[target], run{fp, d})
	case Refuse:
		f.refused[fp]++
	case NeedsPermit:
		f.requestPermit(d, fp)
		f.waiting[d] = append(f.waiting[d], fp)
	default:
		f.waiting[d] = append(f.waiting[d], fp)
	}
}

// finish ends the oldest request on a target. A crashing request kills the target, and all
// requests that ran on it are sent again.
func (f *fleet) finish(target int) {
	if len(f.targets[target]) == 0 {
		return
	}
	r := f.targets[target][0]
	if r.fp > lastCrashing {
		f.targets[target] = f.targets[target][1:]
		f.served[r.fp]++
		f.notify(r.dispatcher, f.trackers[r.dispatcher].Finished(r.fp, testPool, targetName(target), true, f.now))
		return
	}
	f.kills[r.fp]++
	lost := f.targets[target]
	f.targets[target] = nil
	for d, tr := range f.trackers {
		var running []Fingerprint
		for _, x := range lost {
			if x.dispatcher == d {
				running = append(running, x.fp)
				f.waiting[d] = append(f.waiting[d], x.fp)
			}
		}
		if len(running) == 0 {
			continue
		}
		for _, c := range tr.Died(running, testPool, targetName(target), f.now) {
			f.notify(d, &c)
		}
	}
}

func (f *fleet) step() {
	d := rapid.IntRange(0, len(f.trackers)-1).Draw(f.t, "dispatcher")
	target := rapid.IntRange(0, len(f.targets)-1).Draw(f.t, "target")
	switch rapid.IntRange(0, 5).Draw(f.t, "action") {
	case 0:
		f.waiting[d] = append(f.waiting[d], Fingerprint(rapid.IntRange(1, 12).Draw(f.t, "request")))
	case 1, 2, 3:
		f.send(d, target)
	case 4:
		f.finish(target)
	case 5:
		f.now += time.Duration(rapid.IntRange(1, 500).Draw(f.t, "ms")) * time.Millisecond
	}
}

func (f *fleet) check(bound int) {
	for fp := Fingerprint(1); fp <= lastCrashing; fp++ {
		require.LessOrEqual(f.t, f.kills[fp], bound, "targets killed by %d", fp)
	}
	for fp := range f.refused {
		if len(f.trackers) > 1 {
			// As the package comment states, a dispatcher cannot know then whether a request ran
			// alone.
			break
		}
		require.LessOrEqual(f.t, fp, Fingerprint(lastCrashing), "a harmless request is quarantined")
	}
}

// drain runs the fleet until all waiting requests are served or refused.
func (f *fleet) drain() {
	for range 400 {
		f.now += 50 * time.Millisecond
		for target := range f.targets {
			for d := range f.trackers {
				f.send(d, target)
			}
			f.finish(target)
		}
	}
	for d := range f.waiting {
		require.Empty(f.t, f.waiting[d], "requests still waiting after the drain")
	}
}

// Guards against a request that crashes target after target while its caller repeats it among
// harmless ones, through all entries, which lead to one queue. It may kill two targets at most,
// and every harmless request is served although it ran beside the crashing one.
func TestCrashingRequestKillsAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 1)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			f.step()
			f.check(2)
		}
		f.drain()
		f.check(2)
	})
}

// Guards against more than n + 1 lost targets while views of the members differ, n dispatchers
// hold the pool's queue, and notices between them may be lost. Each dispatcher may have the
// crashing request in flight before the first target dies.
func TestCrashingRequestIsBoundedWhileViewsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "dispatchers")
		f := newFleet(t, n)
		f.lossy = rapid.Bool().Draw(t, "lossy")
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			f.step()
			f.check(n + 1)
		}
	})
}

// Guards against a harmless request that is refused for hours. Many copies of it are in flight;
// one runs beside a crashing request and another beside a second crashing one, and both deaths
// counted against it. Found by TestCrashingRequestKillsAtMostTwoTargets.
func TestHarmlessRequestBesideTwoCrashingOnesIsNotQuarantined(t *testing.T) {
	tr := New("vm1")
	tr.Started(3, testPool, "a", 0)
	tr.Finished(3, testPool, "a", true, 0)
	for i, target := range []string{"a", "b"} {
		tr.Started(Fingerprint(i+1), testPool, target, 0)
		tr.Started(3, testPool, target, 0)
	}
	tr.Died([]Fingerprint{1, 3}, testPool, "a", 1)
	tr.Died([]Fingerprint{2, 3}, testPool, "b", 2)
	require.Equal(t, NeedsPermit, tr.Admit(3, testPool, "c", 3))
	tr.PermitDecided(3, 3, true, 3)
	require.Equal(t, Run, tr.Admit(3, testPool, "c", 3))
	tr.Started(3, testPool, "c", 3)
	require.NotNil(t, tr.Finished(3, testPool, "c", true, 4), "the suspect is cleared")
	require.Equal(t, Run, tr.Admit(3, testPool, "c", 5))
}

// Guards against quarantines that never expire and against unbounded memory for cases.
func TestQuarantineEndsAndCasesAreBounded(t *testing.T) {
	tr := New("vm1")
	for i := range 2 * maxCases {
		tr.MergeCase(Case{Fingerprint: Fingerprint(i + 10), Deaths: []Death{{Name: "a"}}}, time.Duration(i))
	}
	require.LessOrEqual(t, len(tr.cases), maxCases)
	tr.MergeCase(Case{Fingerprint: 1, Deaths: []Death{{Name: "a"}, {Name: "b", Alone: true, Proof: true}}}, 0)
	require.Equal(t, Refuse, tr.Admit(1, testPool, "t", time.Hour))
	require.Equal(t, Run, tr.Admit(1, testPool, "t", Lifetime+time.Hour))
}

// Guards against a key without service for 3 s after its target died. The request that ran there
// is a suspect; its repeat gets a permit but reaches only the dead target, and the key moves to
// another dispatcher. The first dispatcher kept the permit of a run that had ended or never
// started, and denied it to the second.
func TestPermitFollowsKeyToAnotherDispatcher(t *testing.T) {
	const fp, second = Fingerprint(7), time.Second
	suspect := func() (old, next *Tracker) {
		old, next = New("vm1"), New("vm2")
		old.Started(fp, testPool, "target1", second)
		for _, c := range old.Died([]Fingerprint{fp}, testPool, "target1", second) {
			next.MergeCase(c, second)
		}
		require.Equal(t, NeedsPermit, old.Admit(fp, testPool, "target1", second))
		require.True(t, next.MayPermit(fp, testPool, "vm1", second))
		old.PermitDecided(fp, second, true, second)
		require.Equal(t, Run, old.Admit(fp, testPool, "target1", second))
		return old, next
	}
	old, next := suspect()
	old.Started(fp, testPool, "target1", second)
	require.False(t, old.MayPermit(fp, testPool, "vm2", second), "the run is in flight")
	require.Nil(t, old.Finished(fp, testPool, "target1", false, second))
	require.Equal(t, NeedsPermit, next.Admit(fp, testPool, "target2", second))
	require.True(t, old.MayPermit(fp, testPool, "vm2", second), "the run has ended")

	old, _ = suspect()
	require.False(t, old.MayPermit(fp, testPool, "vm2", second))
	later := second + heldPermitTimeout + time.Millisecond
	require.True(t, old.MayPermit(fp, testPool, "vm2", later), "no run started")
	require.NotEqual(t, Run, old.Admit(fp, testPool, "target1", later), "both dispatchers would run it at once")
}
