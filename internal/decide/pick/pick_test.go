package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func skipNone(int) bool { return false }

func TestLeastLoadedIsChosen(t *testing.T) {
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

// Guards against idle targets that get no requests because all VMs choose the first idle
// one of the list. When thirty servers joined a pool of more than a hundred, two thirds
// of them got no request in five seconds.
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
	require.Equal(t, 8, Choose(states, job, skipNone, 0), "an idle target is better than one with a request")
}

// Guards against connections that are lost because a target gets more requests than it
// can queue. If all targets are full, the request must be refused, not sent.
func TestFullTargetsAreNotChosen(t *testing.T) {
	states := []*State{{Slots: 2, Others: 6}, {Slots: 1, Own: 3}}
	require.Equal(t, -1, Choose(states, Job{}, skipNone, 0))
}

// One target of ten becomes ten times slower. It must not be chosen although it has a
// free slot and the others are in use, and must recover.
func TestSlowTargetIsAvoided(t *testing.T) {
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
	require.Less(t, states[3].Slowness(), 1.6, "the target did not recover")
}

// Guards against a target that attracts requests because it fails at once and so appears
// idle. It must get a back-off, and be tried again afterwards.
func TestUnreachableTargetBacksOff(t *testing.T) {
	states := []*State{{Slots: 2, Near: true}, {Slots: 2, Own: 5}}
	states[0].ConnectFailed(0)
	require.Equal(t, 1, Choose(states, Job{}, skipNone, 50*time.Millisecond))
	require.Equal(t, 0, Choose(states, Job{}, skipNone, minBackoff))
	require.Equal(t, 0, Choose(states, Job{}, func(i int) bool { return i == 1 }, 0), "a target in back-off is better than none")
}

// Under low load a target in the same data centre that is fast enough is better than a
// faster one elsewhere, because traffic between data centres has a cost.
func TestNearTargetThatIsFastEnoughIsChosen(t *testing.T) {
	states := []*State{{Slots: 2, logSlow: -0.5}, {Slots: 2, Near: true, logSlow: 0.3}}
	require.Equal(t, 0, Choose(states, Job{Usual: 100 * time.Millisecond, Objective: 200 * time.Millisecond}, skipNone, 0))
	require.Equal(t, 1, Choose(states, Job{Usual: 100 * time.Millisecond, Objective: 500 * time.Millisecond}, skipNone, 0))
}

// Guards against an owner that is overloaded by a hot key because each of eight VMs sends
// what fits by its own count before they exchange loads. Together they may send at most
// twice what the owner can run and queue.
func TestVMsDoNotOverfillTargetBeforeExchange(t *testing.T) {
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
	require.False(t, views[0].Full(), "unreported requests decay")
}

// Guards against a target that counts as full because of requests that have ended.
// Requests of a millisecond that follow one another must never fill it.
func TestShortRequestsDoNotFillTarget(t *testing.T) {
	s := State{Slots: 2}
	for range 1000 {
		require.False(t, s.Full())
		s.Sent(8)
		s.Ended(8)
	}
}

// Guards against refusing most requests for the keys of a target that loses one answer in
// four, by a back-off after each loss; its keys have no other owner. Several losses in a
// row mean that the target is gone.
func TestTargetThatLosesSomeAnswersDoesNotBackOff(t *testing.T) {
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
