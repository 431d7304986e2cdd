package grants

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

// play runs one cell: agents, targets and the store, with a fault at a step of
// the first agent.
type play struct {
	*scenario
	step   statechart.Transition
	lead   lead
	inject func(*play)
	// taken says that the step was taken; pending, that the fault is due.
	taken, pending bool
	// todo are the lead's parts that are due.
	todo   []func(*play)
	done   map[statechart.Event]bool
	alarms []alarm

	dead, paused, isolated [walkVMs]bool
	// withAgent is the target on the isolated agent's side, -1 for none.
	withAgent    int
	heard        [walkVMs]time.Duration
	lost, frozen [walkTgts]bool
	late         []letter
	down         bool
	storeSlow    time.Duration
	answersLost  bool
	blindUntil   [walkVMs]time.Duration
	slow         []slowDraft
}

type alarm struct {
	at time.Duration
	do func(*play)
}

type slowDraft struct {
	due time.Duration
	draft
}

const (
	// beat is how often the daemons look at their groups.
	beat = 15 * ms
	// unheardAfter is when an agent that is silent counts as lost.
	unheardAfter = 190 * ms
	playFor      = 8 * time.Second
)

// serve gives an agent the times that are the daemons' defaults, but for the
// limit of a release, which is shortened to fit into a play.
func (p *play) serve(a *walkAgent) {
	q := &a.groups[0].params
	q.RenewInterval, q.GrantTTL, q.AuthorityTTL, q.ClockMargin = 75*ms, 400*ms, 160*ms, 10*ms
	q.FastPathTimeout, q.UnservedTimeout, q.ReleaseTimeout = 25*ms, 1500*ms, 500*ms
}

func newPlay(t *testing.T, step statechart.Transition, l lead, inject func(*play)) *play {
	p := &play{scenario: newScenario(t, ""), step: step, lead: l, inject: inject, done: make(map[statechart.Event]bool), withAgent: -1}
	if l.busy {
		p.targets[0].running = 1
	}
	for _, a := range p.agents {
		p.serve(a)
	}
	p.watch(p.agents[0])
	if step.Event == "" {
		p.taken, p.pending = true, true
	}
	p.after(300*ms, func(p *play) { p.noteEvent(serving) })
	return p
}

func (p *play) watch(a *walkAgent) {
	note := func(s statechart.Transition) {
		if s == p.step && !p.taken {
			p.taken, p.pending = true, true
		}
		p.noteEvent(s.Event)
	}
	a.groups[0].standing.Watch(note)
	a.groups[0].grant.Watch(note)
}

func (p *play) noteEvent(e statechart.Event) {
	if do := p.lead.at[e]; do != nil && !p.done[e] {
		p.done[e] = true
		p.todo = append(p.todo, do)
	}
}

// settle does what the last step made due.
func (p *play) settle() {
	if p.pending {
		p.pending = false
		p.inject(p)
	}
	for len(p.todo) > 0 {
		do := p.todo[0]
		p.todo = p.todo[1:]
		do(p)
	}
}

func (p *play) after(d time.Duration, do func(*play)) {
	p.alarms = append(p.alarms, alarm{p.now + d, do})
}

// unservedFor plays to the end and returns how long nobody owned the key.
func (p *play) unservedFor() string {
	var gap, stepAt time.Duration
	epoch := p.store[0].Epoch
	for p.now < playFor || p.taken && p.now < stepAt+playFor {
		p.beat()
		require.NoError(p.t, p.check())
		require.GreaterOrEqual(p.t, p.store[0].Epoch, epoch, "epochs fell")
		epoch = p.store[0].Epoch
		switch {
		case !p.taken:
			stepAt = p.now
		case p.owner() == "":
			gap += beat
		}
		p.now += beat
	}
	require.NotEmpty(p.t, p.owner(), "nobody serves at the end")
	require.Equal(p.t, p.store[0].Owner.Name, p.owner(), "the record shows the owner")
	require.Empty(p.t, p.store[0].MoveTo, "a move was left undone")
	return fmt.Sprintf("%.2f", gap.Seconds())
}

// beat lets everything happen that happens in one look.
func (p *play) beat() {
	for _, a := range slices.Clone(p.alarms) {
		if a.at <= p.now {
			p.alarms = slices.DeleteFunc(p.alarms, func(b alarm) bool { return b.at == a.at })
			a.do(p)
			p.settle()
		}
	}
	p.settle()
	p.listen()
	for i := range p.agents {
		p.act(i)
	}
	p.writeAll()
	for i, a := range p.agents {
		if p.runs(i) && !a.cutOff && p.now >= p.blindUntil[i] && (p.storeSlow == 0 || p.now%p.storeSlow == 0) {
			p.syncAgent(a)
			p.settle()
		}
	}
}

func (p *play) runs(i int) bool { return !p.dead[i] && !p.paused[i] }

// listen updates which agents receive heartbeats of which.
func (p *play) listen() {
	for i, a := range p.agents {
		a.cutOff = p.down || p.isolated[i]
		if p.runs(i) && !p.isolated[i] {
			p.heard[i] = p.now
		}
		for j := range p.agents {
			a.suspect[j] = i != j && (p.isolated[i] || p.now-p.heard[j] > unheardAfter)
		}
	}
}

func (p *play) act(i int) {
	if !p.runs(i) {
		return
	}
	a := p.agents[i]
	orders := p.orders(a)
	p.settle()
	if p.agents[i] != a || p.dead[i] {
		return // lost before it sent them
	}
	for _, l := range orders {
		p.deliver(i, l)
	}
}

// deliver takes an order to its target, or keeps it while the sender is paused or
// the target frozen.
func (p *play) deliver(i int, l letter) {
	tgt := int(l.order.Target[1] - '0')
	switch {
	case p.lost[tgt], p.isolated[0] && (i == 0) != (tgt == p.withAgent):
		return
	case p.paused[i] || p.frozen[tgt]:
		p.late = append(p.late, l)
		return
	}
	p.answer(p.reach([]letter{l}, l.order.Target))
	p.settle()
}

// writeAll carries the proposals to the store. Their authors learn of it by the
// next sync.
func (p *play) writeAll() {
	for _, d := range p.drafts {
		if !d.agent.cutOff {
			p.slow = append(p.slow, slowDraft{p.now + p.storeSlow, d})
		}
	}
	p.drafts = nil
	var rest []slowDraft
	for _, d := range p.slow {
		if d.due > p.now {
			rest = append(rest, d)
			continue
		}
		if p.down || d.base != p.version {
			continue
		}
		p.version++
		p.store[0] = d.rec
		if p.answersLost {
			p.blindUntil[d.agent.vm[2]-'0'] = p.now + time.Second
		}
	}
	p.slow = rest
}

// publish is a write of the assigner.
func (p *play) publish(rec model.Group) {
	p.version++
	p.store[0] = rec
}

func (p *play) isolate(i int, d time.Duration) {
	p.isolated[i] = true
	p.after(d, func(p *play) { p.isolated[i] = false })
}

// isolateWithOwner leaves the agent the owner, and nothing else.
func (p *play) isolateWithOwner(i int, d time.Duration) {
	p.withAgent = 0
	p.isolate(i, d)
}

func (p *play) pause(i int, d time.Duration) {
	p.paused[i] = true
	p.after(d, func(p *play) {
		p.paused[i] = false
		p.deliverLate(i)
	})
}

func (p *play) freeze(tgt int, d time.Duration) {
	p.frozen[tgt] = true
	p.after(d, func(p *play) {
		p.frozen[tgt] = false
		p.deliverLate(0)
	})
}

func (p *play) deliverLate(i int) {
	late := p.late
	p.late = nil
	for _, l := range late {
		p.deliver(i, l)
	}
}

// loseAgent ends the first agent; a new life of its VM comes after a second.
func (p *play) loseAgent() {
	p.dead[0] = true
	p.after(time.Second, func(p *play) {
		p.agents[0] = p.agent("vm0")
		p.serve(p.agents[0])
		p.watch(p.agents[0])
		p.dead[0] = false
	})
}

// loseTarget ends a target; its next life is reached after d.
func (p *play) loseTarget(tgt int, d time.Duration) {
	p.restartTarget(tgt)
	p.lost[tgt] = true
	p.after(d, func(p *play) { p.lost[tgt] = false })
}

func (p *play) storeDown(d time.Duration) {
	p.down = true
	p.after(d, func(p *play) { p.down = false })
}
