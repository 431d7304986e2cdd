package idempotency

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/wire"
)

// story is a fleet that has run for long, one key, and the key's holders by rank.
type story struct {
	*cluster
	key Key
	by  []string
}

func newStory(vms int) *story {
	s := &story{cluster: newCluster(nil, vms), key: Key{Customer: "studio", Service: "booth", Name: "booking"}}
	s.by = Holders(s.listed, s.key)
	return s
}

func (s *story) holder(rank int) *vm { return s.find(s.by[rank]) }

// claimAt begins a claim at a coordinator.
func (s *story) claimAt(coordinator *vm) *attempt {
	s.begin(coordinator, s.key)
	return s.attempts[len(s.attempts)-1]
}

// deliver brings the claim to one holder and its vote back.
func (s *story) deliver(a *attempt, holder *vm) {
	for i, name := range a.open {
		if name == holder.place.VM {
			s.ask(a, i, "arrives")
			return
		}
	}
}

// repeat is the caller's second sending, through a coordinator that reaches all
// holders that live.
func (s *story) repeat(coordinator *vm) {
	a := s.claimAt(coordinator)
	for len(a.open) > 0 {
		s.ask(a, 0, "arrives")
	}
}

// drop takes a VM that is dead off the platform's list, and lets all others see it.
func (s *story) drop(v *vm) {
	v.dead = true
	s.listed = slices.DeleteFunc(slices.Clone(s.listed), func(p wire.Place) bool { return p == v.place })
	s.settle()
}

// A caller repeats a booking and gets two. The first holder votes for the claim,
// is restarted and copies the records of the others at once; only then the second
// holder stores the claim, and with both votes the request runs. The second holder
// is lost. The first believes that it knows all, has nothing, and is clean.
func TestHolderRestartedBetweenTwoVotes(t *testing.T) {
	s := newStory(4)
	first, second, third := s.holder(0), s.holder(1), s.holder(2)
	a := s.claimAt(third)
	s.deliver(a, first)
	s.start(first)
	s.settle()
	s.deliver(a, second)
	require.Equal(t, 1, s.runs[s.key])
	s.now += 2 * VoteLife
	s.settle()
	second.dead = true
	s.repeat(third)
	require.Equal(t, 1, s.runs[s.key], "the repeat ran again")
}

// A caller repeats a booking and gets two. Of the two holders that stored its
// claim one was lost and left the platform's list, and the other was restarted.
// Every VM that is listed answers the restarted one, and none has the record.
func TestRestartedHolderIsInDoubtWhileAnotherLeft(t *testing.T) {
	s := newStory(4)
	first, second, third := s.holder(0), s.holder(1), s.holder(2)
	a := s.claimAt(third)
	s.deliver(a, first)
	s.deliver(a, second)
	require.Equal(t, 1, s.runs[s.key])
	s.start(first)
	s.now += 2 * VoteLife
	s.drop(second)
	s.repeat(third)
	require.Equal(t, 1, s.runs[s.key], "the repeat ran again")
	s.now += Retention + time.Second
	require.False(t, first.book.Forgot(s.now), "a doubt ends with the records")
}

// A caller repeats a booking and gets two. Both holders that stored its claim were
// restarted. Each reads the copies of all others, the other one's too, which is
// whole and empty.
func TestTwoRestartedHoldersStayInDoubt(t *testing.T) {
	s := newStory(4)
	first, second, third := s.holder(0), s.holder(1), s.holder(2)
	a := s.claimAt(third)
	s.deliver(a, first)
	s.deliver(a, second)
	require.Equal(t, 1, s.runs[s.key])
	s.start(first)
	s.start(second)
	s.now += 2 * VoteLife
	s.settle()
	s.repeat(third)
	require.Equal(t, 1, s.runs[s.key], "the repeat ran again")
}

// A caller repeats a booking and gets two. One holder was restarted and is stopped
// by plan before it had its records back; the other one is lost. The others took
// the handoff for a whole one and missed only one VM.
func TestFarewellOfAHolderThatForgotIsNotWhole(t *testing.T) {
	s := newStory(4)
	first, second, third := s.holder(0), s.holder(1), s.holder(2)
	a := s.claimAt(third)
	s.deliver(a, first)
	s.deliver(a, second)
	require.Equal(t, 1, s.runs[s.key])
	second.dead = true
	s.start(first)
	s.now += 2 * VoteLife
	s.settle()
	handoff := first.book.Leave(s.now)
	require.True(t, handoff.Forgot)
	for _, v := range s.vms {
		if v != first && !v.dead {
			v.book.Handoff(first.place.VM, handoff, s.now)
		}
	}
	s.drop(first)
	s.repeat(third)
	require.Equal(t, 1, s.runs[s.key], "the repeat ran again")
}
