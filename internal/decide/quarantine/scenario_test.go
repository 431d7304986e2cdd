package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// makeSuspects makes fingerprints suspects at a tracker: they ran together on a target that
// died.
func makeSuspects(tr *Tracker, now time.Duration, fps ...Fingerprint) []Case {
	for _, fp := range fps {
		tr.Started(fp, testPool, "lost", now)
	}
	return tr.Died(fps, testPool, "lost", now)
}

// Guards against suspects that occupy a small pool. If every suspect ran on a target of its own
// at once, these targets would take no other requests, and several crashing requests would kill
// all of them together. The next suspect runs when the first one has ended.
func TestOneSuspectPerPoolRunsAtATime(t *testing.T) {
	tr := New("vm1")
	makeSuspects(tr, 0, 1, 2)
	for _, fp := range []Fingerprint{1, 2} {
		require.Equal(t, NeedsPermit, tr.Admit(fp, testPool, "a", 0))
		tr.PermitDecided(fp, 0, true, 0)
	}
	require.Equal(t, Run, tr.Admit(1, testPool, "a", 0))
	tr.Started(1, testPool, "a", 0)
	require.Equal(t, Hold, tr.Admit(2, testPool, "b", 0), "another suspect is running")
	require.Equal(t, Run, tr.Admit(7, testPool, "b", 0), "other requests are still sent")
	require.NotNil(t, tr.Finished(1, testPool, "a", true, 1))
	require.Equal(t, Run, tr.Admit(2, testPool, "a", 1), "the first suspect has ended")
}

// Guards against two suspects of one pool running at two dispatchers, whose targets could both
// die at once. One suspect is running when the second dispatcher requests a permit for another.
func TestNoPermitWhileAnotherSuspectRuns(t *testing.T) {
	tr := New("vm2")
	cases := makeSuspects(tr, 0, 1, 2)
	require.Len(t, cases, 2)
	require.Equal(t, NeedsPermit, tr.Admit(1, testPool, "a", 0))
	tr.PermitDecided(1, 0, true, 0)
	tr.Started(1, testPool, "a", 0)
	require.False(t, tr.MayPermit(2, testPool, "vm1", 0), "another suspect is running here")
	require.True(t, tr.MayPermit(2, "other", "vm1", 0), "no suspect is running in the other pool")
	require.NotNil(t, tr.Finished(1, testPool, "a", true, 1))
	require.True(t, tr.MayPermit(2, testPool, "vm1", 1))
}

// Guards against a suspect that runs at two dispatchers at once and kills a third target. vm1
// granted vm2's request, then requested the permit itself, and vm2 gave way while its own round
// was still in progress. That round then ends with all replies granted.
func TestReleasedPermitIsNotHeldAfterItsRound(t *testing.T) {
	vm1, vm2 := New("vm1"), New("vm2")
	for _, c := range makeSuspects(vm1, 0, 1) {
		vm2.MergeCase(c, 0)
	}
	require.Equal(t, NeedsPermit, vm2.Admit(1, testPool, "b", 0))
	agreed := vm1.MayPermit(1, testPool, "vm2", 0)
	require.True(t, agreed)
	require.Equal(t, NeedsPermit, vm1.Admit(1, testPool, "a", 0))
	vm1.PermitDecided(1, 0, vm2.MayPermit(1, testPool, "vm1", 0), 0)
	vm2.PermitDecided(1, 0, agreed, 0)
	require.Equal(t, Run, vm1.Admit(1, testPool, "a", 0))
	vm1.Started(1, testPool, "a", 0)
	require.NotEqual(t, Run, vm2.Admit(1, testPool, "b", 0), "vm1 holds the permit")
	require.False(t, vm1.MayPermit(1, testPool, "vm2", 0), "the suspect is running")
}

// Guards against the same where vm1 requests the permit while vm2 holds it and has not used it
// yet.
func TestHeldPermitIsNotGrantedTwice(t *testing.T) {
	vm2 := New("vm2")
	makeSuspects(vm2, 0, 1)
	require.Equal(t, NeedsPermit, vm2.Admit(1, testPool, "b", 0))
	vm2.PermitDecided(1, 0, true, 0)
	require.False(t, vm2.MayPermit(1, testPool, "vm1", 0))
	late := permitTimeout + time.Millisecond
	require.True(t, vm2.MayPermit(1, testPool, "vm1", late), "released after it was not used in time")
	require.Equal(t, NeedsPermit, vm2.Admit(1, testPool, "b", late))
}

// Guards against a suspect that runs at two dispatchers at once. vm2's first permit request timed
// out, and vm1 was granted the permit in the meantime. vm2 requests it again, and only then does
// the round of its first request end.
func TestRoundOfEarlierPermitRequestIsIgnored(t *testing.T) {
	vm2 := New("vm2")
	makeSuspects(vm2, 0, 1)
	require.Equal(t, NeedsPermit, vm2.Admit(1, testPool, "b", 0))
	late := permitTimeout + time.Millisecond
	require.True(t, vm2.MayPermit(1, testPool, "vm1", late))
	require.Equal(t, NeedsPermit, vm2.Admit(1, testPool, "b", late))
	vm2.PermitDecided(1, 0, true, late)
	require.Equal(t, Hold, vm2.Admit(1, testPool, "b", late))
}

// Guards against a third lost target. Two dispatchers hold one queue, and a crashing request has
// its first run at both. Its target at vm1 dies, and vm1 requests a permit while the run at vm2
// is still in flight. Two deaths of targets that ran nothing else make a quarantine.
func TestNoPermitWhileAFirstRunIsInFlight(t *testing.T) {
	vm1, vm2 := New("vm1"), New("vm2")
	vm2.Started(1, testPool, "b", 0)
	for _, c := range makeSuspects(vm1, 0, 1) {
		vm2.MergeCase(c, 0)
	}
	require.False(t, vm2.MayPermit(1, testPool, "vm1", 0))
	for _, c := range vm2.Died([]Fingerprint{1}, testPool, "b", 1) {
		vm1.MergeCase(c, 1)
	}
	require.Equal(t, Refuse, vm1.Admit(1, testPool, "a", 1))
	require.Equal(t, Refuse, vm2.Admit(1, testPool, "a", 1))
}

// Guards against a target that takes no other requests for ever. A suspect waits for a busy target
// that is reserved for it. If a second suspect could renew the reservation for itself, the two
// would reserve the target in turns.
func TestReservationIsNotExtendedByAnotherSuspect(t *testing.T) {
	tr := New("vm1")
	makeSuspects(tr, 0, 1, 2)
	tr.Started(8, testPool, "a", 0)
	for _, fp := range []Fingerprint{1, 2} {
		require.Equal(t, NeedsPermit, tr.Admit(fp, testPool, "a", 0))
		tr.PermitDecided(fp, 0, true, 0)
	}
	require.Equal(t, Hold, tr.Admit(1, testPool, "a", 0))
	require.Equal(t, Hold, tr.Admit(9, testPool, "a", time.Second), "reserved for the first suspect")
	require.Equal(t, Hold, tr.Admit(2, testPool, "a", time.Second))
	require.Equal(t, Run, tr.Admit(9, testPool, "a", reservationTimeout), "the reservation has timed out")
}

// Guards against a suspect that runs at two dispatchers at once. A dispatcher holds a permit; the
// suspect is cleared elsewhere, and then another target dies while running it. With the old
// permit it could run here while a dispatcher that was granted a new one runs it too.
func TestPermitEndsWhenCaseIsCleared(t *testing.T) {
	tr := New("vm1")
	c := makeSuspects(tr, 0, 1)[0]
	require.Equal(t, NeedsPermit, tr.Admit(1, testPool, "a", 0))
	tr.PermitDecided(1, 0, true, 0)
	c.Cleared = []string{c.Deaths[0].Name}
	tr.MergeCase(c, 0)
	c.Deaths = append(c.Deaths, Death{Name: "another"})
	tr.MergeCase(c, 0)
	require.Equal(t, NeedsPermit, tr.Admit(1, testPool, "a", 0))
}
