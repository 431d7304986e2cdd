package placement

import (
	"cmp"
	"slices"
	"time"

	"hemlockquay/internal/model"
)

// grantorAbsenceLimit is how long a VM may be missing before lines of succession
// leave it out. A restart takes a few seconds and the next in line has long
// taken over; a write for all groups at each restart would be for nothing.
const grantorAbsenceLimit = 10 * time.Second

// releaseMargin is added to the longest deadline when a target that does not
// check fences is waited out: a grant's life and its drift, generously.
const releaseMargin = 2 * time.Second

// repair fills the roles whose holders went away. It takes keys only from
// owners that leave.
func (r *round) repair() {
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		r.evacuate(g)
		r.repairStandbyAndWitness(g)
		r.repairSuccession(g)
	}
}

// evacuate moves a group away from an owner that leaves or left. The standby
// takes it, which is one write and no new pair, unless another target would be
// left far colder; a loss is not planned here, the grantor takes over by itself
// and followGrants records it.
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
	why := "its owner leaves"
	if !listed {
		why = "its owner was removed from the service"
	}
	r.startMove(g, to, why)
}

// evacuationTarget returns the target that takes the group of a leaving owner, "" for none:
// the standby, or the coldest where moving the group on from the standby would
// gain anything.
func (r *round) evacuationTarget(g *model.Group) string {
	if len(r.eligible) == 0 {
		return ""
	}
	l := r.measureLoads()
	coldest := slices.MinFunc(r.eligible, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.target[a], l.target[b]), cmp.Compare(a, b))
	})
	standby := g.Standby.Name
	if r.usable(standby) && l.target[standby]-l.target[coldest] < l.group[g.ID]/2 {
		return standby
	}
	return coldest
}

// reassignUnfenced gives a group to its standby where targets do not check fences.
//
// Failure: such a target serves whatever reaches it. Taking its keys away while
// it only seems lost gives two owners, unseen by either. So the keys stay until
// operators or the platform list the target as gone, and then for as long as a
// request or order sent before may run: the longest deadline and a margin.
func (r *round) reassignUnfenced(g *model.Group, listed bool) {
	wait := r.in.Service.MaxDeadline.D() + releaseMargin
	if listed || r.missingFor(g.Owner.Name) < wait || !r.usable(g.Standby.Name) {
		return
	}
	before := g.Owner.Name
	g.Owner, g.Standby = g.Standby, model.TargetRef{}
	g.Standby = r.ref(r.pickStandby(g))
	r.decide(Move, g, "%s moves from %s to %s: the platform no longer lists its owner, which does not check fences and was waited out for %v",
		groupName(r.in.Service, g), before, g.Owner.Name, wait)
}

// repairStandbyAndWitness replaces a standby or witness that went away, or that shares
// a data centre with the others while another would not.
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
	r.decide(Standby, g, "%s: %q stands by in place of %q, which went away or shared the owner's data centre", groupName(r.in.Service, g), to, before)
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
	r.decide(Witness, g, "%s: %q is witness in place of %q", groupName(r.in.Service, g), to, before)
}

// pickStandby returns the target that should stand by, "" for none: in another
// data centre than the owner, then the one that would inherit least from this
// owner, so that the loss of one target spreads over many, then the coldest.
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

// pickWitness prefers a third data centre, then the target that is witness least.
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
