package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/ctl"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/memstore"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/wire"
)

// changeScenario simulates one change of a contract from the operator's write until it is in
// force.
type changeScenario struct {
	t        *testing.T
	chart    *statechart.Chart
	step     statechart.Transition
	inject   func(*changeScenario)
	duration time.Duration
	store    *memstore.Store

	// mu guards the fields below, which the goroutines of the operators and of the VMs share. It
	// is held during each step and each store call, and never while virtual time passes.
	mu                   sync.Mutex
	machine              *statechart.Machine
	stepTaken            bool
	faultAt              time.Time
	downUntil, slowUntil time.Time
	partitionedUntil     time.Time
	loseAnswer           bool
	operators            sync.WaitGroup

	vms [3]*changeVM
	// accepted is the rate that was accepted last; refused are the rates that were not accepted.
	accepted     float64
	refused      []float64
	hasRival     bool
	applyEndedAt time.Time
}

// changeVM is a VM with its agent and one daemon.
type changeVM struct {
	agent, daemon                                 *configuration
	revision, version                             uint64
	stoppedUntil, pausedUntil, daemonStoppedUntil time.Time
	stopped                                       bool
}

const (
	stepInterval   = 100 * time.Millisecond
	scenarioLength = 40 * time.Second
	// maxPropagationTime is the users' bound on the time until a change is in force everywhere;
	// see docs/CAPACITY.md.
	maxPropagationTime = 11 * time.Second
)

func newChangeScenario(t *testing.T, c *statechart.Chart, step statechart.Transition, inject func(*changeScenario), duration time.Duration) *changeScenario {
	cs := &changeScenario{t: t, chart: c, step: step, inject: inject, duration: duration, store: memstore.New(), machine: c.Start()}
	_, err := cs.store.Put(t.Context(), contract("a", 0, 1))
	require.NoError(t, err)
	for i := range cs.vms {
		cs.vms[i] = &changeVM{}
		cs.startVM(i)
	}
	for range 3 {
		cs.runStep()
	}
	return cs
}

func (cs *changeScenario) startVM(i int) {
	vm := cs.vms[i]
	vm.agent, vm.daemon = newConfiguration(func() {}), newConfiguration(func() {})
	vm.revision, vm.version, vm.stopped = 0, 0, false
}

// recordEvent records a call that belongs to a step of the change, and injects the fault after
// the first call of the chosen step. The caller must hold cs.mu.
func (cs *changeScenario) recordEvent(e statechart.Event) {
	before := cs.machine.State()
	err := cs.machine.Fire(e)
	due := err == nil && !cs.stepTaken && cs.step.Event == e && cs.step.From == before
	cs.stepTaken = cs.stepTaken || due
	if due {
		cs.injectFault()
	}
}

func (cs *changeScenario) injectFault() {
	cs.faultAt = time.Now()
	cs.inject(cs)
}

// run simulates the change and returns the outcome that is shown in the fault matrix.
func (cs *changeScenario) run() string {
	cs.mu.Lock()
	if cs.step.Event == "" {
		cs.stepTaken = true
		cs.injectFault()
	}
	cs.mu.Unlock()
	var received string
	cs.operators.Go(func() { received = cs.apply(2) })
	inForce := time.Time{}
	for end := time.Now().Add(scenarioLength); time.Now().Before(end); time.Sleep(stepInterval) {
		switch done := cs.runStep(); {
		case !done:
			inForce = time.Time{}
		case inForce.IsZero():
			inForce = time.Now()
		}
	}
	cs.operators.Wait()
	cs.checkEnd(inForce)
	from := cs.faultAt.Add(cs.duration)
	if cs.applyEndedAt.After(from) {
		from = cs.applyEndedAt
	}
	took := max(0, inForce.Sub(from))
	require.Less(cs.t, took, maxPropagationTime, "time until the change is in force everywhere")
	return fmt.Sprintf("%s, %.0f", received, math.Ceil(took.Seconds()))
}

func (cs *changeScenario) checkEnd(inForce time.Time) {
	require.True(cs.t, cs.stepTaken, "the step was never reached")
	require.False(cs.t, inForce.IsZero(), "the stored version is not in force everywhere")
	stored := rateOf(cs.t, cs.storedContract())
	if cs.accepted != 0 {
		require.Equal(cs.t, cs.accepted, stored, "an accepted change was lost")
	}
	require.NotContains(cs.t, cs.refused, stored, "a refused change was written")
	if cs.hasRival {
		require.Len(cs.t, cs.refused, 1, "of two operators that read the same version, exactly one must get a conflict")
	}
}

func (cs *changeScenario) storedContract() platform.Object {
	o, err := cs.store.Get(context.Background(), contract("a", 0, 0).ID())
	require.NoError(cs.t, err)
	return o
}

func rateOf(t *testing.T, o platform.Object) float64 {
	var c model.Contract
	require.NoError(t, json.Unmarshal(o.Spec, &c))
	return c.Services[0].Rate
}

// apply writes the rate as an operator who has read version 1.
func (cs *changeScenario) apply(rate float64) string {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := ctl.Apply(ctx, &faultyStore{Store: cs.store, scenario: cs}, contract("a", 1, rate))
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.applyEndedAt = time.Now()
	switch {
	case err == nil:
		cs.accepted = rate
		return "accepted"
	case errors.Is(err, platform.ErrConflict):
		cs.refused = append(cs.refused, rate)
		return "conflict"
	}
	require.ErrorIs(cs.t, err, platform.ErrUnavailable)
	cs.refused = append(cs.refused, rate)
	return "unavailable"
}

// startRival starts a second operator who has read the same version.
func (cs *changeScenario) startRival() {
	cs.hasRival = true
	cs.operators.Go(func() {
		time.Sleep(time.Millisecond)
		cs.apply(3)
	})
}

// faultyStore is the store as operators reach it, with its faults.
type faultyStore struct {
	platform.Store
	scenario *changeScenario
}

// delay simulates the transmission of a request or an answer: it takes time, and fails
// while the store is down.
func (s *faultyStore) delay() error {
	time.Sleep(5 * time.Millisecond)
	if s.scenario.isBefore(&s.scenario.slowUntil) {
		time.Sleep(1500 * time.Millisecond)
	}
	if s.scenario.isBefore(&s.scenario.downUntil) {
		return platform.ErrUnavailable
	}
	return nil
}

func (cs *changeScenario) isBefore(end *time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return time.Now().Before(*end)
}

func (s *faultyStore) Get(ctx context.Context, id platform.ID) (platform.Object, error) {
	if err := s.delay(); err != nil {
		return platform.Object{}, err
	}
	s.scenario.mu.Lock()
	defer s.scenario.mu.Unlock()
	o, err := s.Store.Get(ctx, id)
	s.scenario.recordEvent("get")
	return o, err
}

// Put loses the answer if the store goes down meanwhile or loseAnswer is set.
func (s *faultyStore) Put(ctx context.Context, o platform.Object) (platform.Object, error) {
	if err := s.delay(); err != nil {
		return platform.Object{}, err
	}
	written, lost, err := s.put(ctx, o)
	if err == nil && (s.delay() != nil || lost) {
		return platform.Object{}, platform.ErrAmbiguous
	}
	return written, err
}

func (s *faultyStore) put(ctx context.Context, o platform.Object) (written platform.Object, lost bool, err error) {
	s.scenario.mu.Lock()
	defer s.scenario.mu.Unlock()
	written, err = s.Store.Put(ctx, o)
	s.scenario.recordEvent("put")
	lost, s.scenario.loseAnswer = s.scenario.loseAnswer, false
	return written, lost, err
}

// runStep runs what all VMs do within one stepInterval and checks that no revision decreases. It
// reports whether the change has ended and is in force.
func (cs *changeScenario) runStep() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := time.Now()
	watching := -1
	for i, vm := range cs.vms {
		if vm.stopped && !now.Before(vm.stoppedUntil) {
			cs.startVM(i)
		}
		if watching < 0 && !vm.stopped && (i == len(cs.vms)-1 || !now.Before(vm.pausedUntil)) {
			watching = i
		}
	}
	for i, vm := range cs.vms {
		if vm.stopped || now.Before(vm.pausedUntil) {
			continue
		}
		cs.syncAgent(i, i == watching, now)
		cs.syncDaemon(vm, now)
		cs.checkVM(vm)
	}
	return !cs.applyEndedAt.IsZero() && cs.inForceEverywhere()
}

// syncAgent updates one agent: from the store if it watches or has no configuration, otherwise
// from a peer with a newer revision.
func (cs *changeScenario) syncAgent(i int, watching bool, now time.Time) {
	vm := cs.vms[i]
	revision, ready := vm.agent.heldRevision()
	if (watching || !ready) && !now.Before(cs.downUntil) && !now.Before(cs.slowUntil) {
		cs.syncFromStore(vm.agent)
	}
	for j, peer := range cs.vms {
		peerRevision, peerReady := peer.agent.heldRevision()
		if i == j || peer.stopped || now.Before(peer.pausedUntil) || now.Before(cs.partitionedUntil) || !peerReady || peerRevision <= revision {
			continue
		}
		var reply wire.PullReply
		peer.agent.changesSince(revision, allKinds, &reply)
		if vm.agent.applyReply(revision, &reply) == nil {
			cs.recordIfStored("pull")
		}
		return
	}
}

func (cs *changeScenario) syncFromStore(c *configuration) {
	revision, ready := c.heldRevision()
	if !ready {
		l, err := cs.store.List(context.Background())
		require.NoError(cs.t, err)
		_ = c.replace(l)
	} else {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = cs.store.Watch(ctx, revision, func(e platform.Event) error { c.apply(e); return nil })
	}
	if after, _ := c.heldRevision(); after > revision {
		cs.recordIfStored("watch")
	}
}

// recordIfStored records an event of a VM once the change is stored.
func (cs *changeScenario) recordIfStored(e statechart.Event) {
	if cs.storedContract().Version > 1 {
		cs.recordEvent(e)
	}
}

func (cs *changeScenario) syncDaemon(vm *changeVM, now time.Time) {
	if now.Before(vm.daemonStoppedUntil) {
		return
	}
	revision, _ := vm.daemon.heldRevision()
	var reply wire.PullReply
	vm.agent.changesSince(revision, isDaemonKind, &reply)
	if !reply.Ready || reply.Revision <= revision {
		return
	}
	if vm.daemon.applyReply(revision, &reply) == nil {
		cs.recordIfStored("load")
	}
}

func (cs *changeScenario) checkVM(vm *changeVM) {
	revision, _ := vm.agent.heldRevision()
	require.GreaterOrEqual(cs.t, revision, vm.revision, "an agent's revision decreased")
	vm.revision = revision
	for _, o := range vm.daemon.list() {
		require.GreaterOrEqual(cs.t, o.Version, vm.version, "a daemon returned to an older version of the contract")
		vm.version = o.Version
	}
}

// inForceEverywhere reports whether the stored version is in force on every running VM.
func (cs *changeScenario) inForceEverywhere() bool {
	want := cs.storedContract().Version
	for _, vm := range cs.vms {
		if !vm.stopped && vm.version != want {
			return false
		}
	}
	return true
}

func (cs *changeScenario) partition(d time.Duration)    { cs.partitionedUntil = time.Now().Add(d) }
func (cs *changeScenario) pause(i int, d time.Duration) { cs.vms[i].pausedUntil = time.Now().Add(d) }

func (cs *changeScenario) stopVM(i int, d time.Duration) {
	cs.vms[i].stopped, cs.vms[i].stoppedUntil = true, time.Now().Add(d)
}

func (cs *changeScenario) stopDaemon(i int) {
	vm := cs.vms[i]
	vm.daemon, vm.version, vm.daemonStoppedUntil = newConfiguration(func() {}), 0, time.Now().Add(time.Second)
}
