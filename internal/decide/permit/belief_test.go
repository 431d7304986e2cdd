package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimitEndsWithAResponseThatStatesNone(t *testing.T) {
	var b Belief
	require.False(t, b.NotStated(time.Second, "a", 2*time.Second))
	require.True(t, b.Stated(3.4, "a", 3*time.Second))
	require.False(t, b.Stated(3.4, "a", 4*time.Second))
	require.True(t, b.Stated(2.6, "a", 5*time.Second))
	require.Equal(t, Belief{Limited: true, PerSecond: 2.6, FirstAt: 3 * time.Second, LastAt: 5 * time.Second, Source: "a"}, b)
	require.True(t, b.NotStated(6*time.Second, "a", 7*time.Second))
	require.False(t, b.Limited)
}

// Guards against a response that a target began before it stated its limit and that ends the limit.
func TestEarlierRequestDoesNotEndTheLimit(t *testing.T) {
	var b Belief
	b.Stated(3.4, "a", 3*time.Second)
	require.False(t, b.NotStated(2*time.Second, "a", 4*time.Second))
	require.True(t, b.Limited)
}

func TestWindowCountsTheLastFourSeconds(t *testing.T) {
	var w Window
	for i := range 20 {
		w.Add(time.Duration(i) * time.Second)
	}
	require.Equal(t, 4, w.Count(19*time.Second))
	require.Zero(t, w.Count(time.Minute))
}
