package pushback

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

const ms = time.Millisecond

// Guards against a rest that an answer, a shorter rest or a refusal without one ends early.
func TestStatedRestEndsByTimeOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		now, until := time.Hour, time.Duration(0)
		for range 30 {
			now += time.Duration(rapid.IntRange(1, 800).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				rest := time.Duration(rapid.IntRange(0, 3000).Draw(t, "rest")) * ms
				s.Refused(rest, rapid.Float64Range(0, 0.99).Draw(t, "spread"), now)
				until = max(until, now+rest)
			case 1:
				s.Served(now-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*ms, now)
			}
			if now < until && s.Allows(now) {
				t.Fatalf("a request may be sent %s before the end of the rest", until-now)
			}
		}
	})
}

// Guards against a target that refuses everything and is sent requests at the pace of the callers.
func TestTargetThatRefusesEverythingIsProbed(t *testing.T) {
	var s State
	sent := 0
	for now := time.Hour; now < time.Hour+10*time.Second; now += ms {
		if s.Allows(now) {
			s.Sent(now)
			s.Refused(0, 0.5, now)
			sent++
		}
	}
	require.LessOrEqual(t, sent, 13)
	require.GreaterOrEqual(t, sent, 8)
	now := time.Hour + 20*time.Second
	require.True(t, s.Allows(now))
	s.Sent(now)
	require.False(t, s.Allows(now+ms), "one probe at a time")
	s.Served(now, now+ms)
	require.True(t, s.Allows(now+ms))
}

// Guards against a target that is left alone because one request in two is refused.
func TestSingleRefusalsAreNoReasonToLeaveATargetAlone(t *testing.T) {
	var s State
	for now := time.Hour; now < time.Hour+time.Second; now += 2 * ms {
		require.True(t, s.Allows(now))
		s.Refused(0, 0.5, now)
		require.True(t, s.Allows(now))
		s.Served(now+ms, now+ms)
	}
}

// Guards against lost service at a target that refuses half of the requests: most attempts must be made.
func TestTargetThatRefusesHalfIsUsed(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	var s State
	allowed, attempts := 0, 0
	for now := time.Hour; now < time.Hour+20*time.Second; now += 250 * ms {
		for range 4 {
			attempts++
			if !s.Allows(now) {
				continue
			}
			allowed++
			s.Sent(now)
			if draw.Float64() < 0.55 {
				s.Refused(0, draw.Float64(), now)
				continue
			}
			s.Served(now+1, now+2)
			break
		}
	}
	require.Greater(t, float64(allowed)/float64(attempts), 0.9)
}

// Guards against a probe without an outcome that excludes all later requests.
func TestLostProbeIsReplaced(t *testing.T) {
	var s State
	s.Refused(time.Second, 0, time.Hour)
	at := time.Hour + time.Second
	require.True(t, s.Allows(at))
	s.Sent(at)
	require.False(t, s.Allows(at+ms))
	require.True(t, s.Allows(at+probeTimeout))
}

func TestVMsThatLeaveATargetAloneAreCounted(t *testing.T) {
	var s State
	now := time.Hour
	s.Reported("a", time.Second, now)
	s.Reported("b", 3*time.Second, now)
	s.Reported("c", 0, now)
	require.Equal(t, 2, s.VMs(now))
	s.Refused(time.Second, 0, now)
	require.Equal(t, 3, s.VMs(now))
	require.Equal(t, 1, s.VMs(now+2*time.Second))
}
