package idempotency

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/wire"
)

// scenario is a fleet that started long ago, one key, and the key's holders by rank.
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

// startClaim starts a claim at a coordinator.
func (s *scenario) startClaim(coordinator *vm) *attempt {
	s.startAttempt(coordinator, s.key)
	return s.attempts[len(s.attempts)-1]
}

// deliver delivers the claim to one holder and returns its vote to the coordinator.
func (s *scenario) deliver(a *attempt, holder *vm) {
	for i, name := range a.unasked {
		if name == holder.place.VM {
			s.deliverClaim(a, i, "delivered")
			return
		}
	}
}

// repeatRequest sends the caller's repeat through a coordinator that reaches all holders
// that are up.
func (s *scenario) repeatRequest(coordinator *vm) {
	a := s.startClaim(coordinator)
	for len(a.unasked) > 0 {
		s.deliverClaim(a, 0, "delivered")
	}
}

// unlist stops a VM, removes it from the platform's list and updates all other VMs.
func (s *scenario) unlist(v *vm) {
	v.down = true
	s.listed = slices.DeleteFunc(slices.Clone(s.listed), func(p wire.Place) bool { return p == v.place })
	s.syncAll()
}

// Guards against a double booking. The first holder votes for the claim, restarts, and copies
// the others' records at once. Only then does the second holder store the claim, and the request
// runs with both votes. When the second holder is lost, the first one has no record but would
// count as clean.
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
	require.Equal(t, 1, s.runs[s.key], "the request ran a second time")
}

// Guards against a double booking. Of the two holders that stored the claim, one was lost and
// removed from the platform's list, and the other was restarted. All listed VMs answer the
// restarted one, and none has the record.
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
	require.Equal(t, 1, s.runs[s.key], "the request ran a second time")
	s.now += Retention + time.Second
	require.False(t, first.store.Forgot(s.now), "lost records no longer matter once they would have expired")
}

// Guards against a double booking. Both holders that stored the claim were restarted. Each
// reads the copies of all others, including the other restarted one's, which is empty.
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
	require.Equal(t, 1, s.runs[s.key], "the request ran a second time")
}

// Guards against a double booking. One holder was restarted and is shut down as planned before
// it has recovered its records; the other one is lost. If the others took its handoff for
// complete, they would count only one VM as missing.
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
	handoff := first.store.Leave(s.now)
	require.True(t, handoff.Forgot)
	for _, v := range s.vms {
		if v != first && !v.down {
			v.store.Handoff(first.place.VM, handoff, s.now)
		}
	}
	s.unlist(first)
	s.repeatRequest(third)
	require.Equal(t, 1, s.runs[s.key], "the request ran a second time")
}
