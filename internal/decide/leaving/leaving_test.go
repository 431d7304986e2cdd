package leaving

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

const ms = time.Millisecond

func TestTakes(t *testing.T) {
	cases := []struct {
		name           string
		most, expected time.Duration
		since, left    time.Duration
		want           bool
	}{
		{"told just now", 4000 * ms, 560 * ms, 0, 5500 * ms, true},
		{"a caller that waits for a minute, told just now", 60000 * ms, 560 * ms, 0, 5500 * ms, true},
		{"a caller that waits for a minute, the VM not noticed yet", 60000 * ms, 560 * ms, 2400 * ms, 3100 * ms, true},
		{"the work nearly always takes longer than the VM stays", 60000 * ms, 2000 * ms, 0, 5500 * ms, false},
		{"nothing is known of it, the VM not noticed yet", 60000 * ms, 0, 2400 * ms, 3100 * ms, true},
		{"nothing is known of it, the VM has little time", 60000 * ms, 0, 1000 * ms, 800 * ms, false},
		{"nothing is known of it, long after", 4000 * ms, 0, 3200 * ms, 2300 * ms, false},
		{"nothing is known of it, and its timeout ends it", 2000 * ms, 0, 3200 * ms, 2300 * ms, true},
		{"long after, a search that may take four seconds", 4000 * ms, 560 * ms, 3200 * ms, 2300 * ms, false},
		{"long after, a search whose caller waits a second", 1000 * ms, 560 * ms, 3200 * ms, 2300 * ms, true},
		{"the answer would come out as the process ends", 2300 * ms, 560 * ms, 3200 * ms, 2300 * ms, false},
		{"the process ends now", 100 * ms, 5 * ms, 5500 * ms, 0, false},
		{"past its end", 0, 0, 6000 * ms, -500 * ms, false},
		{"past its end, and fast", 100 * ms, 5 * ms, 6000 * ms, -500 * ms, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Accepts(Request{MaxDuration: c.most, Expected: c.expected}, c.since, c.left), c.name)
	}
}

// Once the balancer has noticed, whatever is taken ends before the process does: with the
// longest that it may take, and the way of its answer to the caller. However fast such
// requests usually are, one that is slow is not cut.
func TestWhatIsTakenLateEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
		}
		r := Request{MaxDuration: span("most", 0, time.Minute), Expected: span("expected", 0, 10*time.Second)}
		since, left := span("since", balancerDelay, 30*time.Second), span("left", -time.Second, 30*time.Second)
		require.Equal(t, r.MaxDuration+AnswerDelivery <= left, Accepts(r, since, left))
	})
}

// A VM with more time left, or a caller with less patience, is no reason to refuse.
func TestMoreTimeOrLessPatienceRefusesNothing(t *testing.T) {
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

func TestRepeats(t *testing.T) {
	cases := []struct {
		name                 string
		most, expected, left time.Duration
		want                 bool
	}{
		{"work of half a second, two seconds left", 8000 * ms, 500 * ms, 2000 * ms, true},
		{"work of half a second, an eighth of a second left", 8000 * ms, 500 * ms, 125 * ms, false},
		{"the usual work ends in time, the slowest may not", 8000 * ms, 500 * ms, 1000 * ms, false},
		{"nothing is known of it, most of its time left", 4000 * ms, 0, 2300 * ms, true},
		{"nothing is known of it, a third of a second left", 4000 * ms, 0, 320 * ms, false},
		{"its caller gives up before the VM ends", 200 * ms, 500 * ms, 320 * ms, true},
		{"the answer would arrive as the process ends", 300 * ms, 100 * ms, 320 * ms, false},
		{"past its end", 0, 0, -500 * ms, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, AllowsRepeat(Request{MaxDuration: c.most, Expected: c.expected}, c.left), c.name)
	}
}
