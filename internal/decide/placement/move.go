package placement

import (
	"time"

	"hemlockquay/charts"
	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

// moveChart is the life of a planned move.
var moveChart = charts.MustLoad("move")

// Names in charts/move.jsonc.
const (
	movePreparing = statechart.State("preparing")
	eventGranted  = statechart.Event("granted")
	eventServed   = statechart.Event("served")
	eventWithdraw = statechart.Event("withdraw")
)

// moveTimeout is how long a move may take before it is withdrawn. A release
// waits for requests in flight, at most the service's longest deadline, which is
// added; the rest takes a few renewals.
const moveTimeout = 10 * time.Second

// move is one planned move under way.
type move struct {
	to    string
	since time.Duration
	// epoch is the record that a grant must have seen before MoveTo is written.
	epoch   uint64
	machine *statechart.Machine
}

// startMove begins to move a group. A target that is not the standby becomes it
// first; its move is ordered when the grantor has taken up the new pair.
func (r *round) startMove(g *model.Group, to, why string) {
	m := &move{to: to, since: r.in.Now, epoch: g.Epoch + 1, machine: moveChart.Start()}
	r.moves[g.ID] = m
	r.decide(Move, g, "%s moves from %s to %s: %s", groupName(r.in.Service, g), g.Owner.Name, to, why)
	if g.Standby.Name == to {
		r.writeIntent(g, m)
		return
	}
	if g.Witness.Name == to {
		g.Witness = g.Standby
	}
	g.Standby = r.ref(to)
}

// writeIntent writes the durable intent.
func (r *round) writeIntent(g *model.Group, m *move) {
	if m.machine.Fire(eventGranted) == nil {
		g.MoveTo = m.to
	}
}

// reconcileMoves brings moves and the record up to what the grants show.
func (r *round) reconcileMoves() {
	known := make(map[uint64]bool, len(r.next.Groups))
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		known[g.ID] = true
		r.adopt(g)
		r.reconcileMove(g)
	}
	for id := range r.moves {
		if !known[id] {
			delete(r.moves, id)
		}
	}
}

// adopt takes over a move that an earlier assigner ordered.
func (r *round) adopt(g *model.Group) {
	if g.MoveTo == "" || r.moves[g.ID] != nil {
		return
	}
	m := &move{to: g.MoveTo, since: r.in.Now, epoch: g.Epoch, machine: moveChart.Start()}
	if m.machine.Fire(eventGranted) == nil {
		r.moves[g.ID] = m
	}
}

// reconcileMove brings one move on. Its end is in the record: the grantor that has
// granted the new owner swaps owner and standby there.
func (r *round) reconcileMove(g *model.Group) {
	m := r.moves[g.ID]
	if m == nil {
		return
	}
	served, granted := r.in.Serving[g.ID]
	switch {
	case g.Owner.Name == m.to:
		_ = m.machine.Fire(eventServed)
		delete(r.moves, g.ID)
	case r.in.Now-m.since > moveTimeout+r.in.Service.MaxDeadline.D() || !r.usable(m.to):
		r.withdraw(g, m)
	case granted && served.Epoch >= m.epoch && m.machine.State() == movePreparing:
		r.decide(Move, g, "%s: the grantor took up %s as standby, the move is ordered", groupName(r.in.Service, g), m.to)
		r.writeIntent(g, m)
	}
}

func (r *round) withdraw(g *model.Group, m *move) {
	_ = m.machine.Fire(eventWithdraw)
	delete(r.moves, g.ID)
	g.MoveTo = ""
	r.decide(Withdraw, g, "%s stays at %s: the move to %s did not end in time, or its target went away", groupName(r.in.Service, g), g.Owner.Name, m.to)
}
