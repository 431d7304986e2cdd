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
	require.Equal(t, Belief{Limited: true, PerSecond: 2.6, FirstAt: 3 * time.Second, LastAt: 5 * time.Second, Source: "a", Stamp: 5 * time.Second}, b)
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

// Guards against a limit that never ends because VMs tell each other of it again and again.
func TestReportsDoNotCirculate(t *testing.T) {
	var a, b Belief
	a.Stated(3.4, "a", time.Second)
	for now := time.Second; now < 5*time.Second; now += 10 * time.Millisecond {
		for _, hop := range []struct{ from, to *Belief }{{&a, &b}, {&b, &a}} {
			if r, told := hop.from.Report(now); told {
				hop.to.Merge(r, r.Source == "a" && hop.from == &a, now+5*time.Millisecond)
			}
		}
	}
	require.True(t, b.Limited)
	require.Equal(t, time.Second, a.LastAt)
	require.LessOrEqual(t, b.LastAt, time.Second+5*time.Millisecond)
}

// Guards against a limit that stays in force at a VM which hears of its end from another one only.
func TestEndOfALimitIsLearnedFromOthers(t *testing.T) {
	var a, b Belief
	a.Stated(3.4, "a", time.Second)
	r, _ := a.Report(time.Second)
	require.True(t, b.Merge(r, true, time.Second))
	require.True(t, a.NotStated(2*time.Second, "a", 3*time.Second))
	r, told := a.Report(3 * time.Second)
	require.True(t, told)
	require.True(t, b.Merge(r, true, 3*time.Second))
	require.False(t, b.Limited)
	_, told = a.Report(time.Minute)
	require.False(t, told)
}

// Guards against a report of an end that overtakes a later statement.
func TestStatementCountsMoreThanAnEndAtAboutTheSameTime(t *testing.T) {
	var a, b Belief
	a.Stated(3.4, "a", time.Second)
	a.NotStated(1100*time.Millisecond, "a", 1200*time.Millisecond)
	b.Stated(3.4, "b", 1150*time.Millisecond)
	r, _ := a.Report(1300 * time.Millisecond)
	require.False(t, b.Merge(r, true, 1300*time.Millisecond))
	require.True(t, b.Limited)
}

func TestReportAtSecondHandCountsOnlyIfNothingIsKnown(t *testing.T) {
	var a, b Belief
	a.Stated(3.4, "a", time.Second)
	r, _ := a.Report(time.Second)
	require.True(t, b.Merge(r, false, time.Second))
	require.True(t, b.Limited)
	r.PerSecond, r.Stamp, r.Age = 9, 2*time.Second, 0
	require.False(t, b.Merge(r, false, 2*time.Second))
	require.Equal(t, 3.4, b.PerSecond)
}

// Guards against a VM whose reports are ignored after it has rebooted, because its clock begins anew.
func TestReportsOfARebootedVMCount(t *testing.T) {
	var b Belief
	require.True(t, b.Merge(Report{Limited: true, PerSecond: 3, Source: "a", Stamp: time.Hour}, true, time.Second))
	require.True(t, b.Merge(Report{Limited: true, PerSecond: 5, Source: "a", Stamp: time.Minute}, true, 20*time.Second))
	require.Equal(t, 5.0, b.PerSecond)
}
