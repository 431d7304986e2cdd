package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// The simulation of the property tests: grantors, targets that check nothing but a fence, and a store,
// with late, lost and repeated orders between them.

const (
	simStep   = 50 * time.Millisecond
	simSlices = 4
	// simUnits is the number of units that slices can be split into.
	simUnits     = 16
	simUnitWidth = keySpace / simUnits
	simTargets   = 3
	simVMs       = 3
	// simOrderTimeout is how long a VM waits for the answer to an order before it resets the connection.
	simOrderTimeout = 400 * time.Millisecond
	// simRetransmitTimeout is how long the operating system of a VM with a suspended process retransmits
	// data that does not arrive.
	simRetransmitTimeout = time.Second
	// simSilentTimeout is how long an owner must be silent before its keys are given to others.
	simSilentTimeout = 1200 * time.Millisecond
)

var simTiming = Timing{Hold: 3 * time.Second, Renew: 750 * time.Millisecond, Retry: 100 * time.Millisecond}

// simTarget is a target that behaves as the platform specifies.
type simTarget struct {
	born       int64
	up         bool
	maxFence   [simUnits]uint64
	holdsUntil [simUnits]time.Duration
}

// message is an order in flight. It reaches only the incarnation to which its connection was opened.
type message struct {
	vm          int
	order       Order
	target      int
	incarnation int64
	sent        time.Duration
	arrives     time.Duration
	applied     time.Duration
	answered    bool
	// abandoned says that its sender has stopped waiting for the answer.
	abandoned bool
}

// simVM is a VM that may be the grantor.
type simVM struct {
	grantor *Grantor
	version int
	// conns holds the incarnation of each target to which the connection for orders was opened.
	conns map[int]int64
	// suspendedUntil is when the process resumes.
	suspendedUntil time.Duration
	// storeCutUntil is when the VM can reach the store again, targetCutUntil when it can reach each target
	// again.
	storeCutUntil  time.Duration
	targetCutUntil [simTargets]time.Duration
	// results are processed in the next step of the VM.
	results []func()
	// writePending says that a planned change is being written to the store.
	writePending bool
	// answerLost says that the answer to the last write was lost.
	answerLost bool
	// stopNextWrite is how long the process will be suspended between the check of its next grant and the write, or 0.
	// unwritten are the grants that passed their check before that suspension.
	stopNextWrite time.Duration
	unwritten     []Order
	// processes counts the restarts of the VM.
	processes int
	// queues hold the grants for each target that wait to be sent; stalledUntil is when that wait ends.
	queues       [simTargets][]Order
	stalledUntil [simTargets]time.Duration
}

// scheduledAction is a function to run at a given time.
type scheduledAction struct {
	at time.Duration
	do func()
}

// simulation is the state of all VMs, targets and the store.
type simulation struct {
	// draw returns a number between low and high, both inclusive.
	draw func(low, high int, label string) int
	// fatal fails the test.
	fatal   func(text string)
	now     time.Duration
	record  Record
	version int
	vms     [simVMs]simVM
	targets [simTargets]simTarget
	// listedBorn is the incarnation of each target in the list of targets, which may be outdated.
	listedBorn [simTargets]int64
	inFlight   []message
	// heldInCut are orders that were sent during a network cut. They arrive when it ends, unless their
	// connection was reset before.
	heldInCut []message
	scheduled []scheduledAction
	log       []string
	// noLostAnswers says that no answer of the store is lost.
	noLostAnswers bool
	// closeWithoutReset says that a connection is closed, not reset, when an order times out: the
	// operating system keeps sending what was written to it.
	closeWithoutReset bool
	// ignoreStandbys says that a successor takes over a record as if no slice had a standby.
	ignoreStandbys bool
	// standbyMoves counts the moves to standbys.
	standbyMoves int
}

// newRandomSimulation returns a simulation whose choices are drawn by rapid.
func newRandomSimulation(t *rapid.T) *simulation {
	return newSimulation(
		func(low, high int, label string) int { return rapid.IntRange(low, high).Draw(t, label) },
		func(text string) { t.Fatalf("%s", text) },
	)
}

// newSimulation returns a simulation whose choices are made by draw.
func newSimulation(draw func(low, high int, label string) int, fatal func(text string)) *simulation {
	sim := &simulation{draw: draw, fatal: fatal, now: time.Hour}
	for i := range sim.targets {
		sim.targets[i] = simTarget{born: 1, up: true}
		sim.listedBorn[i] = 1
	}
	for i := range sim.vms {
		sim.vms[i].conns = make(map[int]int64)
	}
	return sim
}

// firstEpoch returns the record of a service for which no grant was ever sent before.
func firstEpoch(r Record) Record {
	r.Earlier = NoArrival
	return r
}

func targetID(i int) string { return fmt.Sprintf("t%d", i) }

// listedOwner returns the listed incarnation of a target.
func (sim *simulation) listedOwner(i int) Owner {
	return Owner{ID: targetID(i), Born: sim.listedBorn[i]}
}

// logf adds a line to the log that is shown on failure.
func (sim *simulation) logf(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf("%8.2f ", (sim.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
}

func indexOf(o Owner) int { return int(o.ID[1] - '0') }

// reachesStore reports whether a VM can reach the store.
func (sim *simulation) reachesStore(vm int) bool { return sim.now >= sim.vms[vm].storeCutUntil }

// takeOver makes a VM the grantor by writing a new epoch.
func (sim *simulation) takeOver(vm int) {
	if !sim.reachesStore(vm) || sim.now < sim.vms[vm].suspendedUntil {
		return
	}
	fresh := sim.version == 0
	predecessor, holder := PredecessorMayGrant, int(sim.record.Incarnation%simVMs)
	if sim.record.Incarnation != sim.incarnation(holder) {
		predecessor = PredecessorEnded
	}
	next := sim.succeed(sim.record, predecessor)
	if fresh {
		next.Earlier = NoArrival
		owners := make([]Owner, simTargets)
		for i := range owners {
			owners[i] = sim.listedOwner(i)
		}
		next.Slices = EvenSlices(simSlices, owners)
	}
	next.Slices = append([]Slice(nil), next.Slices...)
	next.Epoch++
	next.Resigned = false
	next.Incarnation = sim.incarnation(vm)
	sim.record = next
	sim.version++
	sim.logf("vm%d takes over with epoch %d, earlier grants may arrive for %.2f s", vm, next.Epoch, next.Earlier.Within().Seconds())
	v := &sim.vms[vm]
	v.queues = [simTargets][]Order{}
	v.grantor = NewGrantor(next, simTiming, sim.now, sim.now)
	v.version = sim.version
	v.results = nil
	v.writePending, v.answerLost = false, false
	v.conns = make(map[int]int64)
}

// succeed returns the record as a successor takes it over. It may or may not know what the predecessor published last.
func (sim *simulation) succeed(r Record, p Predecessor) Record {
	if sim.ignoreStandbys {
		r.Resigned = true
	}
	var last *Routing
	if g := sim.vms[sim.draw(0, simVMs-1, "VM whose leases are known")].grantor; g != nil && g.Record().Epoch == r.Epoch {
		last = NewRouting(g.Record(), 1, func(i int) SliceState { return g.State(i, sim.now) })
	}
	return r.Succeed(last, p)
}

// incarnation identifies the current process of a VM.
func (sim *simulation) incarnation(vm int) uint64 { return uint64(sim.vms[vm].processes*simVMs + vm) }

// restartVM replaces a VM's process by a new one. The connections of the old process are reset.
func (sim *simulation) restartVM(vm int) {
	v := &sim.vms[vm]
	v.processes++
	v.grantor, v.results, v.suspendedUntil = nil, nil, 0
	v.queues, v.unwritten, v.stopNextWrite = [simTargets][]Order{}, nil, 0
	sim.heldInCut = slices.DeleteFunc(sim.heldInCut, func(m message) bool { return m.vm == vm })
	sim.logf("vm%d restarts its process", vm)
}

// resign has a grantor stop its orders and write its resignation, which may not be accepted.
func (sim *simulation) resign(vm int) {
	v := &sim.vms[vm]
	if v.grantor == nil || sim.now < v.suspendedUntil || v.writePending || v.answerLost || !sim.reachesStore(vm) {
		return
	}
	next := v.grantor.Plan(sim.now, nil)
	next.Resigned = true
	planned := v.version
	v.grantor, v.queues = nil, [simTargets][]Order{}
	sim.logf("vm%d resigns", vm)
	sim.schedule(sim.draw(0, 5, "transit time of a write"), func() {
		if sim.reachesStore(vm) && planned == sim.version {
			sim.record = next
			sim.version++
		}
	})
}

// stopBeforeWrite stops the process of a VM after the check of its next grant, before the write.
func (sim *simulation) stopBeforeWrite(vm int, span time.Duration) { sim.vms[vm].stopNextWrite = span }

// stopsBeforeWrite reports whether the process of a VM is stopped now, between the check of a grant and its write. The stop ends
// within the authority: the design does not cover one that ends later.
func (sim *simulation) stopsBeforeWrite(vm int) bool {
	v := &sim.vms[vm]
	if v.stopNextWrite > 0 && sim.now >= v.suspendedUntil {
		sim.suspend(vm, min(v.stopNextWrite, v.grantor.ConfirmedAt()+Authority-sim.now-simStep))
		v.stopNextWrite = 0
	}
	return sim.now < v.suspendedUntil
}

// stepVM runs what a grantor does in one step.
func (sim *simulation) stepVM(vm int) {
	v := &sim.vms[vm]
	if sim.now < v.suspendedUntil || v.grantor == nil {
		return
	}
	for _, o := range v.unwritten {
		sim.send(vm, o)
	}
	v.unwritten = nil
	results := v.results
	v.results = nil
	for _, result := range results {
		result()
	}
	if v.grantor == nil {
		return
	}
	sim.markEnded(v.grantor)
	sim.connect(vm)
	if v.grantor == nil {
		return
	}
	for _, o := range v.grantor.DueOrders(sim.now) {
		if i := indexOf(o.Target); o.Kind == Grant {
			v.queues[i] = append(v.queues[i], o)
			continue
		}
		sim.send(vm, o)
	}
	sim.sendQueued(vm)
}

// sendQueued sends the grants that need not wait any longer, if the VM may still send orders.
func (sim *simulation) sendQueued(vm int) {
	v := &sim.vms[vm]
	for i := range v.queues {
		if sim.now < v.stalledUntil[i] {
			continue
		}
		for _, o := range v.queues[i] {
			if v.grantor.MayOrder(sim.now) {
				if sim.stopsBeforeWrite(vm) {
					v.unwritten = append(v.unwritten, o)
					continue
				}
				sim.send(vm, o)
				continue
			}
			sim.report(message{vm: vm, order: o, target: i, sent: sim.now}, Unreached, sim.now)
		}
		v.queues[i] = nil
	}
}

// markEnded tells a grantor which incarnations have ended according to the list of targets.
func (sim *simulation) markEnded(g *Grantor) {
	for _, s := range g.Record().Slices {
		for _, o := range []Owner{s.Owner, s.Previous} {
			if o.Known() && o.Born < sim.listedBorn[indexOf(o)] {
				g.MarkEnded(o)
			}
		}
	}
}

// connect opens connections to unconfirmed owners and then checks the epoch in the store.
func (sim *simulation) connect(vm int) {
	v := &sim.vms[vm]
	for _, o := range v.grantor.Unconfirmed() {
		i := indexOf(o)
		if sim.now < v.targetCutUntil[i] || !sim.targets[i].up {
			v.grantor.MarkUnconnected(o, sim.now, sim.now)
			continue
		}
		if !sim.reachesStore(vm) {
			continue
		}
		v.conns[i] = sim.targets[i].born
		if sim.record.Epoch != v.grantor.Record().Epoch {
			v.grantor = nil
			return
		}
		v.grantor.ConfirmEpoch(sim.now)
		if sim.listedBorn[i] == o.Born {
			v.grantor.MarkConfirmed(o)
		}
	}
}

// send puts an order in flight and decides when it arrives and whether it is answered.
func (sim *simulation) send(vm int, o Order) {
	v := &sim.vms[vm]
	i := indexOf(o.Target)
	m := message{vm: vm, order: o, target: i, incarnation: v.conns[i], sent: sim.now}
	if o.Kind == Release {
		// Each release uses a new connection.
		m.incarnation = sim.targets[i].born
	}
	if !sim.targets[i].up || m.incarnation != sim.targets[i].born {
		sim.report(m, Unreached, sim.now)
		return
	}
	if sim.now < v.targetCutUntil[i] {
		if o.Kind == Release {
			// The new connection cannot be opened.
			sim.report(m, Unreached, sim.now+simOrderTimeout)
			return
		}
		sim.heldInCut = append(sim.heldInCut, m)
		return
	}
	fate := sim.draw(0, 19, "delivery of an order")
	// It arrives no later than the sender stops waiting for the answer.
	m.arrives = sim.now + time.Duration(sim.draw(0, int(simOrderTimeout/simStep), "transit time"))*simStep
	m.applied, m.answered = m.arrives, true
	switch {
	case fate == 0:
		// It is carried out late and not answered.
		m.applied = m.arrives + time.Duration(sim.draw(40, 240, "delay"))*simStep
		m.answered = false
	case fate == 1:
		m.answered = false
	}
	sim.inFlight = append(sim.inFlight, m)
	if !m.answered {
		sim.report(m, Unanswered, m.sent+simOrderTimeout)
	}
}

// deliverHeld delivers the orders whose cut has ended and drops those whose connection was reset.
func (sim *simulation) deliverHeld() {
	var rest []message
	for _, m := range sim.heldInCut {
		v := &sim.vms[m.vm]
		givenUp := sim.now >= m.sent+simOrderTimeout && sim.now >= v.suspendedUntil
		switch {
		case sim.now >= v.targetCutUntil[m.target]:
			m.arrives, m.applied, m.answered = sim.now, sim.now, !m.abandoned
			sim.inFlight = append(sim.inFlight, m)
			sim.logf("vm%d order %d fence %x, sent at %.2f, arrives after the cut", m.vm, m.order.Kind, m.order.Fence, (m.sent - time.Hour).Seconds())
		case sim.closeWithoutReset && givenUp && !m.abandoned:
			m.abandoned = true
			sim.report(m, Unanswered, sim.now)
			rest = append(rest, m)
		case !sim.closeWithoutReset && (givenUp || sim.now >= m.sent+simRetransmitTimeout):
			// A suspended process learns of it when it resumes.
			sim.report(m, Unanswered, max(sim.now, v.suspendedUntil))
		default:
			rest = append(rest, m)
		}
	}
	sim.heldInCut = rest
}

// report passes the result of an order to its VM at endedAt.
func (sim *simulation) report(m message, r Result, endedAt time.Duration) {
	v := &sim.vms[m.vm]
	g := v.grantor
	v.results = append(v.results, func() {
		if endedAt <= sim.now {
			g.HandleResult(m.order, r, "", m.sent, endedAt)
			if r == Fenced {
				sim.readEpoch(m.vm)
			}
			return
		}
		sim.report(m, r, endedAt)
	})
}

// readEpoch has a grantor check its epoch in the store; a grantor that was succeeded stops.
func (sim *simulation) readEpoch(vm int) {
	v := &sim.vms[vm]
	if !sim.reachesStore(vm) || v.grantor == nil {
		return
	}
	if sim.record.Epoch != v.grantor.Record().Epoch {
		v.grantor = nil
		return
	}
	v.grantor.ConfirmEpoch(sim.now)
}

// deliver applies the orders that are due.
func (sim *simulation) deliver() {
	var rest []message
	for _, m := range sim.inFlight {
		if m.applied > sim.now {
			rest = append(rest, m)
			continue
		}
		sim.apply(m)
	}
	sim.inFlight = rest
}

// apply has a target process an order.
func (sim *simulation) apply(m message) {
	t := &sim.targets[m.target]
	result := Done
	first, last := int(m.order.From)/simUnitWidth, int(m.order.To)/simUnitWidth
	refused := false
	for u := first; u <= last; u++ {
		refused = refused || m.order.Fence < t.maxFence[u]
	}
	switch {
	case !t.up || t.born != m.incarnation:
		result = Unanswered
	case m.order.Kind == Grant && refused:
		result = Fenced
	default:
		for u := first; u <= last; u++ {
			t.maxFence[u] = max(t.maxFence[u], m.order.Fence)
			// The slowest clock that is allowed; a release has a hold of 0.
			t.holdsUntil[u] = m.arrives + time.Duration(float64(m.order.Hold)*(1+MaxClockDrift))
		}
	}
	sim.logf("vm%d order %d units %d to %d fence %x at t%d: %d", m.vm, m.order.Kind, first, last, m.order.Fence, m.target, result)
	if m.answered {
		sim.report(m, result, sim.now)
	}
	sim.checkSingleOwner()
}

// checkSingleOwner fails the test if a key has two owners.
func (sim *simulation) checkSingleOwner() {
	for s := range simUnits {
		var owners []int
		for i, t := range sim.targets {
			if t.up && sim.now < t.holdsUntil[s] {
				owners = append(owners, i)
			}
		}
		if len(owners) > 1 {
			sim.fatal(fmt.Sprintf("%s\nunit %d has owners %v", strings.Join(sim.log, "\n"), s, owners))
		}
	}
}

// moveSlice has a grantor give a slice to another target. The answer to the write may be lost after it took
// effect.
func (sim *simulation) moveSlice(vm, slice, target int) {
	v := &sim.vms[vm]
	if v.grantor == nil || sim.now < v.suspendedUntil {
		return
	}
	slice %= len(v.grantor.Record().Slices)
	if v.writePending {
		return
	}
	var changes []Change
	if !v.answerLost {
		changes = []Change{{Slice: slice, To: sim.listedOwner(target)}}
	}
	next := v.grantor.PlanStandbys(sim.now, changes, func(s Slice) Owner {
		if sim.draw(0, 3, "standby") > 0 {
			return s.Standby
		}
		return sim.listedOwner(sim.draw(0, simTargets-1, "target of the standby"))
	})
	v.writePending = true
	g, sent, version := v.grantor, sim.now, v.version
	sim.schedule(sim.draw(0, 5, "transit time of a write"), func() { sim.write(vm, g, next, sent, version) })
}

// moveToStandby has a grantor give a slice to its standby, whether or not it reaches the store.
func (sim *simulation) moveToStandby(vm, slice int) {
	v := &sim.vms[vm]
	if v.grantor == nil || sim.now < v.suspendedUntil {
		return
	}
	if slice %= len(v.grantor.Record().Slices); v.grantor.MoveToStandby(slice) {
		sim.standbyMoves++
		sim.logf("vm%d moves slice %d to its standby %s", vm, slice, v.grantor.Record().Slices[slice].Owner.ID)
	}
}

// moveFromSilent has a grantor give a slice of a silent owner to another target.
func (sim *simulation) moveFromSilent(vm, target int) {
	g := sim.vms[vm].grantor
	if g == nil {
		return
	}
	for i, s := range g.Record().Slices {
		if g.SilentFor(s.Owner, sim.now) > simSilentTimeout && g.Movable(i) {
			sim.moveSlice(vm, i, target)
			return
		}
	}
}

// write applies a planned record in the store and answers some time later.
func (sim *simulation) write(vm int, g *Grantor, next Record, sent time.Duration, planned int) {
	v := &sim.vms[vm]
	taken := sim.reachesStore(vm) && planned == sim.version
	if taken {
		sim.record = next
		sim.record.Slices = append([]Slice(nil), next.Slices...)
		sim.version++
		sim.logf("vm%d wrote the record with its moves", vm)
	}
	version := sim.version
	if taken && !sim.noLostAnswers && sim.draw(0, 9, "answer lost") == 0 {
		sim.schedule(20, func() {
			if v.grantor == g {
				v.writePending, v.answerLost = false, true
			}
		})
		return
	}
	sim.schedule(sim.draw(0, 5, "transit time of an answer"), func() {
		if v.grantor != g {
			return
		}
		v.writePending = false
		switch {
		case taken:
			v.version, v.answerLost = version, false
			g.Commit(next, sent)
		case v.answerLost:
			// The write whose answer was lost took effect: start again from the stored record.
			v.grantor = nil
		default:
			g.Abandon()
		}
	})
}

// schedule runs a function after a number of steps.
func (sim *simulation) schedule(steps int, do func()) {
	sim.scheduled = append(sim.scheduled, scheduledAction{at: sim.now + time.Duration(steps)*simStep, do: do})
}

// runScheduled runs the functions that are due.
func (sim *simulation) runScheduled() {
	due := sim.scheduled
	sim.scheduled = nil
	for _, a := range due {
		if a.at > sim.now {
			sim.scheduled = append(sim.scheduled, a)
			continue
		}
		a.do()
	}
}

// splitSlice has a grantor split a slice in two.
func (sim *simulation) splitSlice(vm, slice, unit int) {
	v := &sim.vms[vm]
	if v.grantor == nil || sim.now < v.suspendedUntil || v.writePending {
		return
	}
	slice %= len(v.grantor.Record().Slices)
	after := uint16((unit+1)*simUnitWidth - 1)
	if v.grantor.SplitSlice(slice, after) {
		sim.logf("vm%d splits slice %d after unit %d", vm, slice, unit)
	}
}

// step advances the simulation by one step.
func (sim *simulation) step() {
	sim.now += simStep
	for i := range sim.targets {
		// The list of targets is updated some time after a restart.
		if sim.listedBorn[i] != sim.targets[i].born && sim.draw(0, 9, "listing updated") == 0 {
			sim.listedBorn[i] = sim.targets[i].born
		}
	}
	sim.runScheduled()
	sim.deliverHeld()
	sim.deliver()
	for vm := range sim.vms {
		sim.stepVM(vm)
	}
	sim.checkSingleOwner()
}

// restartTarget ends an incarnation of a target. The next one has the same id and no state.
func (sim *simulation) restartTarget(i int) {
	sim.targets[i] = simTarget{born: sim.targets[i].born + 1, up: true}
	sim.logf("t%d restarts as incarnation %d", i, sim.targets[i].born)
}

// suspend stops a VM for a while.
func (sim *simulation) suspend(vm int, span time.Duration) {
	sim.vms[vm].suspendedUntil = sim.now + span
	sim.logf("vm%d is suspended for %.2f s", vm, span.Seconds())
}

// cutStore cuts a VM off from the store for a while.
func (sim *simulation) cutStore(vm int, span time.Duration) {
	sim.vms[vm].storeCutUntil = sim.now + span
	sim.logf("vm%d cannot reach the store for %.2f s", vm, span.Seconds())
}

// cutTarget cuts a target off from a VM for a while.
func (sim *simulation) cutTarget(vm, target int, span time.Duration) {
	sim.vms[vm].targetCutUntil[target] = sim.now + span
	sim.logf("vm%d cannot reach t%d for %.2f s", vm, target, span.Seconds())
}

// stallGrants delays a VM's grants for a target.
func (sim *simulation) stallGrants(vm, target int, span time.Duration) {
	sim.vms[vm].stalledUntil[target] = sim.now + span
	sim.logf("vm%d sends no grant to t%d for %.2f s", vm, target, span.Seconds())
}
