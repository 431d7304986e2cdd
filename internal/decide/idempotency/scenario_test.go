package idempotency

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/wire"
)

// scenario is a fleet that has run for long, one key, and the key's holders by rank.
type scenario struct {
	*cluster
	key Key
	by  []string
}

func newScenario(vms int) *scenario {
	s := &scenario{cluster: newCluster(nil, vms), key: Key{Customer: "studio", Service: "booth", Name: "booking"}}
	s.by = Holders(s.listed, s.key)
	return s
}

func (s *scenario) holder(rank int) *vm { return s.find(s.by[rank]) }

// startClaim begins a claim at a coordinator.
func (s *scenario) startClaim(coordinator *vm) *attempt {
	s.startAttempt(coordinator, s.key)
	return s.attempts[len(s.attempts)-1]
}

// deliver brings the claim to one holder and its vote back.
func (s *scenario) deliver(a *attempt, holder *vm) {
	for i, name := range a.unasked {
		if name == holder.place.VM {
			s.deliverClaim(a, i, "arrives")
			return
		}
	}
}

// repeatRequest is the caller's second sending, through a coordinator that reaches all
// holders that live.
func (s *scenario) repeatRequest(coordinator *vm) {
	a := s.startClaim(coordinator)
	for len(a.unasked) > 0 {
		s.deliverClaim(a, 0, "arrives")
	}
}

// unlist takes a VM that is dead off the platform's list, and lets all others see it.
func (s *scenario) unlist(v *vm) {
	v.down = true
	s.listed = slices.DeleteFunc(slices.Clone(s.listed), func(p wire.Place) bool { return p == v.place })
	s.syncAll()
}

// A caller repeats a booking and gets two. The first holder votes for the claim,
// is restarted and copies the records of the others at once; only then the second
// holder stores the claim, and with both votes the request runs. The second holder
// is lost. The first believes that it knows all, has nothing, and is clean.
func TestHolderRestartedBetweenTwoVotes(t *testing.T) {
	s := newScenario(4)
	first, second, third := s.holder(0), s.holder(1), s.holder(2)
	a := s.startClaim(third)
	s.deliver(a, first)
	s.start(first)
	s.syncAll()
	s.deliver(a, second)
	require.Equal(t, 1, s.runs[s.key])
	s.now += 2 * VoteValidity
	s.syncAll()
	second.down = true
	s.repeatRequest(third)
	require.Equal(t, 1, s.runs[s.key], "the repeat ran again")
}

// A caller repeats a booking and gets two. Of the two holders that stored its
// claim one was lost and left the platform's list, and the other was restarted.
// Every VM that is listed answers the restarted one, and none has the record.
func TestRestartedHolderIsNotCleanAfterAnotherLeft(t *testing.T) {
	s := newScenario(4)
	first, second, third := s.holder(0), s.holder(1), s.holder(2)
	a := s.startClaim(third)
	s.deliver(a, first)
	s.deliver(a, second)
	require.Equal(t, 1, s.runs[s.key])
	s.start(first)
	s.now += 2 * VoteValidity
	s.unlist(second)
	s.repeatRequest(third)
	require.Equal(t, 1, s.runs[s.key], "the repeat ran again")
	s.now += Retention + time.Second
	require.False(t, first.book.Forgot(s.now), "a doubt ends with the records")
}

// A caller repeats a booking and gets two. Both holders that stored its claim were
// restarted. Each reads the copies of all others, the other one's too, which is
// whole and empty.
func TestTwoRestartedHoldersAreNotClean(t *testing.T) {
	s := newScenario(4)
	first, second, third := s.holder(0), s.holder(1), s.holder(2)
	a := s.startClaim(third)
	s.deliver(a, first)
	s.deliver(a, second)
	require.Equal(t, 1, s.runs[s.key])
	s.start(first)
	s.start(second)
	s.now += 2 * VoteValidity
	s.syncAll()
	s.repeatRequest(third)
	require.Equal(t, 1, s.runs[s.key], "the repeat ran again")
}

// A caller repeats a booking and gets two. One holder was restarted and is stopped
// by plan before it had its records back; the other one is lost. The others took
// the handoff for a whole one and missed only one VM.
func TestHandoffFromHolderWithMissingRecordsIsIgnored(t *testing.T) {
	s := newScenario(4)
	first, second, third := s.holder(0), s.holder(1), s.holder(2)
	a := s.startClaim(third)
	s.deliver(a, first)
	s.deliver(a, second)
	require.Equal(t, 1, s.runs[s.key])
	second.down = true
	s.start(first)
	s.now += 2 * VoteValidity
	s.syncAll()
	handoff := first.book.Leave(s.now)
	require.True(t, handoff.Forgot)
	for _, v := range s.vms {
		if v != first && !v.down {
			v.book.Handoff(first.place.VM, handoff, s.now)
		}
	}
	s.unlist(first)
	s.repeatRequest(third)
	require.Equal(t, 1, s.runs[s.key], "the repeat ran again")
}
