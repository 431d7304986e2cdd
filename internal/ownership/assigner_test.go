package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/model"
)

// candidate is one agent of the election under test; its clock starts anywhere.
type candidate struct {
	election *Election
	offset   time.Duration
	sent     *Claim
}

// store is one object under conditional writes.
type store struct {
	object  model.Assigner
	version uint64
	writers map[uint64]string
}

// Two assigners plan at once, and the operators' dump shows two owners planned
// for one slice. In which order: a holder is paused, a follower takes over, the
// holder returns. Cause to guard against: both writes succeed on one version, or
// a paused holder still believes in its hold.
func TestElectionHasAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		s := &store{writers: make(map[uint64]string)}
		candidates := make([]*candidate, 3)
		for i := range candidates {
			candidates[i] = newCandidate(t, i, 0)
		}
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(candidates)-1).Draw(t, "voter")
			v := candidates[i]
			at := now + v.offset
			switch rapid.SampledFrom([]string{"step", "step", "watch", "answer", "answer lost", "request lost", "restart"}).Draw(t, "event") {
			case "step":
				if c := v.election.Step(at, i); c != nil {
					v.sent = c
				}
			case "watch":
				v.election.Observe(at, s.object, s.version)
			case "answer":
				v.completeWrite(at, s.put(t, v.sent), s.version)
			case "answer lost":
				s.put(t, v.sent)
				v.abandonWrite(at)
			case "request lost":
				v.abandonWrite(at)
			case "restart":
				candidates[i] = newCandidate(t, i, now)
			}
			holders := 0
			for _, other := range candidates {
				if other.election.Holds(now + other.offset) {
					holders++
				}
			}
			require.LessOrEqual(t, holders, 1, "two hold the service at one time")
		}
	})
}

func newCandidate(t *rapid.T, i int, now time.Duration) *candidate {
	offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock")) * time.Hour
	incarnation := rapid.StringMatching("[a-z]{12}").Draw(t, "incarnation")
	return &candidate{offset: offset, election: NewElection("s", string(rune('a'+i)), incarnation, now+offset)}
}

func (s *store) put(t *rapid.T, c *Claim) bool {
	if c == nil || c.Version != s.version {
		return false
	}
	s.version++
	require.Empty(t, s.writers[s.version], "two writes took effect on one version")
	require.Greater(t, c.Object.Renewal, s.object.Renewal)
	require.GreaterOrEqual(t, c.Object.Epoch, s.object.Epoch)
	if c.Object.Holder+c.Object.Incarnation != s.object.Holder+s.object.Incarnation {
		require.Greater(t, c.Object.Epoch, s.object.Epoch, "another holder in the same epoch")
	}
	s.object, s.writers[s.version] = c.Object, c.Object.Holder+c.Object.Incarnation
	return true
}

func (v *candidate) completeWrite(now time.Duration, won bool, version uint64) {
	if v.sent == nil {
		return
	}
	c := v.sent
	v.sent = nil
	v.election.Done(now, c, version, won)
}

func (v *candidate) abandonWrite(now time.Duration) {
	if v.sent != nil {
		v.sent = nil
		v.election.Unknown(now)
	}
}

// The store does not answer one renewal. Nobody planned the service for 5 s though
// its assigner was well: it gave its hold up at the first lost answer.
func TestLostRenewalAnswerKeepsHold(t *testing.T) {
	e := NewElection("s", "a", "a-1", 0)
	c := e.Step(0, 0)
	e.Done(time.Millisecond, c, 1, true)
	require.NotNil(t, e.Step(AssignerRenewInterval, 0))
	e.Unknown(2 * AssignerRenewInterval)
	require.True(t, e.Holds(2*AssignerRenewInterval))
	require.NotNil(t, e.Step(2*AssignerRenewInterval, 0), "tried again at once")
	e.Unknown(AssignerTTL - 1)
	require.False(t, e.Holds(AssignerTTL), "dated from the last that is known to have succeeded")
}

func TestHoldLapsesDuringPause(t *testing.T) {
	e := NewElection("s", "a", "a-1", 0)
	c := e.Step(0, 0)
	require.NotNil(t, c)
	e.Done(time.Second, c, 1, true)
	require.True(t, e.Holds(AssignerTTL-time.Millisecond))
	require.False(t, e.Holds(AssignerTTL), "dated from the send, not from the answer")
	require.Nil(t, e.Step(time.Hour, 0), "back from a pause, it waits like a follower")
	require.False(t, e.Holds(time.Hour))
}

func TestFollowerTakesOverAfterTTL(t *testing.T) {
	e := NewElection("s", "b", "b-1", 0)
	e.Observe(0, model.Assigner{Service: "s", Holder: "a", Epoch: 4, Renewal: 9}, 7)
	require.Nil(t, e.Step(AssignerTTL-1, 0))
	require.Nil(t, e.Step(AssignerTTL+claimStagger-1, 1))
	c := e.Step(AssignerTTL+claimStagger, 1)
	require.Equal(t, &Claim{Object: model.Assigner{Service: "s", Holder: "b", Incarnation: "b-1", Epoch: 5, Renewal: 10}, Version: 7}, c)
	e.Observe(AssignerTTL+claimStagger, model.Assigner{Service: "s", Holder: "c", Epoch: 5, Renewal: 10}, 8)
	e.Done(AssignerTTL+2*claimStagger, c, 0, false)
	require.False(t, e.Holds(AssignerTTL+2*claimStagger))
	require.Equal(t, "c", e.Holder())
}
