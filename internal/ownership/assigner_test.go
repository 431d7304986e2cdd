package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/model"
)

// candidate is one agent of the election under test. Its clock has a random offset.
type candidate struct {
	election *Election
	offset   time.Duration
	sent     *Claim
}

// store holds one object and accepts conditional writes to it.
type store struct {
	object  model.Assigner
	version uint64
	writers map[uint64]string
}

// Guards against two assigners planning at once, which an operator's dump would show
// as two owners planned for one slice: a holder is paused, a follower takes over, and
// the holder resumes. It would happen if two writes succeeded on one version, or if
// a paused holder still considered its hold valid.
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
			i := rapid.IntRange(0, len(candidates)-1).Draw(t, "candidate")
			cand := candidates[i]
			at := now + cand.offset
			switch rapid.SampledFrom([]string{"step", "step", "watch", "answer", "answer lost", "request lost", "restart"}).Draw(t, "event") {
			case "step":
				if c := cand.election.Step(at, i); c != nil {
					cand.sent = c
				}
			case "watch":
				cand.election.Observe(at, s.object, s.version)
			case "answer":
				cand.completeWrite(at, s.put(t, cand.sent), s.version)
			case "answer lost":
				s.put(t, cand.sent)
				cand.abandonWrite(at)
			case "request lost":
				cand.abandonWrite(at)
			case "restart":
				candidates[i] = newCandidate(t, i, now)
			}
			holders := 0
			for _, other := range candidates {
				if other.election.Holds(now + other.offset) {
					holders++
				}
			}
			require.LessOrEqual(t, holders, 1, "two agents hold the service at the same time")
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
	require.Empty(t, s.writers[s.version], "two writes took effect on the same version")
	require.Greater(t, c.Object.Renewal, s.object.Renewal)
	require.GreaterOrEqual(t, c.Object.Epoch, s.object.Epoch)
	if c.Object.Holder+c.Object.Incarnation != s.object.Holder+s.object.Incarnation {
		require.Greater(t, c.Object.Epoch, s.object.Epoch, "the holder changed without a new epoch")
	}
	s.object, s.writers[s.version] = c.Object, c.Object.Holder+c.Object.Incarnation
	return true
}

func (cand *candidate) completeWrite(now time.Duration, won bool, version uint64) {
	if cand.sent == nil {
		return
	}
	c := cand.sent
	cand.sent = nil
	cand.election.Done(now, c, version, won)
}

func (cand *candidate) abandonWrite(now time.Duration) {
	if cand.sent != nil {
		cand.sent = nil
		cand.election.OutcomeUnknown(now)
	}
}

// Guards against a healthy assigner giving up its hold when the store does not answer
// one renewal. Nobody planned the service for 5 s after that.
func TestLostRenewalAnswerKeepsHold(t *testing.T) {
	e := NewElection("s", "a", "a-1", 0)
	c := e.Step(0, 0)
	e.Done(time.Millisecond, c, 1, true)
	require.NotNil(t, e.Step(AssignerRenewInterval, 0))
	e.OutcomeUnknown(2 * AssignerRenewInterval)
	require.True(t, e.Holds(2*AssignerRenewInterval))
	require.NotNil(t, e.Step(2*AssignerRenewInterval, 0), "the renewal is retried at once")
	e.OutcomeUnknown(AssignerTTL - 1)
	require.False(t, e.Holds(AssignerTTL), "the hold counts from the last renewal known to have succeeded")
}

func TestHoldLapsesDuringPause(t *testing.T) {
	e := NewElection("s", "a", "a-1", 0)
	c := e.Step(0, 0)
	require.NotNil(t, c)
	e.Done(time.Second, c, 1, true)
	require.True(t, e.Holds(AssignerTTL-time.Millisecond))
	require.False(t, e.Holds(AssignerTTL), "the hold counts from the send, not from the answer")
	require.Nil(t, e.Step(time.Hour, 0), "after a pause the former holder waits like a follower")
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
