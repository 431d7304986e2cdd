package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// makeSuspects makes fingerprints suspect at a tracker: they ran together on a target
// that died.
func makeSuspects(tr *Tracker, now time.Duration, fps ...Fingerprint) []Case {
	for _, fp := range fps {
		tr.Started(fp, testPool, "lost", now)
	}
	return tr.Died(fps, testPool, "lost", now)
}

// A target dies with a killer and two innocents on it. If every suspect had a
// target to itself at once, three targets of a small pool would take no other
// work, and several killers would take them all down together. One suspect at a
// time is on trial; the next one has its turn when the first is over.
func TestOneSuspectPerPoolRunsAtATime(t *testing.T) {
	tr := New("vm1")
	makeSuspects(tr, 0, 1, 2)
	for _, fp := range []Fingerprint{1, 2} {
		require.Equal(t, NeedsPermit, tr.Admit(fp, testPool, "a", 0))
		tr.PermitDecided(fp, 0, true, 0)
	}
	require.Equal(t, Run, tr.Admit(1, testPool, "a", 0))
	tr.Started(1, testPool, "a", 0)
	require.Equal(t, Hold, tr.Admit(2, testPool, "b", 0), "another suspect is on trial")
	require.Equal(t, Run, tr.Admit(7, testPool, "b", 0), "ordinary work goes on")
	require.NotNil(t, tr.Finished(1, testPool, "a", true, 1))
	require.Equal(t, Run, tr.Admit(2, testPool, "a", 1), "its turn")
}

// Two dispatchers hold the queue of one pool, and each has another suspect. One
// suspect is on trial; the second dispatcher asks for a permit for the other one.
// Both targets could die at once, and an order for each pool would mean nothing.
func TestNoPermitWhileAnotherSuspectRuns(t *testing.T) {
	tr := New("vm2")
	cases := makeSuspects(tr, 0, 1, 2)
	require.Len(t, cases, 2)
	require.Equal(t, NeedsPermit, tr.Admit(1, testPool, "a", 0))
	tr.PermitDecided(1, 0, true, 0)
	tr.Started(1, testPool, "a", 0)
	require.False(t, tr.MayPermit(2, testPool, "vm1", 0), "another suspect is on trial here")
	require.True(t, tr.MayPermit(2, "other", "vm1", 0), "in another pool none is")
	require.NotNil(t, tr.Finished(1, testPool, "a", true, 1))
	require.True(t, tr.MayPermit(2, testPool, "vm1", 1))
}

// A killer runs at two dispatchers at once and takes two targets as a suspect,
// three in all. vm1 agreed to vm2's question, then asked itself, and vm2 gave way
// while its own round was still under way. The round ends, with every word granted.
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
	require.NotEqual(t, Run, vm2.Admit(1, testPool, "b", 0), "vm1 has the permit")
	require.False(t, vm1.MayPermit(1, testPool, "vm2", 0), "it runs")
}

// As above, but vm2 asks first and vm1 has the permit already, not yet used.
func TestHeldPermitIsNotGrantedTwice(t *testing.T) {
	vm2 := New("vm2")
	makeSuspects(vm2, 0, 1)
	require.Equal(t, NeedsPermit, vm2.Admit(1, testPool, "b", 0))
	vm2.PermitDecided(1, 0, true, 0)
	require.False(t, vm2.MayPermit(1, testPool, "vm1", 0))
	late := permitTimeout + time.Millisecond
	require.True(t, vm2.MayPermit(1, testPool, "vm1", late), "given back when nobody used it")
	require.Equal(t, NeedsPermit, vm2.Admit(1, testPool, "b", late))
}

// A killer runs at two dispatchers at once. The round of vm2's first question took
// so long that its permit ran out; vm1 asked meanwhile and was granted it. vm2 asks
// again, and the last words of its first round come in.
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

// Two dispatchers hold one queue, and a killer has its first run at both. Its
// target at vm1 dies; vm1 asks for a permit while the run at vm2 goes on. Were it
// granted, a third target would die; two deaths alone are a quarantine.
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

// A suspect waits for a busy target, which is kept free for it. A second suspect
// that may run too would keep it for itself, and the two by turns for ever: the
// target would take no ordinary work.
func TestReservationIsNotExtendedByAnotherSuspect(t *testing.T) {
	tr := New("vm1")
	makeSuspects(tr, 0, 1, 2)
	tr.Started(8, testPool, "a", 0)
	for _, fp := range []Fingerprint{1, 2} {
		require.Equal(t, NeedsPermit, tr.Admit(fp, testPool, "a", 0))
		tr.PermitDecided(fp, 0, true, 0)
	}
	require.Equal(t, Hold, tr.Admit(1, testPool, "a", 0))
	require.Equal(t, Hold, tr.Admit(9, testPool, "a", time.Second), "kept")
	require.Equal(t, Hold, tr.Admit(2, testPool, "a", time.Second))
	require.Equal(t, Run, tr.Admit(9, testPool, "a", reservationTimeout), "no longer")
}

// A dispatcher holds a permit; the suspect is cleared elsewhere, and then a target
// dies under it again. The old permit would let it run here while another
// dispatcher, which asked after the new death, runs it too.
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
