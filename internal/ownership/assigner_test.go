package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/model"
)

// voter is one agent of the election under test; its clock starts anywhere.
type voter struct {
	election *Election
	offset   time.Duration
	sent     *Claim
}

// store is one object under conditional writes.
type store struct {
	object  model.Assigner
	version uint64
	winners map[uint64]string
}

// Two assigners plan at once, and the operators' dump shows two owners planned
// for one slice. In which order: a holder is paused, a follower takes over, the
// holder returns. Cause to guard against: both writes succeed on one version, or
// a paused holder still believes in its hold.
func TestElectionNeverYieldsTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		s := &store{winners: make(map[uint64]string)}
		voters := make([]*voter, 3)
		for i := range voters {
			voters[i] = newVoter(t, i, 0)
		}
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(voters)-1).Draw(t, "voter")
			v := voters[i]
			at := now + v.offset
			switch rapid.SampledFrom([]string{"step", "step", "watch", "answer", "answer lost", "request lost", "restart"}).Draw(t, "event") {
			case "step":
				if c := v.election.Step(at, i); c != nil {
					v.sent = c
				}
			case "watch":
				v.election.Observe(at, s.object, s.version)
			case "answer":
				v.settle(at, s.put(t, v.sent), s.version)
			case "answer lost":
				s.put(t, v.sent)
				v.giveUp(at)
			case "request lost":
				v.giveUp(at)
			case "restart":
				voters[i] = newVoter(t, i, now)
			}
			holders := 0
			for _, other := range voters {
				if other.election.Holds(now + other.offset) {
					holders++
				}
			}
			require.LessOrEqual(t, holders, 1, "two hold the service at one time")
		}
	})
}

func newVoter(t *rapid.T, i int, now time.Duration) *voter {
	offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock")) * time.Hour
	incarnation := rapid.StringMatching("[a-z]{12}").Draw(t, "incarnation")
	return &voter{offset: offset, election: NewElection("s", string(rune('a'+i)), incarnation, now+offset)}
}

func (s *store) put(t *rapid.T, c *Claim) bool {
	if c == nil || c.Version != s.version {
		return false
	}
	s.version++
	require.Empty(t, s.winners[s.version], "two writes took effect on one version")
	require.Greater(t, c.Object.Renewal, s.object.Renewal)
	require.GreaterOrEqual(t, c.Object.Epoch, s.object.Epoch)
	if c.Object.Holder+c.Object.Incarnation != s.object.Holder+s.object.Incarnation {
		require.Greater(t, c.Object.Epoch, s.object.Epoch, "another holder in the same epoch")
	}
	s.object, s.winners[s.version] = c.Object, c.Object.Holder+c.Object.Incarnation
	return true
}

func (v *voter) settle(now time.Duration, won bool, version uint64) {
	if v.sent == nil {
		return
	}
	c := v.sent
	v.sent = nil
	v.election.Done(now, c, version, won)
}

func (v *voter) giveUp(now time.Duration) {
	if v.sent != nil {
		v.sent = nil
		v.election.Unknown(now)
	}
}

// The store does not answer one renewal. Nobody planned the service for 5 s though
// its assigner was well: it gave its hold up at the first lost answer.
func TestOneLostRenewalKeepsTheHold(t *testing.T) {
	e := NewElection("s", "a", "a-1", 0)
	c := e.Step(0, 0)
	e.Done(time.Millisecond, c, 1, true)
	require.NotNil(t, e.Step(AssignerRenewal, 0))
	e.Unknown(2 * AssignerRenewal)
	require.True(t, e.Holds(2*AssignerRenewal))
	require.NotNil(t, e.Step(2*AssignerRenewal, 0), "tried again at once")
	e.Unknown(AssignerLife - 1)
	require.False(t, e.Holds(AssignerLife), "dated from the last that is known to have succeeded")
}

func TestHoldLapsesDuringPause(t *testing.T) {
	e := NewElection("s", "a", "a-1", 0)
	c := e.Step(0, 0)
	require.NotNil(t, c)
	e.Done(time.Second, c, 1, true)
	require.True(t, e.Holds(AssignerLife-time.Millisecond))
	require.False(t, e.Holds(AssignerLife), "dated from the send, not from the answer")
	require.Nil(t, e.Step(time.Hour, 0), "back from a pause, it waits like a follower")
	require.False(t, e.Holds(time.Hour))
}

func TestFollowerTakesOverAfterSilence(t *testing.T) {
	e := NewElection("s", "b", "b-1", 0)
	e.Observe(0, model.Assigner{Service: "s", Holder: "a", Epoch: 4, Renewal: 9}, 7)
	require.Nil(t, e.Step(AssignerLife-1, 0))
	require.Nil(t, e.Step(AssignerLife+claimStep-1, 1))
	c := e.Step(AssignerLife+claimStep, 1)
	require.Equal(t, &Claim{Object: model.Assigner{Service: "s", Holder: "b", Incarnation: "b-1", Epoch: 5, Renewal: 10}, Version: 7}, c)
	e.Observe(AssignerLife+claimStep, model.Assigner{Service: "s", Holder: "c", Epoch: 5, Renewal: 10}, 8)
	e.Done(AssignerLife+2*claimStep, c, 0, false)
	require.False(t, e.Holds(AssignerLife+2*claimStep))
	require.Equal(t, "c", e.Holder())
}
