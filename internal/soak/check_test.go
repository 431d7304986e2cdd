package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/fleet"
)

// Targets report to the checker what they do.
var _ fleet.Watcher = (*Checker)(nil)

// play is a checker with a clock that is set by hand.
type play struct {
	*Checker
	now time.Time
}

func newPlay() *play {
	p := &play{now: time.Unix(0, 0)}
	p.Checker = NewChecker(func() time.Time { return p.now })
	return p
}

// grant lets a target take keys for a hold of two seconds.
func (p *play) grant(target string, from, to uint16, fence uint64) {
	p.Granted(target, from, to, fence, p.now.Add(2*time.Second))
}

// expect requires exactly one break, of this promise and subject.
func (p *play) expect(t *testing.T, promise, subject string) {
	t.Helper()
	require.Len(t, p.Breaks(), 1)
	require.Equal(t, promise, p.Breaks()[0].Promise)
	require.Equal(t, subject, p.Breaks()[0].Subject)
}

func TestTwoHoldersAtOnceAreFound(t *testing.T) {
	p := newPlay()
	p.grant("k-1", 0, 99, 1)
	p.now = p.now.Add(2*time.Second - time.Millisecond)
	p.grant("k-2", 90, 200, 2)
	p.expect(t, OneOwner, "key 90")
	require.Equal(t, 1999*time.Millisecond, p.Breaks()[0].At)
	require.Contains(t, p.Breaks()[0].What, "k-2 takes keys 90 to 200 with fence 2 while k-1 holds the key for 1ms more")
}

// Renewals of the same two owners do not hide other keys in the verdict.
func TestABreakIsTakenOnce(t *testing.T) {
	p := newPlay()
	p.grant("k-1", 0, 99, 1)
	p.grant("k-2", 0, 99, 2)
	p.grant("k-2", 0, 99, 3)
	require.Len(t, p.Breaks(), 1)
	p.grant("k-1", 50, 50, 4)
	require.Len(t, p.Breaks(), 2)
}

// A grant comes late, when the owner after its target holds nothing either.
func TestALowerFenceIsFound(t *testing.T) {
	for _, fence := range []uint64{6, 7} {
		p := newPlay()
		p.grant("k-2", 0, 99, 7)
		p.now = p.now.Add(time.Hour)
		p.grant("k-1", 99, 99, fence)
		p.expect(t, OneOwner, "key 99")
	}
}

func TestKeysThatMoveInOrderAreWhole(t *testing.T) {
	p := newPlay()
	p.grant("k-1", 0, 65535, 1)
	require.True(t, p.AllHeld())
	p.grant("k-1", 0, 65535, 1)
	p.Released("k-1", 0, 99)
	require.False(t, p.AllHeld())
	p.grant("k-2", 0, 99, 2)
	p.now = p.now.Add(2 * time.Second)
	p.grant("k-3", 0, 65535, 3)
	require.Empty(t, p.Breaks())
	require.Equal(t, Figures{Grants: 4, Moves: 2}, p.Figures())
}

func TestASecondRunIsFound(t *testing.T) {
	p := newPlay()
	p.Asked("idempotent", false)
	p.Asked("once", true)
	p.Ran("p-1", "idempotent")
	p.Ran("p-2", "idempotent")
	p.Ran("p-1", "once")
	require.Empty(t, p.Breaks())
	p.Ran("p-2", "once")
	p.expect(t, AtMostOnce, "request once")
}

func TestARunOfARefusedRequestIsFound(t *testing.T) {
	before, after := newPlay(), newPlay()
	before.Asked("a", true)
	before.Ran("p-1", "a")
	require.Empty(t, before.Breaks())
	before.Refused("a", http.StatusServiceUnavailable)
	before.expect(t, AtMostOnce, "request a")

	after.Asked("a", true)
	after.Refused("a", http.StatusTooManyRequests)
	require.Empty(t, after.Breaks())
	after.Ran("p-1", "a")
	after.expect(t, AtMostOnce, "request a")
}

func TestARequestThatNobodySentIsFound(t *testing.T) {
	p := newPlay()
	p.Ran("p-1", "a")
	p.expect(t, AtMostOnce, "request a")
}

func TestAnAnswerThatIsNotWholeIsFound(t *testing.T) {
	sent := fleet.Body("p-1", "/p/1", bodyBytes)
	for _, body := range []string{sent[:len(sent)-1], sent + " ", "", strings.Replace(sent, "p-1", "p-2", 1)} {
		p := newPlay()
		p.Asked("a", true)
		p.Answered("a", sent, sent)
		require.Empty(t, p.Breaks())
		p.Answered("a", body, sent)
		p.expect(t, Whole, "request a")
	}
}

// A process ends by itself: the soak would find nothing from then on. A run that was
// interrupted proves nothing either.
func TestTheVerdictNamesWhatIsNeeded(t *testing.T) {
	p := newPlay()
	p.Broken(StaysUp, "vm-2", "its process ended by itself: %v", "exit status 2")
	var out strings.Builder
	r := &Run{Seed: 7, Schedule: new(Schedule), Duration: time.Second, Dir: "out/soak/7"}
	r.verdict(&out, p.Checker, nil)
	require.Contains(t, out.String(), "seed 7: BROKEN 1 times;")
	require.Contains(t, out.String(), "logs in out/soak/7\n")
	require.Contains(t, out.String(), "seed 7: STAYS UP broken at 0.000 s: vm-2: its process ended by itself: exit status 2\n")

	out.Reset()
	r.verdict(&out, newPlay().Checker, errNotGranted)
	require.NotContains(t, out.String(), "whole")
	out.Reset()
	r.verdict(&out, newPlay().Checker, nil)
	require.Contains(t, out.String(), "seed 7: whole;")
}

// A VM that stops ends the connection of a request that it has passed on, without an answer.
func TestARequestCutByAStopIsFound(t *testing.T) {
	p := newPlay()
	p.Asked("refused connection", false)
	p.Cut("refused connection", "vm-1")
	require.Empty(t, p.Breaks(), "it was not passed on")
	p.Asked("a", false)
	p.Ran("k-1", "a")
	p.Cut("a", "vm-1")
	p.expect(t, Answered, "request a")
}

// A VM takes a request late in its grace and breaks it off while its target works on it.
func TestARequestBrokenOffByAStopIsFound(t *testing.T) {
	p := newPlay()
	p.Asked("a", false)
	p.Ran("k-1", "a")
	p.GivenUp("a", "vm-1", 3200*time.Millisecond)
	require.Empty(t, p.Breaks(), "its target ended the connection")
	p.Abandoned("k-1", "a")
	p.GivenUp("a", "vm-1", 3200*time.Millisecond)
	p.expect(t, Answered, "request a")
}
