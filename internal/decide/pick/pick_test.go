package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func skipNone(int) bool { return false }

func TestLeastLoadedIsTaken(t *testing.T) {
	states := []*State{{Slots: 2, Own: 1, Others: 2, Near: true}, {Slots: 2, Own: 1, Near: true}, {Slots: 2, Others: 2, Near: true}}
	require.Equal(t, 1, Choose(states, Job{}, skipNone, 0))
	require.Equal(t, 2, Choose(states, Job{}, func(i int) bool { return i == 1 }, 0))
}

func TestNearTargetWinsUnlessBusy(t *testing.T) {
	states := []*State{{Slots: 2}, {Slots: 2, Near: true}}
	require.Equal(t, 1, Choose(states, Job{}, skipNone, 0))
	states[1].Others = 2
	require.Equal(t, 0, Choose(states, Job{}, skipNone, 0))
}

// Thirty servers joined a pool of more than a hundred, and two thirds of them got no
// request in five seconds: all VMs took the first of the idle ones in the list.
func TestIdleTargetsTakeTurns(t *testing.T) {
	states := make([]*State, 40)
	for i := range states {
		states[i] = &State{Slots: 2, Near: true}
	}
	job := Job{Usual: 100 * time.Millisecond, Objective: 400 * time.Millisecond}
	for i := range states[:30] {
		states[i].Answered(70*time.Millisecond, job.Usual, 1)
	}
	got := make(map[int]int)
	for range 80 {
		got[Choose(states, job, skipNone, 0)]++
		job.StartIndex++
	}
	require.Len(t, got, 40)
	states[7].Own = 1
	job.StartIndex = 7
	require.Equal(t, 8, Choose(states, job, skipNone, 0), "an idle one is better than one that works")
}

// A target that gets more than it can queue never answers, and the connection is
// lost. When all are full the request must be refused, not sent.
func TestFullTargetsAreNotChosen(t *testing.T) {
	states := []*State{{Slots: 2, Others: 6}, {Slots: 1, Own: 3}}
	require.Equal(t, -1, Choose(states, Job{}, skipNone, 0))
}

// One target of ten turns ten times slower. It must get less than its share at
// once, and not be chosen while a usual one has a free slot.
func TestSlowTargetIsLeft(t *testing.T) {
	states := make([]*State, 10)
	for i := range states {
		states[i] = &State{Slots: 2, Near: true}
	}
	const usual = 100 * time.Millisecond
	states[3].Answered(10*usual, usual, 1)
	for i := range states {
		if i != 3 {
			states[i].Own = 2
		}
	}
	states[3].Own = 1
	for range 3 {
		states[3].Answered(10*usual, usual, 1)
	}
	require.NotEqual(t, 3, Choose(states, Job{}, skipNone, 0))
	for range 10 {
		states[3].Answered(usual, usual, 1)
	}
	require.Less(t, states[3].Slowness(), 1.6, "it recovers")
}

// A dead target fails at once and so looks idle. It rests, and is tried again
// after a while with one request.
func TestUnreachableTargetRests(t *testing.T) {
	states := []*State{{Slots: 2, Near: true}, {Slots: 2, Own: 5}}
	states[0].ConnectFailed(0)
	require.Equal(t, 1, Choose(states, Job{}, skipNone, 50*time.Millisecond))
	require.Equal(t, 0, Choose(states, Job{}, skipNone, minBackoff))
	require.Equal(t, 0, Choose(states, Job{}, func(i int) bool { return i == 1 }, 0), "resting is better than nothing")
}

// With little to do, a target nearby that is soon enough is better than a faster
// one in another data centre: the bytes between them are paid for.
func TestNearTargetThatIsSoonEnoughIsTaken(t *testing.T) {
	states := []*State{{Slots: 2, logSlow: -0.5}, {Slots: 2, Near: true, logSlow: 0.3}}
	require.Equal(t, 0, Choose(states, Job{Usual: 100 * time.Millisecond, Objective: 200 * time.Millisecond}, skipNone, 0))
	require.Equal(t, 1, Choose(states, Job{Usual: 100 * time.Millisecond, Objective: 500 * time.Millisecond}, skipNone, 0))
}

// A key turns hot, and eight VMs send its owner what each believes to fit, before
// they exchange loads. Together they must not send more than the owner can
// run and queue.
func TestVMsThatDoNotSeeEachOtherYetDoNotOverfillATarget(t *testing.T) {
	const vms, slots, queue = 8, 3, 12
	views, sent := make([]State, vms), 0
	for i := range views {
		views[i] = State{Slots: slots}
	}
	for range 20 {
		for i := range views {
			if !views[i].Full() {
				views[i].Sent(vms)
				sent++
			}
		}
	}
	require.LessOrEqual(t, sent, 2*(slots+queue))
	require.GreaterOrEqual(t, sent, slots)
	for range 6 {
		for i := range views {
			views[i].SetOthers(0)
		}
	}
	require.False(t, views[0].Full(), "what was not seen fades")
}

// Work takes a millisecond, and one request follows the other. None is ever in
// the way of the next; a target must not count as full for what has long ended.
func TestShortWorkDoesNotFillATarget(t *testing.T) {
	s := State{Slots: 2}
	for range 1000 {
		require.False(t, s.Full())
		s.Sent(8)
		s.Ended(8)
	}
}

// A target loses one answer in four, and its keys have no other owner. Refused while it
// rested, most of their requests got nothing. Several losses in a row mean that it is gone.
func TestTargetThatLosesSomeAnswersDoesNotRest(t *testing.T) {
	var s State
	for i := range 40 {
		now := time.Duration(i) * 10 * time.Millisecond
		require.False(t, s.BackingOff(now))
		if i%4 == 0 {
			s.AnswerLost(now)
			continue
		}
		s.Answered(100*time.Millisecond, 100*time.Millisecond, 1)
	}
	for range maxLostInARow {
		s.AnswerLost(time.Second)
	}
	require.True(t, s.BackingOff(time.Second))
}
