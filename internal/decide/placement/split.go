package placement

import (
	"slices"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
)

// splitThreshold is the load of a group, as a multiple of the mean load of a target,
// above which it is split before it is moved. With a group of half the mean load,
// greedy placement can end with an imbalance of up to half the mean.
const splitThreshold = 0.5

// splitHot splits hot groups of one slice into two groups with new IDs.
//
// Targets keep fences by group ID. A target that still holds a grant of the old group
// does not recognise orders for the new groups as conflicting, so two targets could
// serve the same keys. Before a new group is granted, the old group's grant must
// therefore have ended, by the owner's release or by expiry, and its record must be
// gone. in.Released reports such groups; the grantor must not grant a group that it
// reported as released until the record changes. Splits stays off until grantors
// report releases.
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
