package placement

import (
	"time"

	"hemlockquay/charts"
	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

// moveChart is the state chart of a planned move.
var moveChart = charts.MustLoad("move")

// States and events of charts/move.jsonc.
const (
	movePreparing = statechart.State("preparing")
	eventGranted  = statechart.Event("granted")
	eventServed   = statechart.Event("served")
	eventWithdraw = statechart.Event("withdraw")
)

// moveTimeout is the time after which an unfinished move is withdrawn, in addition
// to the service's longest deadline, because a release waits for requests in flight.
// The other steps take a few renewals.
const moveTimeout = 10 * time.Second

// move is one planned move in progress.
type move struct {
	to    string
	since time.Duration
	// epoch is the least epoch of a grant after which MoveTo may be written.
	epoch   uint64
	machine *statechart.Machine
}

// startMove starts the move of a group. A target that is not yet the standby becomes
// the standby first; the move is ordered once the grantor has adopted the new pair.
func (r *round) startMove(g *model.Group, to, reason string) {
	m := &move{to: to, since: r.in.Now, epoch: g.Epoch + 1, machine: moveChart.Start()}
	r.moves[g.ID] = m
	r.decide(Move, g, "%s moves from %s to %s: %s", groupName(r.in.Service, g), g.Owner.Name, to, reason)
	if g.Standby.Name == to {
		r.writeIntent(g, m)
		return
	}
	if g.Witness.Name == to {
		g.Witness = g.Standby
	}
	g.Standby = r.ref(to)
}

// writeIntent sets MoveTo, the durable intent that the grantor carries out.
func (r *round) writeIntent(g *model.Group, m *move) {
	if m.machine.Fire(eventGranted) == nil {
		g.MoveTo = m.to
	}
}

// reconcileMoves updates the moves in progress, and the record, from the grant table.
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

// adopt takes over a move that a previous assigner ordered.
func (r *round) adopt(g *model.Group) {
	if g.MoveTo == "" || r.moves[g.ID] != nil {
		return
	}
	m := &move{to: g.MoveTo, since: r.in.Now, epoch: g.Epoch, machine: moveChart.Start()}
	if m.machine.Fire(eventGranted) == nil {
		r.moves[g.ID] = m
	}
}

// reconcileMove advances the move of one group. A move has ended when the record
// says so: the grantor swaps owner and standby there after it granted the new owner.
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
		r.decide(Move, g, "%s: the grantor adopted %s as standby, the move is ordered", groupName(r.in.Service, g), m.to)
		r.writeIntent(g, m)
	}
}

func (r *round) withdraw(g *model.Group, m *move) {
	_ = m.machine.Fire(eventWithdraw)
	delete(r.moves, g.ID)
	g.MoveTo = ""
	r.decide(Withdraw, g, "%s stays at %s: the move to %s timed out or its target became unavailable",
		groupName(r.in.Service, g), g.Owner.Name, m.to)
}
