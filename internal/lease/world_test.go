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
	worldStep   = 50 * time.Millisecond
	worldSlices = 4
	// worldUnits is how finely slices may be divided.
	worldUnits   = 16
	unitWidth    = keySpace / worldUnits
	worldTargets = 3
	worldVMs     = 3
	// worldGiveUp is how long a VM waits for the answer to an order; then it resets the
	// connection.
	worldGiveUp = 400 * time.Millisecond
	// worldUnacked is how long the system of a VM whose process stands still sends again
	// what does not arrive.
	worldUnacked = time.Second
	// worldSilent is for how long an owner is silent before its keys are given to others.
	worldSilent = 1200 * time.Millisecond
)

var worldTiming = Timing{Hold: 3 * time.Second, Renew: 750 * time.Millisecond, Retry: 100 * time.Millisecond}

// worldTarget is a target as the platform describes it.
type worldTarget struct {
	born int64
	up   bool
	seen [worldUnits]uint64
	out  [worldUnits]time.Duration
}

// message is an order in flight. It reaches only the life to which its
// connection was opened.
type message struct {
	vm       int
	order    Order
	target   int
	life     int64
	sent     time.Duration
	arrives  time.Duration
	applied  time.Duration
	answered bool
	// given says that its sender has given it up.
	given bool
}

type worldVM struct {
	grantor *Grantor
	version int
	// conns holds the life to which the connection for orders leads.
	conns map[int]int64
	// frozen is until when the VM stands still.
	frozen time.Duration
	// cut is until when it does not reach the store; cutTargets until when it
	// does not reach the targets.
	cut        time.Duration
	cutTargets [worldTargets]time.Duration
	results    []func()
	// writing says that a planned change is in flight to the store.
	writing bool
	// unsettled says that the answer to the last write was lost.
	unsettled bool
	// life counts the processes of the VM.
	life int
	// queues hold the grants for each target that wait to be sent, stalled until when they
	// wait.
	queues  [worldTargets][]Order
	stalled [worldTargets]time.Duration
}

type dueAction struct {
	at time.Duration
	do func()
}

type world struct {
	// draw chooses a number in a range.
	draw func(least, most int, what string) int
	// fatal ends a test.
	fatal   func(text string)
	now     time.Duration
	record  Record
	version int
	vms     [worldVMs]worldVM
	targets [worldTargets]worldTarget
	listed  [worldTargets]int64
	flying  []message
	// held are orders that were sent into a cut. They arrive when it heals, unless their
	// connection was reset before.
	held []message
	due  []dueAction
	log  []string
	// keepsAnswers says that the store loses none.
	keepsAnswers bool
	// onlyCloses says that a connection is closed, not reset, when an order is given up:
	// the system goes on sending what was written to it.
	onlyCloses bool
}

// newWorld returns a world in which chance is drawn.
func newWorld(t *rapid.T) *world {
	return startWorld(
		func(least, most int, what string) int { return rapid.IntRange(least, most).Draw(t, what) },
		func(text string) { t.Fatalf("%s", text) },
	)
}

func startWorld(draw func(least, most int, what string) int, fatal func(text string)) *world {
	w := &world{draw: draw, fatal: fatal, now: time.Hour}
	for i := range w.targets {
		w.targets[i] = worldTarget{born: 1, up: true}
		w.listed[i] = 1
	}
	for i := range w.vms {
		w.vms[i].conns = make(map[int]int64)
	}
	return w
}

func targetID(i int) string { return fmt.Sprintf("t%d", i) }

func (w *world) owner(i int) Owner { return Owner{ID: targetID(i), Born: w.listed[i]} }

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.2f ", (w.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
}

func indexOf(o Owner) int { return int(o.ID[1] - '0') }

// reaches reports whether a VM reaches the store.
func (w *world) reaches(vm int) bool { return w.now >= w.vms[vm].cut }

// takeOver writes a new epoch.
func (w *world) takeOver(vm int) {
	if !w.reaches(vm) || w.now < w.vms[vm].frozen {
		return
	}
	fresh := w.version == 0
	next := w.record
	if fresh {
		owners := make([]Owner, worldTargets)
		for i := range owners {
			owners[i] = w.owner(i)
		}
		next.Slices = EvenSlices(worldSlices, owners)
	}
	next.Slices = append([]Slice(nil), next.Slices...)
	next.Epoch++
	past := PriorGrantsUnknown
	holder := int(next.Incarnation % worldVMs)
	switch {
	case fresh:
		past = NoPriorGrants
	case next.Incarnation != w.incarnation(holder):
		past = PriorGrantsEnded
	}
	next.Incarnation = w.incarnation(vm)
	w.record = next
	w.version++
	w.note("vm%d takes epoch %d, past %d", vm, next.Epoch, past)
	v := &w.vms[vm]
	v.queues = [worldTargets][]Order{}
	v.grantor = NewGrantor(next, worldTiming, w.now, w.now, past)
	v.version = w.version
	v.results = nil
	v.writing, v.unsettled = false, false
	v.conns = make(map[int]int64)
}

// incarnation names a VM's process.
func (w *world) incarnation(vm int) uint64 { return uint64(w.vms[vm].life*worldVMs + vm) }

// kill ends a VM's process, and the next one begins: its connections are reset.
func (w *world) kill(vm int) {
	v := &w.vms[vm]
	v.life++
	v.grantor, v.results, v.frozen = nil, nil, 0
	v.queues = [worldTargets][]Order{}
	w.held = slices.DeleteFunc(w.held, func(m message) bool { return m.vm == vm })
	w.note("vm%d is killed", vm)
}

// act lets a VM do what a leader does in one step.
func (w *world) act(vm int) {
	v := &w.vms[vm]
	if w.now < v.frozen || v.grantor == nil {
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
	w.noteLives(v.grantor)
	w.connect(vm)
	if v.grantor == nil {
		return
	}
	for _, o := range v.grantor.DueOrders(w.now) {
		if i := indexOf(o.Target); o.Kind == Grant {
			v.queues[i] = append(v.queues[i], o)
			continue
		}
		w.send(vm, o)
	}
	w.sendQueued(vm)
}

// sendQueued sends grants whose turn has come, if the VM may still order.
func (w *world) sendQueued(vm int) {
	v := &w.vms[vm]
	for i := range v.queues {
		if w.now < v.stalled[i] {
			continue
		}
		for _, o := range v.queues[i] {
			if v.grantor.MayOrder(w.now) {
				w.send(vm, o)
				continue
			}
			w.report(message{vm: vm, order: o, target: i, sent: w.now}, Unreached, w.now)
		}
		v.queues[i] = nil
	}
}

func (w *world) noteLives(g *Grantor) {
	for _, s := range g.Record().Slices {
		for _, o := range []Owner{s.Owner, s.Previous} {
			if o.Known() && o.Born < w.listed[indexOf(o)] {
				g.MarkEnded(o)
			}
		}
	}
}

// connect opens connections to unconfirmed owners, then asks the store.
func (w *world) connect(vm int) {
	v := &w.vms[vm]
	for _, o := range v.grantor.Unconfirmed() {
		i := indexOf(o)
		if w.now < v.cutTargets[i] || !w.targets[i].up || !w.reaches(vm) {
			continue
		}
		v.conns[i] = w.targets[i].born
		if w.record.Epoch != v.grantor.Record().Epoch {
			v.grantor = nil
			return
		}
		v.grantor.ConfirmEpoch(w.now)
		if w.listed[i] == o.Born {
			v.grantor.MarkConfirmed(o)
		}
	}
}

func (w *world) send(vm int, o Order) {
	v := &w.vms[vm]
	i := indexOf(o.Target)
	m := message{vm: vm, order: o, target: i, life: v.conns[i], sent: w.now}
	if o.Kind == Release {
		// Releases open a connection of their own.
		m.life = w.targets[i].born
	}
	if !w.targets[i].up || m.life != w.targets[i].born {
		w.report(m, Unreached, w.now)
		return
	}
	if w.now < v.cutTargets[i] {
		if o.Kind == Release {
			// It gets no connection.
			w.report(m, Unreached, w.now+worldGiveUp)
			return
		}
		w.held = append(w.held, m)
		return
	}
	how := w.draw(0, 19, "fate of an order")
	// At the latest right before it is given up.
	m.arrives = w.now + time.Duration(w.draw(0, int(worldGiveUp/worldStep), "on the way"))*worldStep
	m.applied, m.answered = m.arrives, true
	switch {
	case how == 0:
		// Done late, and not answered.
		m.applied = m.arrives + time.Duration(w.draw(40, 240, "late"))*worldStep
		m.answered = false
	case how == 1:
		m.answered = false
	}
	w.flying = append(w.flying, m)
	if !m.answered {
		w.report(m, Unanswered, m.sent+worldGiveUp)
	}
}

// deliverHeld lets orders arrive whose cut has healed, and drops those that were given up.
func (w *world) deliverHeld() {
	var rest []message
	for _, m := range w.held {
		v := &w.vms[m.vm]
		givenUp := w.now >= m.sent+worldGiveUp && w.now >= v.frozen
		switch {
		case w.now >= v.cutTargets[m.target]:
			m.arrives, m.applied, m.answered = w.now, w.now, !m.given
			w.flying = append(w.flying, m)
			w.note("vm%d order %d fence %x, sent at %.2f, arrives after the cut", m.vm, m.order.Kind, m.order.Fence, (m.sent - time.Hour).Seconds())
		case w.onlyCloses && givenUp && !m.given:
			m.given = true
			w.report(m, Unanswered, w.now)
			rest = append(rest, m)
		case !w.onlyCloses && (givenUp || w.now >= m.sent+worldUnacked):
			// A process that stands still learns of it when it goes on.
			w.report(m, Unanswered, max(w.now, v.frozen))
		default:
			rest = append(rest, m)
		}
	}
	w.held = rest
}

// report hands the end of an order to its VM.
func (w *world) report(m message, r Result, over time.Duration) {
	v := &w.vms[m.vm]
	g := v.grantor
	v.results = append(v.results, func() {
		if over <= w.now {
			g.HandleResult(m.order, r, "", m.sent, over)
			if r == Fenced {
				w.readEpoch(m.vm)
			}
			return
		}
		w.report(m, r, over)
	})
}

func (w *world) readEpoch(vm int) {
	v := &w.vms[vm]
	if !w.reaches(vm) || v.grantor == nil {
		return
	}
	if w.record.Epoch != v.grantor.Record().Epoch {
		v.grantor = nil
		return
	}
	v.grantor.ConfirmEpoch(w.now)
}

// deliver applies the orders that are due.
func (w *world) deliver() {
	var rest []message
	for _, m := range w.flying {
		if m.applied > w.now {
			rest = append(rest, m)
			continue
		}
		w.apply(m)
	}
	w.flying = rest
}

func (w *world) apply(m message) {
	t := &w.targets[m.target]
	result := Done
	first, last := int(m.order.From)/unitWidth, int(m.order.To)/unitWidth
	refused := false
	for u := first; u <= last; u++ {
		refused = refused || m.order.Fence < t.seen[u]
	}
	switch {
	case !t.up || t.born != m.life:
		result = Unanswered
	case m.order.Kind == Grant && refused:
		result = Fenced
	default:
		for u := first; u <= last; u++ {
			t.seen[u] = max(t.seen[u], m.order.Fence)
			// The slowest clock that is allowed; nothing after a release.
			t.out[u] = m.arrives + time.Duration(float64(m.order.Hold)*(1+Drift))
		}
	}
	w.note("vm%d order %d units %d to %d fence %x at t%d: %d", m.vm, m.order.Kind, first, last, m.order.Fence, m.target, result)
	if m.answered {
		w.report(m, result, w.now)
	}
	w.check()
}

// check is the promise: no key has two owners.
func (w *world) check() {
	for s := range worldUnits {
		var owners []int
		for i, t := range w.targets {
			if t.up && w.now < t.out[s] {
				owners = append(owners, i)
			}
		}
		if len(owners) > 1 {
			w.fatal(fmt.Sprintf("%s\nunit %d has owners %v", strings.Join(w.log, "\n"), s, owners))
		}
	}
}

// move has a grantor give a slice to another target. The write may be lost after
// it took effect.
func (w *world) move(vm, slice, target int) {
	v := &w.vms[vm]
	if v.grantor == nil || w.now < v.frozen {
		return
	}
	slice %= len(v.grantor.Record().Slices)
	if v.writing {
		return
	}
	var changes []Change
	if !v.unsettled {
		changes = []Change{{Slice: slice, To: w.owner(target)}}
	}
	next := v.grantor.Plan(changes)
	v.writing = true
	g, sent, version := v.grantor, w.now, v.version
	w.later(w.draw(0, 5, "write on the way"), func() { w.write(vm, g, next, sent, version) })
}

// moveSilent has a grantor give a slice of an owner that is silent to another target.
func (w *world) moveSilent(vm, target int) {
	g := w.vms[vm].grantor
	if g == nil {
		return
	}
	for i, s := range g.Record().Slices {
		if g.SilentFor(s.Owner, w.now) > worldSilent && g.Movable(i) {
			w.move(vm, i, target)
			return
		}
	}
}

// write takes effect at the store, and answers some time later.
func (w *world) write(vm int, g *Grantor, next Record, sent time.Duration, planned int) {
	v := &w.vms[vm]
	taken := w.reaches(vm) && planned == w.version
	if taken {
		w.record = next
		w.record.Slices = append([]Slice(nil), next.Slices...)
		w.version++
		w.note("vm%d moves written", vm)
	}
	version := w.version
	if taken && !w.keepsAnswers && w.draw(0, 9, "answer lost") == 0 {
		w.later(20, func() {
			if v.grantor == g {
				v.writing, v.unsettled = false, true
			}
		})
		return
	}
	w.later(w.draw(0, 5, "answer on the way"), func() {
		if v.grantor != g {
			return
		}
		v.writing = false
		switch {
		case taken:
			v.version, v.unsettled = version, false
			g.Commit(next, sent)
		case v.unsettled:
			// The lost write stands: begin again from what the store holds.
			v.grantor = nil
		default:
			g.Abandon()
		}
	})
}

// later does something after so many steps.
func (w *world) later(steps int, do func()) {
	w.due = append(w.due, dueAction{at: w.now + time.Duration(steps)*worldStep, do: do})
}

func (w *world) runDue() {
	due := w.due
	w.due = nil
	for _, a := range due {
		if a.at > w.now {
			w.due = append(w.due, a)
			continue
		}
		a.do()
	}
}

// divide has a grantor cut a slice in two.
func (w *world) divide(vm, slice, unit int) {
	v := &w.vms[vm]
	if v.grantor == nil || w.now < v.frozen || v.writing {
		return
	}
	slice %= len(v.grantor.Record().Slices)
	after := uint16((unit+1)*unitWidth - 1)
	if v.grantor.SplitSlice(slice, after) {
		w.note("vm%d divides slice %d after unit %d", vm, slice, unit)
	}
}

// tick lets a moment pass.
func (w *world) tick() {
	w.now += worldStep
	for i := range w.targets {
		// An entry follows its target after a while.
		if w.listed[i] != w.targets[i].born && w.draw(0, 9, "entry written") == 0 {
			w.listed[i] = w.targets[i].born
		}
	}
	w.runDue()
	w.deliverHeld()
	w.deliver()
	for vm := range w.vms {
		w.act(vm)
	}
	w.check()
}

// restart ends a life of a target; the next has the same id and knows nothing.
func (w *world) restart(i int) {
	w.targets[i] = worldTarget{born: w.targets[i].born + 1, up: true}
	w.note("t%d restarts as %d", i, w.targets[i].born)
}

// freeze has a VM stand still for a while.
func (w *world) freeze(vm int, span time.Duration) {
	w.vms[vm].frozen = w.now + span
	w.note("vm%d stands still for %.2f s", vm, span.Seconds())
}

// cutStore takes the store from a VM for a while.
func (w *world) cutStore(vm int, span time.Duration) {
	w.vms[vm].cut = w.now + span
	w.note("vm%d without store for %.2f s", vm, span.Seconds())
}

// cutTarget cuts a target off from a VM for a while.
func (w *world) cutTarget(vm, target int, span time.Duration) {
	w.vms[vm].cutTargets[target] = w.now + span
	w.note("vm%d without t%d for %.2f s", vm, target, span.Seconds())
}

// stall has a VM's grants for a target wait for a while.
func (w *world) stall(vm, target int, span time.Duration) {
	w.vms[vm].stalled[target] = w.now + span
	w.note("vm%d sends no grant to t%d for %.2f s", vm, target, span.Seconds())
}
