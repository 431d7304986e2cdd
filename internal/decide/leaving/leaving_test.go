package leaving

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

const ms = time.Millisecond

func TestAccepts(t *testing.T) {
	cases := []struct {
		name           string
		most, expected time.Duration
		since, left    time.Duration
		want           bool
	}{
		{"asked to stop just now", 4000 * ms, 560 * ms, 0, 5500 * ms, true},
		{"deadline of a minute, asked to stop just now", 60000 * ms, 560 * ms, 0, 5500 * ms, true},
		{"deadline of a minute, before the balancer notices", 60000 * ms, 560 * ms, 2400 * ms, 3100 * ms, true},
		{"three times the mean exceeds the time left", 60000 * ms, 2000 * ms, 0, 5500 * ms, false},
		{"expected time unknown, before the balancer notices", 60000 * ms, 0, 2400 * ms, 3100 * ms, true},
		{"expected time unknown, little time left", 60000 * ms, 0, 1000 * ms, 800 * ms, false},
		{"expected time unknown, after the balancer noticed", 4000 * ms, 0, 3200 * ms, 2300 * ms, false},
		{"expected time unknown, timeout ends it in time", 2000 * ms, 0, 3200 * ms, 2300 * ms, true},
		{"after the balancer noticed, may take four seconds", 4000 * ms, 560 * ms, 3200 * ms, 2300 * ms, false},
		{"after the balancer noticed, deadline of a second", 1000 * ms, 560 * ms, 3200 * ms, 2300 * ms, true},
		{"no time left to deliver the answer", 2300 * ms, 560 * ms, 3200 * ms, 2300 * ms, false},
		{"the process ends now", 100 * ms, 5 * ms, 5500 * ms, 0, false},
		{"after the process should have ended", 0, 0, 6000 * ms, -500 * ms, false},
		{"after the process should have ended, short request", 100 * ms, 5 * ms, 6000 * ms, -500 * ms, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Accepts(Request{MaxDuration: c.most, Expected: c.expected}, c.since, c.left), c.name)
	}
}

// Guards against requests that are aborted when the process ends. Once the load balancer
// has noticed, a request is accepted only if its longest duration and the delivery of its
// answer fit into the time left, no matter how fast such requests usually are.
func TestRequestsAcceptedLateEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		r := Request{MaxDuration: span("most", 0, time.Minute), Expected: span("expected", 0, 10*time.Second)}
		since, left := span("since", balancerDelay, 30*time.Second), span("left", -time.Second, 30*time.Second)
		require.Equal(t, r.MaxDuration+AnswerDelivery <= left, Accepts(r, since, left))
	})
}

// A request that is accepted is also accepted with more time left or a shorter deadline.
func TestMoreTimeOrShorterDeadlineRefusesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		r := Request{MaxDuration: span("most"), Expected: span("expected")}
		since, left := span("since"), span("left")
		if !Accepts(r, since, left) {
			return
		}
		less := Request{MaxDuration: min(r.MaxDuration, span("less")), Expected: r.Expected}
		require.True(t, Accepts(less, since, left+span("more")))
	})
}

func TestAllowsRepeat(t *testing.T) {
	cases := []struct {
		name                 string
		most, expected, left time.Duration
		want                 bool
	}{
		{"half a second expected, two seconds left", 8000 * ms, 500 * ms, 2000 * ms, true},
		{"half a second expected, an eighth of a second left", 8000 * ms, 500 * ms, 125 * ms, false},
		{"the mean ends in time, the slowest may not", 8000 * ms, 500 * ms, 1000 * ms, false},
		{"expected time unknown, more than half of its longest duration left", 4000 * ms, 0, 2300 * ms, true},
		{"expected time unknown, a third of a second left", 4000 * ms, 0, 320 * ms, false},
		{"the deadline ends it before the VM stops", 200 * ms, 500 * ms, 320 * ms, true},
		{"no time left to deliver the answer", 300 * ms, 100 * ms, 320 * ms, false},
		{"after the process should have ended", 0, 0, -500 * ms, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, AllowsRepeat(Request{MaxDuration: c.most, Expected: c.expected}, c.left), c.name)
	}
}
