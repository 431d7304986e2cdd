package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/standin/fleet"
)

// Targets report their events to a Checker.
var _ fleet.Observer = (*Checker)(nil)

// manualChecker is a Checker with a clock that the test sets.
type manualChecker struct {
	*Checker
	now time.Time
}

func newManualChecker() *manualChecker {
	p := &manualChecker{now: time.Unix(0, 0)}
	p.Checker = NewChecker(func() time.Time { return p.now })
	return p
}

// grant records a grant of keys to a target for two seconds.
func (p *manualChecker) grant(target string, from, to uint16, fence uint64) {
	p.Granted(target, from, to, fence, p.now.Add(2*time.Second))
}

// requireViolation requires exactly one violation, of this guarantee and subject.
func (p *manualChecker) requireViolation(t *testing.T, guarantee, subject string) {
	t.Helper()
	require.Len(t, p.Violations(), 1)
	require.Equal(t, guarantee, p.Violations()[0].Guarantee)
	require.Equal(t, subject, p.Violations()[0].Subject)
}

func TestFindsTwoOwnersAtOnce(t *testing.T) {
	p := newManualChecker()
	p.grant("k-1", 0, 99, 1)
	p.now = p.now.Add(2*time.Second - time.Millisecond)
	p.grant("k-2", 90, 200, 2)
	p.requireViolation(t, OneOwner, "key 90")
	require.Equal(t, 1999*time.Millisecond, p.Violations()[0].At)
	require.Contains(t, p.Violations()[0].Detail, "k-2 takes keys 90 to 200 with fence 2 while k-1 holds the key for 1ms more")
}

// Guards against a verdict in which the renewals of two conflicting grants crowd out other violations.
func TestRecordsOneViolationPerSubject(t *testing.T) {
	p := newManualChecker()
	p.grant("k-1", 0, 99, 1)
	p.grant("k-2", 0, 99, 2)
	p.grant("k-2", 0, 99, 3)
	require.Len(t, p.Violations(), 1)
	p.grant("k-1", 50, 50, 4)
	require.Len(t, p.Violations(), 2)
}

// Guards against an outdated grant that goes unnoticed because it arrives after the hold of the next
// owner has ended as well.
func TestFindsFenceThatDoesNotIncrease(t *testing.T) {
	for _, fence := range []uint64{6, 7} {
		p := newManualChecker()
		p.grant("k-2", 0, 99, 7)
		p.now = p.now.Add(time.Hour)
		p.grant("k-1", 99, 99, fence)
		p.requireViolation(t, OneOwner, "key 99")
	}
}

func TestAcceptsKeysThatMoveInOrder(t *testing.T) {
	p := newManualChecker()
	p.grant("k-1", 0, 65535, 1)
	require.True(t, p.AllHeld())
	p.grant("k-1", 0, 65535, 1)
	p.Released("k-1", 0, 99)
	require.False(t, p.AllHeld())
	p.grant("k-2", 0, 99, 2)
	p.now = p.now.Add(2 * time.Second)
	p.grant("k-3", 0, 65535, 3)
	require.Empty(t, p.Violations())
	require.Equal(t, Stats{Grants: 4, Moves: 2}, p.Stats())
}

func TestFindsSecondRunOfNonIdempotentRequest(t *testing.T) {
	p := newManualChecker()
	p.RequestSent("idempotent", false)
	p.RequestSent("once", true)
	p.Ran("p-1", "idempotent")
	p.Ran("p-2", "idempotent")
	p.Ran("p-1", "once")
	require.Empty(t, p.Violations())
	p.Ran("p-2", "once")
	p.requireViolation(t, AtMostOnce, "request once")
}

func TestFindsRunOfRefusedRequest(t *testing.T) {
	before, after := newManualChecker(), newManualChecker()
	before.RequestSent("a", true)
	before.Ran("p-1", "a")
	require.Empty(t, before.Violations())
	before.RequestRefused("a", http.StatusServiceUnavailable)
	before.requireViolation(t, AtMostOnce, "request a")

	after.RequestSent("a", true)
	after.RequestRefused("a", http.StatusTooManyRequests)
	require.Empty(t, after.Violations())
	after.Ran("p-1", "a")
	after.requireViolation(t, AtMostOnce, "request a")
}

func TestFindsRunOfUnknownRequest(t *testing.T) {
	p := newManualChecker()
	p.Ran("p-1", "a")
	p.requireViolation(t, AtMostOnce, "request a")
}

func TestFindsAnswerThatDiffersFromTheOneSent(t *testing.T) {
	sent := fleet.Body("p-1", "/p/1", bodyBytes)
	for _, body := range []string{sent[:len(sent)-1], sent + " ", "", strings.Replace(sent, "p-1", "p-2", 1)} {
		p := newManualChecker()
		p.RequestSent("a", true)
		p.RequestAnswered("a", sent, sent)
		require.Empty(t, p.Violations())
		p.RequestAnswered("a", body, sent)
		p.requireViolation(t, IntactAnswer, "request a")
	}
}

// Guards against a run that passes although a process crashed, after which it finds nothing, or
// although it was interrupted.
func TestVerdictNamesSeedViolationAndLogs(t *testing.T) {
	p := newManualChecker()
	p.Violated(NoUnexpectedExit, "vm-2", "its process ended by itself: %v", "exit status 2")
	var out strings.Builder
	r := &Run{Seed: 7, Schedule: new(Schedule), Duration: time.Second, Dir: "out/soak/7"}
	r.verdict(&out, p.Checker, nil)
	require.Contains(t, out.String(), "seed 7: BROKEN 1 times;")
	require.Contains(t, out.String(), "logs in out/soak/7\n")
	require.Contains(t, out.String(), "seed 7: STAYS UP broken at 0.000 s: vm-2: its process ended by itself: exit status 2\n")

	out.Reset()
	r.verdict(&out, newManualChecker().Checker, errUnownedKeys)
	require.NotContains(t, out.String(), "whole")
	out.Reset()
	r.verdict(&out, newManualChecker().Checker, nil)
	require.Contains(t, out.String(), "seed 7: whole;")
}

// Guards against a VM that shuts down and closes the connection of a forwarded request without an
// answer.
func TestFindsConnectionClosedDuringShutdown(t *testing.T) {
	p := newManualChecker()
	p.RequestSent("refused connection", false)
	p.ConnectionClosed("refused connection", "vm-1")
	require.Empty(t, p.Violations(), "the request was not forwarded")
	p.RequestSent("a", false)
	p.Ran("k-1", "a")
	p.ConnectionClosed("a", "vm-1")
	p.requireViolation(t, AnswerDuringShutdown, "request a")
}

// Guards against a VM that accepts a request late in its grace period and aborts it while a target
// runs it.
func TestFindsRequestAbortedDuringShutdown(t *testing.T) {
	p := newManualChecker()
	p.RequestSent("a", false)
	p.Ran("k-1", "a")
	p.RequestAborted("a", "vm-1", 3200*time.Millisecond)
	require.Empty(t, p.Violations(), "the target closed the connection")
	p.Abandoned("k-1", "a")
	p.RequestAborted("a", "vm-1", 3200*time.Millisecond)
	p.requireViolation(t, AnswerDuringShutdown, "request a")
}

// Guards against a check of evacuations that overlooks requests, or counts those right after a fault.
func TestRequestsToEvacuatedDataCentreAreFound(t *testing.T) {
	now := time.Now()
	c := NewChecker(func() time.Time { return now })
	ran := func(target string) int {
		id := fmt.Sprint(now, target)
		c.RequestSent(id, false)
		c.Ran(target, id)
		return len(c.Violations())
	}
	c.setEvacuated(true)
	now = now.Add(evacuateWithin)
	require.Zero(t, ran("k-3"))
	c.countOtherFault(1)
	now = now.Add(time.Second)
	require.Zero(t, ran("k-3"), "a fault is in progress")
	c.countOtherFault(-1)
	now = now.Add(faultFreeTime)
	require.Zero(t, ran("k-3"))
	now = now.Add(time.Second)
	require.Zero(t, ran("k-2"), "in another data centre")
	require.Equal(t, 1, ran("p-3"))
	c.setEvacuated(false)
	require.Equal(t, 1, ran("k-3"))
}
