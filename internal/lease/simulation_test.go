package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// The world of the property test: grantors, targets that check nothing but a
// fence, and a store, with late, lost and repeated orders between them.

const (
	simStep   = 50 * time.Millisecond
	simSlices = 4
	// simUnits is how finely slices may be divided.
	simUnits     = 16
	simUnitWidth = keySpace / simUnits
	simTargets   = 3
	simVMs       = 3
	// simOrderTimeout is how long a VM waits for the answer to an order; then it resets the
	// connection.
	simOrderTimeout = 400 * time.Millisecond
	// simRetransmitTimeout is how long the system of a VM whose process stands still sends again
	// what does not arrive.
	simRetransmitTimeout = time.Second
	// simSilentTimeout is for how long an owner is silent before its keys are given to others.
	simSilentTimeout = 1200 * time.Millisecond
)

var simTiming = Timing{Hold: 3 * time.Second, Renew: 750 * time.Millisecond, Retry: 100 * time.Millisecond}

// simTarget is a target as the platform describes it.
type simTarget struct {
	born       int64
	up         bool
	maxFence   [simUnits]uint64
	holdsUntil [simUnits]time.Duration
}

// message is an order in flight. It reaches only the life to which its
// connection was opened.
type message struct {
	vm          int
	order       Order
	target      int
	incarnation int64
	sent        time.Duration
	arrives     time.Duration
	applied     time.Duration
	answered    bool
	// abandoned says that its sender has abandoned it up.
	abandoned bool
}

type simVM struct {
	grantor *Grantor
	version int
	// conns holds the life to which the connection for orders leads.
	conns map[int]int64
	// suspendedUntil is until when the VM stands still.
	suspendedUntil time.Duration
	// storeCutUntil is until when it does not reach the store; cutTargets until when it
	// does not reach the targets.
	storeCutUntil  time.Duration
	targetCutUntil [simTargets]time.Duration
	results        []func()
	// writePending says that a planned change is in flight to the store.
	writePending bool
	// answerLost says that the answer to the last write was lost.
	answerLost bool
	// processes counts the processes of the VM.
	processes int
	// queues hold the grants for each target that wait to be sent, stalled until when they
	// wait.
	queues       [simTargets][]Order
	stalledUntil [simTargets]time.Duration
}

type scheduledAction struct {
	at time.Duration
	do func()
}

type simulation struct {
	// draw chooses a number in a range.
	draw func(low, high int, label string) int
	// fatal ends a test.
	fatal      func(text string)
	now        time.Duration
	record     Record
	version    int
	vms        [simVMs]simVM
	targets    [simTargets]simTarget
	listedBorn [simTargets]int64
	inFlight   []message
	// heldInCut are orders that were sent into a cut. They arrive when it heals, unless their
	// connection was reset before.
	heldInCut []message
	scheduled []scheduledAction
	log       []string
	// noLostAnswers says that the store loses none.
	noLostAnswers bool
	// closeWithoutReset says that a connection is closed, not reset, when an order is given up:
	// the system goes on sending what was written to it.
	closeWithoutReset bool
}

// newRandomSimulation returns a world in which chance is drawn.
func newRandomSimulation(t *rapid.T) *simulation {
	return newSimulation(
		func(low, high int, label string) int { return rapid.IntRange(low, high).Draw(t, label) },
		func(text string) { t.Fatalf("%s", text) },
	)
}

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

func targetID(i int) string { return fmt.Sprintf("t%d", i) }

func (sim *simulation) listedOwner(i int) Owner {
	return Owner{ID: targetID(i), Born: sim.listedBorn[i]}
}

func (sim *simulation) logf(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf("%8.2f ", (sim.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
}

func indexOf(o Owner) int { return int(o.ID[1] - '0') }

// reachesStore reports whether a VM reachesStore the store.
func (sim *simulation) reachesStore(vm int) bool { return sim.now >= sim.vms[vm].storeCutUntil }

// takeOver writes a new epoch.
func (sim *simulation) takeOver(vm int) {
	if !sim.reachesStore(vm) || sim.now < sim.vms[vm].suspendedUntil {
		return
	}
	fresh := sim.version == 0
	next := sim.record
	if fresh {
		owners := make([]Owner, simTargets)
		for i := range owners {
			owners[i] = sim.listedOwner(i)
		}
		next.Slices = EvenSlices(simSlices, owners)
	}
	next.Slices = append([]Slice(nil), next.Slices...)
	next.Epoch++
	prior := PriorGrantsUnknown
	holder := int(next.Incarnation % simVMs)
	switch {
	case fresh:
		prior = NoPriorGrants
	case next.Incarnation != sim.incarnation(holder):
		prior = PriorGrantsEnded
	}
	next.Incarnation = sim.incarnation(vm)
	sim.record = next
	sim.version++
	sim.logf("vm%d takes epoch %d, past %d", vm, next.Epoch, prior)
	v := &sim.vms[vm]
	v.queues = [simTargets][]Order{}
	v.grantor = NewGrantor(next, simTiming, sim.now, sim.now, prior)
	v.version = sim.version
	v.results = nil
	v.writePending, v.answerLost = false, false
	v.conns = make(map[int]int64)
}

// incarnation names a VM's process.
func (sim *simulation) incarnation(vm int) uint64 { return uint64(sim.vms[vm].processes*simVMs + vm) }

// restartVM ends a VM's process, and the next one begins: its connections are reset.
func (sim *simulation) restartVM(vm int) {
	v := &sim.vms[vm]
	v.processes++
	v.grantor, v.results, v.suspendedUntil = nil, nil, 0
	v.queues = [simTargets][]Order{}
	sim.heldInCut = slices.DeleteFunc(sim.heldInCut, func(m message) bool { return m.vm == vm })
	sim.logf("vm%d is killed", vm)
}

// stepVM lets a VM do what a leader does in one step.
func (sim *simulation) stepVM(vm int) {
	v := &sim.vms[vm]
	if sim.now < v.suspendedUntil || v.grantor == nil {
		return
	}
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

// sendQueued sends grants whose turn has come, if the VM may still order.
func (sim *simulation) sendQueued(vm int) {
	v := &sim.vms[vm]
	for i := range v.queues {
		if sim.now < v.stalledUntil[i] {
			continue
		}
		for _, o := range v.queues[i] {
			if v.grantor.MayOrder(sim.now) {
				sim.send(vm, o)
				continue
			}
			sim.report(message{vm: vm, order: o, target: i, sent: sim.now}, Unreached, sim.now)
		}
		v.queues[i] = nil
	}
}

func (sim *simulation) markEnded(g *Grantor) {
	for _, s := range g.Record().Slices {
		for _, o := range []Owner{s.Owner, s.Previous} {
			if o.Known() && o.Born < sim.listedBorn[indexOf(o)] {
				g.MarkEnded(o)
			}
		}
	}
}

// connect opens connections to unconfirmed owners, then asks the store.
func (sim *simulation) connect(vm int) {
	v := &sim.vms[vm]
	for _, o := range v.grantor.Unconfirmed() {
		i := indexOf(o)
		if sim.now < v.targetCutUntil[i] || !sim.targets[i].up || !sim.reachesStore(vm) {
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

func (sim *simulation) send(vm int, o Order) {
	v := &sim.vms[vm]
	i := indexOf(o.Target)
	m := message{vm: vm, order: o, target: i, incarnation: v.conns[i], sent: sim.now}
	if o.Kind == Release {
		// Releases open a connection of their own.
		m.incarnation = sim.targets[i].born
	}
	if !sim.targets[i].up || m.incarnation != sim.targets[i].born {
		sim.report(m, Unreached, sim.now)
		return
	}
	if sim.now < v.targetCutUntil[i] {
		if o.Kind == Release {
			// It gets no connection.
			sim.report(m, Unreached, sim.now+simOrderTimeout)
			return
		}
		sim.heldInCut = append(sim.heldInCut, m)
		return
	}
	fate := sim.draw(0, 19, "fate of an order")
	// At the latest right before it is given up.
	m.arrives = sim.now + time.Duration(sim.draw(0, int(simOrderTimeout/simStep), "on the way"))*simStep
	m.applied, m.answered = m.arrives, true
	switch {
	case fate == 0:
		// Done late, and not answered.
		m.applied = m.arrives + time.Duration(sim.draw(40, 240, "late"))*simStep
		m.answered = false
	case fate == 1:
		m.answered = false
	}
	sim.inFlight = append(sim.inFlight, m)
	if !m.answered {
		sim.report(m, Unanswered, m.sent+simOrderTimeout)
	}
}

// deliverHeld lets orders arrive whose cut has healed, and drops those that were given up.
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
			// A process that stands still learns of it when it goes on.
			sim.report(m, Unanswered, max(sim.now, v.suspendedUntil))
		default:
			rest = append(rest, m)
		}
	}
	sim.heldInCut = rest
}

// report hands the end of an order to its VM.
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
			// The slowest clock that is allowed; nothing after a release.
			t.holdsUntil[u] = m.arrives + time.Duration(float64(m.order.Hold)*(1+MaxClockDrift))
		}
	}
	sim.logf("vm%d order %d units %d to %d fence %x at t%d: %d", m.vm, m.order.Kind, first, last, m.order.Fence, m.target, result)
	if m.answered {
		sim.report(m, result, sim.now)
	}
	sim.checkSingleOwner()
}

// checkSingleOwner is the promise: no key has two owners.
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

// moveSlice has a grantor give a slice to another target. The write may be lost after
// it took effect.
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
	next := v.grantor.Plan(changes)
	v.writePending = true
	g, sent, version := v.grantor, sim.now, v.version
	sim.schedule(sim.draw(0, 5, "write on the way"), func() { sim.write(vm, g, next, sent, version) })
}

// moveFromSilent has a grantor give a slice of an owner that is silent to another target.
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

// write takes effect at the store, and answers some time later.
func (sim *simulation) write(vm int, g *Grantor, next Record, sent time.Duration, planned int) {
	v := &sim.vms[vm]
	taken := sim.reachesStore(vm) && planned == sim.version
	if taken {
		sim.record = next
		sim.record.Slices = append([]Slice(nil), next.Slices...)
		sim.version++
		sim.logf("vm%d moves written", vm)
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
	sim.schedule(sim.draw(0, 5, "answer on the way"), func() {
		if v.grantor != g {
			return
		}
		v.writePending = false
		switch {
		case taken:
			v.version, v.answerLost = version, false
			g.Commit(next, sent)
		case v.answerLost:
			// The lost write stands: begin again from what the store holds.
			v.grantor = nil
		default:
			g.Abandon()
		}
	})
}

// schedule does something after so many steps.
func (sim *simulation) schedule(steps int, do func()) {
	sim.scheduled = append(sim.scheduled, scheduledAction{at: sim.now + time.Duration(steps)*simStep, do: do})
}

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

// splitSlice has a grantor cut a slice in two.
func (sim *simulation) splitSlice(vm, slice, unit int) {
	v := &sim.vms[vm]
	if v.grantor == nil || sim.now < v.suspendedUntil || v.writePending {
		return
	}
	slice %= len(v.grantor.Record().Slices)
	after := uint16((unit+1)*simUnitWidth - 1)
	if v.grantor.SplitSlice(slice, after) {
		sim.logf("vm%d divides slice %d after unit %d", vm, slice, unit)
	}
}

// step lets a moment pass.
func (sim *simulation) step() {
	sim.now += simStep
	for i := range sim.targets {
		// An entry follows its target after a while.
		if sim.listedBorn[i] != sim.targets[i].born && sim.draw(0, 9, "entry written") == 0 {
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

// restartTarget ends a life of a target; the next has the same id and knows nothing.
func (sim *simulation) restartTarget(i int) {
	sim.targets[i] = simTarget{born: sim.targets[i].born + 1, up: true}
	sim.logf("t%d restarts as %d", i, sim.targets[i].born)
}

// suspend has a VM stand still for a while.
func (sim *simulation) suspend(vm int, span time.Duration) {
	sim.vms[vm].suspendedUntil = sim.now + span
	sim.logf("vm%d stands still for %.2f s", vm, span.Seconds())
}

// cutStore takes the store from a VM for a while.
func (sim *simulation) cutStore(vm int, span time.Duration) {
	sim.vms[vm].storeCutUntil = sim.now + span
	sim.logf("vm%d without store for %.2f s", vm, span.Seconds())
}

// cutTarget cuts a target off from a VM for a while.
func (sim *simulation) cutTarget(vm, target int, span time.Duration) {
	sim.vms[vm].targetCutUntil[target] = sim.now + span
	sim.logf("vm%d without t%d for %.2f s", vm, target, span.Seconds())
}

// stallGrants has a VM's grants for a target wait for a while.
func (sim *simulation) stallGrants(vm, target int, span time.Duration) {
	sim.vms[vm].stalledUntil[target] = sim.now + span
	sim.logf("vm%d sends no grant to t%d for %.2f s", vm, target, span.Seconds())
}
