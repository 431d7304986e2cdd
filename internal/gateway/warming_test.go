package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

// coldFleet is the states of the VMs of a fleet that share two targets, of a pool and of a keyed service.
type coldFleet struct {
	clock *manualClock
	vms   []*routingState
}

func newColdFleet(vms int) *coldFleet {
	f := &coldFleet{clock: newManualClock(time.Hour)}
	var members []mesh.Member
	for i := range vms {
		members = append(members, mesh.Member{VM: fmt.Sprintf("vm-%d", i), DataCentre: "a"})
	}
	for _, m := range members {
		s := newTestState(f.clock)
		s.vm, s.warmup = m.VM, Warmup{Ratio: 1.5, Slack: 8}
		s.setConfig(&route.Config{Version: 1, Services: map[string]route.Service{
			"pool":  {Name: "pool", Warmup: 3 * time.Second, WarmupPerSecond: 5.4},
			"keyed": {Name: "keyed", Keyed: true, Warmup: 3 * time.Second, WarmupPerSecond: 5.4},
		}}, "test")
		s.setMembers(members)
		f.vms = append(f.vms, s)
	}
	f.setTargets(1, 0)
	return f
}

func (f *coldFleet) setTargets(revision uint64, warmupLeft time.Duration) {
	for _, s := range f.vms {
		s.setTargets(revision,
			catalog.Target{ID: "p", Service: "pool", Addr: "127.0.0.1:1", Slots: 50, DataCentre: "a", Born: 1, Revision: revision, WarmupLeft: warmupLeft},
			catalog.Target{ID: "k", Service: "keyed", Addr: "127.0.0.1:1", Slots: 50, DataCentre: "a", Born: 1, Revision: revision, WarmupLeft: warmupLeft})
		s.setOwner("keyed", 1, 1, "k", lease.Served)
	}
}

// sendAll has each VM offer ten requests to each target and returns the numbers that are sent.
func (f *coldFleet) sendAll() (toPool, toOwner int) {
	rt := &route.Route{Name: "r"}
	for _, s := range f.vms {
		for range 10 {
			if a, _ := s.reserveFromPool("pool", rt, nil, time.Second, f.clock.Now()); a != nil {
				if s.admitToCold(a.target) {
					toPool++
				}
				s.finish(a, resultReleased)
			}
			if a, _, _ := s.reserveOwner("keyed", rt, 1, mesh.LeaseVersion{}, time.Second); a != nil {
				if s.admitToCold(a.target) {
					toOwner++
				}
				s.finish(a, resultReleased)
			}
		}
	}
	return toPool, toOwner
}

func (f *coldFleet) requireLimited(t *testing.T) {
	t.Helper()
	toPool, toOwner := f.sendAll()
	require.LessOrEqual(t, toPool, 16)
	require.LessOrEqual(t, toOwner, 16)
	require.Positive(t, toPool)
	f.clock.advance(500 * time.Millisecond)
	again, _ := f.sendAll()
	require.LessOrEqual(t, toPool+again, 16)
}

func (f *coldFleet) requireUnlimited(t *testing.T) {
	t.Helper()
	toPool, toOwner := f.sendAll()
	require.Equal(t, 10*len(f.vms), toPool)
	require.Equal(t, 10*len(f.vms), toOwner)
}

// Guards against a target that has just started and is overrun by VMs that each count their own requests.
func TestColdTargetIsNotOverrun(t *testing.T) {
	for _, n := range []int{10, 90, 300} {
		f := newColdFleet(n)
		f.requireUnlimited(t)
		f.setTargets(2, 3*time.Second)
		f.requireLimited(t)
		f.clock.advance(3 * time.Second)
		f.requireUnlimited(t)
	}
}

// Guards against targets that turn cold during an evacuation and get the usual load when it ends.
func TestTargetsAreColdAfterAnEvacuation(t *testing.T) {
	f := newColdFleet(20)
	for _, s := range f.vms {
		s.setEvacuations(catalog.NewEvacuations(5, []string{"a"}), nil, "test")
		s.setEvacuations(catalog.NewEvacuations(6, nil), nil, "test")
	}
	f.requireLimited(t)
}

// Guards against a VM that does not know the others yet and counts itself among the senders to every cold target.
func TestVMThatHasNotListedTheOthersSendsNothingToColdTargets(t *testing.T) {
	f := newColdFleet(20)
	f.setTargets(2, 3*time.Second)
	s := f.vms[0]
	s.members = fleetMembers{version: 99}
	_, reason := s.reserveFromPool("pool", &route.Route{Name: "r"}, nil, time.Second, f.clock.Now())
	require.Equal(t, refusedFull, reason)
}

// Guards against limits where the settings or the configuration state none.
func TestColdTargetsAreNotLimitedWithoutABound(t *testing.T) {
	f := newColdFleet(3)
	for _, s := range f.vms {
		s.warmup = Warmup{}
	}
	f.setTargets(2, 3*time.Second)
	f.requireUnlimited(t)
	require.False(t, f.vms[0].isWarming("p"))
}

// Guards against requests that were reserved while their target was warm and are sent when all VMs know that it is cold.
func TestTargetThatTurnsColdBeforeTheSendIsNotOverrun(t *testing.T) {
	f := newColdFleet(90)
	rt := &route.Route{Name: "r"}
	var reserved []*attempt
	var owners []*routingState
	for _, s := range f.vms {
		for range 5 {
			a, _ := s.reserveFromPool("pool", rt, nil, time.Second, f.clock.Now())
			reserved, owners = append(reserved, a), append(owners, s)
		}
	}
	f.setTargets(2, 3*time.Second)
	sent := 0
	for i, a := range reserved {
		if owners[i].admitToCold(a.target) {
			sent++
		}
	}
	require.LessOrEqual(t, sent, 16)
	require.Positive(t, sent)
}

// Guards against a target that turns cold again and counts as warm, since an older entry stated a longer warm-up.
func TestTargetThatTurnsColdAgainIsKnownToBe(t *testing.T) {
	f := newColdFleet(1)
	f.setTargets(2, 3*time.Second)
	f.clock.advance(time.Minute)
	require.False(t, f.vms[0].isWarming("k"))
	f.setTargets(3, 2*time.Second)
	require.True(t, f.vms[0].isWarming("k"))
}

// admitToCold reports whether a request to a target may be sent now.
func (s *routingState) admitToCold(t *targetState) bool { return s.admit(t, sentOwn) == notRefused }
