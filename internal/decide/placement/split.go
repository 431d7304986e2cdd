package placement

import (
	"slices"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
)

// splitThreshold is the load of one group, in means of a target, from which it is
// split before it is moved: a group of half a target's load leaves the greedy
// placement at up to half a mean of imbalance.
const splitThreshold = 0.5

// splitHot divides hot groups of one slice into two with new IDs.
//
// Failure: fences are kept by group ID. A target that still holds a grant of the
// old group does not see orders of the new ones as its rivals, so two targets
// could serve the same keys. The old group's grant must therefore be out, known
// by the owner's release or by waiting it out, and its record gone, before a new
// one is granted: in.Released says so, and the grantor must grant nothing more
// to a group that it reported as released until the record changes. Until a
// grantor reports releases, Splits stays off.
func (r *round) splitHot() {
	if !r.Splits {
		return
	}
	l := r.measureLoads()
	for i := 0; i < len(r.next.Groups); i++ {
		g := r.next.Groups[i]
		if r.in.Released[g.ID] && r.movable(&g) && l.group[g.ID] > splitThreshold*l.mean {
			r.split(i, g)
			i++
		}
	}
}

func (r *round) split(at int, g model.Group) {
	if len(g.Slices) != 1 {
		return
	}
	low, high, ok := g.Slices[0].Split()
	if !ok {
		return
	}
	halves := []model.Group{g, g}
	for i, s := range []keyspace.Slice{low, high} {
		halves[i].ID = r.next.NextGroup
		halves[i].Slices = []keyspace.Slice{s}
		halves[i].Epoch = 0
		r.next.NextGroup++
		r.decide(Split, &halves[i], "%s takes one half of the hot group %d", groupName(r.in.Service, &halves[i]), g.ID)
	}
	r.next.Groups = slices.Replace(r.next.Groups, at, at+1, halves...)
}
