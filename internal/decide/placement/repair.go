package placement

import (
	"cmp"
	"slices"
	"time"

	"hemlockquay/internal/model"
)

// grantorAbsenceLimit is how long a VM may be missing before it is removed from lines
// of succession. A restart takes a few seconds, during which the next grantor in line
// takes over anyway, so rewriting all groups at each restart would gain nothing.
const grantorAbsenceLimit = 10 * time.Second

// releaseMargin is added to the longest deadline in the wait before the groups of a
// target that does not check fences get a new owner. It amply covers a grant's lifetime
// and clock drift.
const releaseMargin = 2 * time.Second

// repair reassigns the roles of VMs and targets that are gone. It takes keys only
// from owners that are leaving or no longer listed.
func (r *round) repair() {
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		r.evacuate(g)
		r.repairStandbyAndWitness(g)
		r.repairSuccession(g)
	}
}

// evacuate moves a group away from an owner that is leaving or no longer listed. The
// group goes to its standby, which takes one write and no new pair, unless another
// target has far less load. The loss of an owner is not handled here: the grantor
// fails over by itself and records it, and reconcileMoves sees the new owner.
func (r *round) evacuate(g *model.Group) {
	_, listed := r.targets[g.Owner.Name]
	if listed && !r.in.Leaving[g.Owner.Name] || r.moves[g.ID] != nil {
		return
	}
	if !r.in.Service.ChecksFences {
		r.reassignUnfenced(g, listed)
		return
	}
	to := r.evacuationTarget(g)
	if to == "" {
		return
	}
	reason := "its owner is leaving"
	if !listed {
		reason = "its owner was removed from the service"
	}
	r.startMove(g, to, reason)
}

// evacuationTarget returns the target that gets the group of a leaving owner, "" for
// none: the standby, or the least loaded target if moving the group from the standby
// to it later would be a gain.
func (r *round) evacuationTarget(g *model.Group) string {
	if len(r.eligible) == 0 {
		return ""
	}
	l := r.measureLoads()
	leastLoaded := slices.MinFunc(r.eligible, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.target[a], l.target[b]), cmp.Compare(a, b))
	})
	standby := g.Standby.Name
	if r.usable(standby) && l.target[standby]-l.target[leastLoaded] < l.group[g.ID]/2 {
		return standby
	}
	return leastLoaded
}

// reassignUnfenced gives a group to its standby where targets do not check fences.
//
// Such a target serves every request that reaches it. If its keys were reassigned
// while it only appears lost, there would be two owners, neither of which notices.
// The group therefore stays until the operators or the platform no longer list the
// target, and then for as long as an earlier request or order may still run: the
// longest deadline plus releaseMargin.
func (r *round) reassignUnfenced(g *model.Group, listed bool) {
	wait := r.in.Service.MaxDeadline.D() + releaseMargin
	if listed || r.missingFor(g.Owner.Name) < wait || !r.usable(g.Standby.Name) {
		return
	}
	before := g.Owner.Name
	g.Owner, g.Standby = g.Standby, model.TargetRef{}
	g.Standby = r.ref(r.pickStandby(g))
	r.decide(Move, g, "%s moves from %s to %s: its owner does not check fences and has been unlisted for at least %v",
		groupName(r.in.Service, g), before, g.Owner.Name, wait)
}

// repairStandbyAndWitness replaces a standby or witness that is unusable, and a
// standby in the owner's data centre if a target elsewhere is available.
func (r *round) repairStandbyAndWitness(g *model.Group) {
	if r.moves[g.ID] != nil || g.MoveTo != "" {
		return
	}
	r.repairStandby(g)
	r.repairWitness(g)
}

func (r *round) repairStandby(g *model.Group) {
	bad := !r.usable(g.Standby.Name)
	shares := r.dataCentre(g.Standby.Name) == r.dataCentre(g.Owner.Name)
	if !bad && !shares {
		return
	}
	to := r.pickStandby(g)
	better := to != "" && r.dataCentre(to) != r.dataCentre(g.Owner.Name)
	if to == g.Standby.Name || !bad && !better {
		return
	}
	before := g.Standby.Name
	g.Standby = r.ref(to)
	if g.Witness.Name == to {
		g.Witness = model.TargetRef{}
	}
	r.decide(Standby, g, "%s: standby %q replaces %q, which is unavailable or in the owner's data centre",
		groupName(r.in.Service, g), to, before)
}

func (r *round) repairWitness(g *model.Group) {
	if r.usable(g.Witness.Name) {
		return
	}
	to := r.pickWitness(g)
	if to == g.Witness.Name {
		return
	}
	before := g.Witness.Name
	g.Witness = r.ref(to)
	r.decide(Witness, g, "%s: witness %q replaces %q", groupName(r.in.Service, g), to, before)
}

// pickStandby returns the target that should be the standby, "" for none. It prefers
// targets outside the owner's data centre, then those that are standby for the fewest
// groups of this owner, so that the loss of one target spreads over many, then the
// least loaded.
func (r *round) pickStandby(g *model.Group) string {
	taken := []string{g.Owner.Name}
	inherits := make(map[string]int)
	for i := range r.next.Groups {
		if o := &r.next.Groups[i]; o.ID != g.ID && o.Owner.Name == g.Owner.Name {
			inherits[o.Standby.Name]++
		}
	}
	return r.pick(taken, []string{r.dataCentre(g.Owner.Name)}, inherits)
}

// pickWitness returns the target that should be the witness, "" for none. It prefers a
// third data centre, then the target that is witness of the fewest groups.
func (r *round) pickWitness(g *model.Group) string {
	taken := []string{g.Owner.Name, g.Standby.Name}
	duties := make(map[string]int)
	for i := range r.next.Groups {
		duties[r.next.Groups[i].Witness.Name]++
	}
	return r.pick(taken, []string{r.dataCentre(g.Owner.Name), r.dataCentre(g.Standby.Name)}, duties)
}

func (r *round) pick(taken, avoid []string, duties map[string]int) string {
	var names []string
	for _, n := range r.eligible {
		if !slices.Contains(taken, n) {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		near := func(n string) int { return boolToInt(slices.Contains(avoid, r.dataCentre(n))) }
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(duties[a], duties[b]),
			cmp.Compare(r.initialLoads.target[a], r.initialLoads.target[b]), cmp.Compare(a, b))
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
