package mesh

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// manualClock is a clock that only the test advances. Goroutines of a mesh read it concurrently.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// staticLocal sends the same heartbeat each time and ignores those of others.
type staticLocal struct{ self Member }

func (l staticLocal) Heartbeat() Heartbeat               { return Heartbeat{From: l.self} }
func (staticLocal) OnHeartbeat(Heartbeat, time.Duration) {}

func newMesh(t *testing.T) (*Mesh, *manualClock) {
	clock := new(manualClock)
	clock.advance(time.Hour)
	self := Member{VM: "a", Addr: "127.0.0.1:1", Incarnation: 7}
	m := New(self, clock, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	m.Start(staticLocal{self})
	t.Cleanup(m.Close)
	return m, clock
}

func (m *Mesh) receiveHeartbeat(b Heartbeat) {
	var out Heartbeat
	_ = Service{m}.Heartbeat(&b, &out)
}

// advanceInSteps advances the clock in steps too short to count as a pause of this VM.
func advanceInSteps(m *Mesh, clock *manualClock, d time.Duration) {
	for end := clock.Now() + d; clock.Now() < end; {
		clock.advance(pauseThreshold / 2)
		m.Live()
	}
}

func TestSilentVMIsLostUntilItsNextHeartbeat(t *testing.T) {
	m, clock := newMesh(t)
	b := Member{VM: "b", Addr: "127.0.0.1:1", Incarnation: 1}
	m.receiveHeartbeat(Heartbeat{From: b})
	require.True(t, m.IsLive("b", 1))
	require.Len(t, m.Live(), 2)
	advanceInSteps(m, clock, minFailureTimeout+pauseThreshold)
	require.False(t, m.IsLive("b", 1))
	m.receiveHeartbeat(Heartbeat{From: b})
	require.True(t, m.IsLive("b", 1))
	m.receiveHeartbeat(Heartbeat{From: b, Leaving: true})
	require.Len(t, m.Live(), 1, "a leaving VM takes no new duties")
	require.True(t, m.IsLive("b", 1), "a leaving VM keeps its duties")
}

// Guards against a VM that takes over the duties of all others after it was paused itself.
func TestOwnPauseDoesNotMarkPeersAsLost(t *testing.T) {
	m, clock := newMesh(t)
	m.receiveHeartbeat(Heartbeat{From: Member{VM: "b", Addr: "127.0.0.1:1", Incarnation: 1}})
	clock.advance(10 * time.Second)
	require.True(t, m.IsLive("b", 1))
	advanceInSteps(m, clock, minFailureTimeout+pauseThreshold)
	require.False(t, m.IsLive("b", 1), "it had time to call after the pause")
}

// Guards against a late heartbeat of an ended process that replaces the VM's new incarnation.
func TestNewIncarnationReplacesTheOldOne(t *testing.T) {
	m, _ := newMesh(t)
	b := Member{VM: "b", Addr: "127.0.0.1:1", Incarnation: 1}
	m.receiveHeartbeat(Heartbeat{From: b, Loads: []Load{NewLoad(0xabcdef12, 3)}})
	require.Equal(t, 3, m.Loads()[LoadKey(0xabcdef12)])
	next := b
	next.Incarnation = 2
	m.receiveHeartbeat(Heartbeat{From: next})
	m.receiveHeartbeat(Heartbeat{From: b, Loads: []Load{NewLoad(0xabcdef12, 3)}})
	require.False(t, m.IsLive("b", 1))
	require.True(t, m.IsLive("b", 2))
	require.Empty(t, m.Loads())
}

// Guards against a VM that is ignored after its wall clock stepped back, which makes its new
// incarnation lower than the old one.
func TestIncarnationAfterClockStepBackIsAccepted(t *testing.T) {
	m, clock := newMesh(t)
	m.receiveHeartbeat(Heartbeat{From: Member{VM: "b", Addr: "127.0.0.1:1", Incarnation: 9}})
	next := Heartbeat{From: Member{VM: "b", Addr: "127.0.0.1:1", Incarnation: 5}}
	m.receiveHeartbeat(next)
	require.True(t, m.IsLive("b", 9), "a late heartbeat of an earlier incarnation is ignored")
	advanceInSteps(m, clock, minFailureTimeout+pauseThreshold)
	m.receiveHeartbeat(next)
	require.True(t, m.IsLive("b", 5))
}

func TestLoadsOfAllVMsAreSummed(t *testing.T) {
	m, _ := newMesh(t)
	for i, vm := range []string{"b", "c"} {
		m.receiveHeartbeat(Heartbeat{From: Member{VM: vm, Addr: "127.0.0.1:1", Incarnation: 1}, Loads: []Load{NewLoad(1<<20, i+1), NewLoad(2<<20, 1000)}})
	}
	require.Equal(t, 3, m.Loads()[LoadKey(1<<20)])
	require.Equal(t, 2*maxLoad, m.Loads()[LoadKey(2<<20)], "a number above the maximum is reduced and does not alter the hash")
}

// Guards against announcements that saturate the links: they are brief in both directions, and
// the receiver keeps the details of the last full heartbeat.
func TestBriefHeartbeatKeepsDetailsOfTheLastFullOne(t *testing.T) {
	m, _ := newMesh(t)
	full := Heartbeat{
		From:   Member{VM: "b", Addr: "127.0.0.1:1", Incarnation: 1},
		Loads:  []Load{NewLoad(7<<8, 3)},
		Leases: []LeaseVersion{{Service: "s", Epoch: 2}},
	}
	m.receiveHeartbeat(full)
	next := full
	next.ConfigVersion = 9
	var reply Heartbeat
	brief := next.brief()
	require.Empty(t, brief.Loads)
	require.NoError(t, Service{m}.Heartbeat(&brief, &reply))
	require.True(t, reply.Brief, "the reply is brief as well")
	require.Equal(t, map[uint32]int{7 << 8: 3}, m.Loads())
	require.EqualValues(t, 9, m.remote("b").heartbeat.ConfigVersion)
}

// Guards against a large fleet that detects the loss of a grantor only after its grants have
// expired.
func TestLossOfMonitoredVMIsDetectedBeforeGrantsExpire(t *testing.T) {
	m, clock := newMesh(t)
	meet := func() {
		for i := range 88 {
			m.receiveHeartbeat(Heartbeat{From: Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1}})
		}
	}
	m.receiveHeartbeat(Heartbeat{From: Member{VM: "grantor", Addr: "127.0.0.1:1", Incarnation: 1}})
	meet()
	lostAfter := func() time.Duration {
		begin := clock.Now()
		for m.IsLive("grantor", 1) {
			clock.advance(pauseThreshold / 2)
			meet()
		}
		m.receiveHeartbeat(Heartbeat{From: Member{VM: "grantor", Addr: "127.0.0.1:1", Incarnation: 1}})
		return clock.Now() - begin
	}
	require.Greater(t, lostAfter(), 5*time.Second)
	m.Monitor("s", "grantor")
	require.Less(t, lostAfter(), 2*time.Second)
	m.Monitor("s", "")
	require.Greater(t, lostAfter(), 5*time.Second)
}

// Guards against a takeover by a VM whose own link is saturated, so that heartbeats of all VMs
// reach it late.
func TestMonitoredVMIsNotLostWhileMostVMsAreSilent(t *testing.T) {
	m, clock := newMesh(t)
	for i := range 88 {
		m.receiveHeartbeat(Heartbeat{From: Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1}})
	}
	m.Monitor("s", "vm-0")
	advanceInSteps(m, clock, 3*time.Second)
	require.True(t, m.IsLive("vm-0", 1))
	advanceInSteps(m, clock, 4*time.Second)
	require.False(t, m.IsLive("vm-0", 1))
}

// Guards against a target that still counts as loaded with the requests of a failed VM.
func TestLoadsOfFailedVMAreDropped(t *testing.T) {
	m, _ := newMesh(t)
	m.receiveHeartbeat(Heartbeat{From: Member{VM: "b", Addr: "127.0.0.1:1", Incarnation: 1}, Loads: []Load{NewLoad(1<<20, 3)}})
	require.Equal(t, map[uint32]int{1 << 20: 3}, m.ChangedLoads())
	require.Empty(t, m.ChangedLoads(), "no load has changed since the last call")
	m.dropLoads(m.remote("b"))
	require.Equal(t, map[uint32]int{1 << 20: 0}, m.ChangedLoads())
	require.Empty(t, m.Loads())
}

// Guards against load counts of shared targets that become more stale as the fleet grows.
func TestHeartbeatPeriodOfNeighboursIsBoundedAtAnyFleetSize(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		m, _ := newMesh(t)
		for i := range n {
			m.receiveHeartbeat(Heartbeat{From: Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1}})
		}
		m.SetNeighbours(map[string]bool{"vm-3": true})
		period, _ := m.periodOf(m.remote("vm-3"))
		require.LessOrEqual(t, period, maxClosePeriod, "%d VMs", n)
		other, _ := m.periodOf(m.remote("vm-4"))
		perSecond := float64(n) / other.Seconds()
		require.Less(t, perSecond, 70.0, "heartbeats a second with all others, %d VMs", n)
	}
}

// Guards against a VM that counts as failed after one lost heartbeat, and against VMs that are busy with calls to
// lost ones.
func TestFailedHeartbeatIsRetriedSoon(t *testing.T) {
	const maxCallsPerSecond = 45
	m, _ := newMesh(t)
	timedOut := errors.New("timed out")
	for i := range 300 {
		vm := fmt.Sprintf("vm-%d", i)
		m.receiveHeartbeat(Heartbeat{From: Member{VM: vm, Addr: "127.0.0.1:1", Incarnation: 1}})
		m.mu.Lock()
		m.setFailingLocked(m.remotes[vm], true)
		failing := m.failing
		m.mu.Unlock()
		delay := m.delayAfter(timedOut, 8*time.Second)
		require.LessOrEqual(t, delay, max(minRetryPeriod, time.Duration(failing)*25*time.Millisecond))
		require.LessOrEqual(t, float64(failing)/(delay+callTimeout).Seconds(), float64(maxCallsPerSecond))
	}
	require.Equal(t, maxClosePeriod, m.delayAfter(timedOut, maxClosePeriod))
	require.Equal(t, 5*time.Second, m.delayAfter(nil, 5*time.Second))
}

// Guards against a request that crashes targets again after each restart of the VM that reported
// the crashes.
func TestReportedCrashesOutliveTheReportingProcess(t *testing.T) {
	const retention = 30 * time.Second
	m, clock := newMesh(t)
	b := Member{VM: "b", Addr: "127.0.0.1:1", Incarnation: 1}
	m.receiveHeartbeat(Heartbeat{From: b, Crashes: []Crash{{Content: 7, Targets: []uint32{1, 2}}}})
	b.Incarnation = 2
	m.receiveHeartbeat(Heartbeat{From: b})
	require.Equal(t, []uint32{1, 2}, m.Crashes(7, retention))
	require.Empty(t, m.Crashes(8, retention))
	m.receiveHeartbeat(Heartbeat{From: b, Crashes: []Crash{{Content: 7, Targets: []uint32{3}}}})
	require.ElementsMatch(t, []uint32{1, 2, 3}, m.Crashes(7, retention))
	clock.advance(retention)
	require.Equal(t, []uint32{3}, m.Crashes(7, retention))
}

// Guards against calls through VMs that do not know yet that the store leaves their calls unanswered.
func TestRelaysThatTheStoreHasAnsweredComeFirst(t *testing.T) {
	m, _ := newMesh(t)
	for i := range 20 {
		m.receiveHeartbeat(Heartbeat{From: Member{VM: fmt.Sprint("vm-", i), Addr: "127.0.0.1:1", Incarnation: 1}, StoreAnswered: i >= 18, StoreLost: i < 4})
	}
	relays := m.StoreRelays()
	require.Len(t, relays, 16)
	require.ElementsMatch(t, []string{"vm-18", "vm-19"}, []string{relays[0].VM, relays[1].VM})
}
