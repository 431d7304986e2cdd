package placement

import (
	"cmp"
	"fmt"
	"slices"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
)

// succession is how many grantors stand in a group's line: the loss of two VMs
// within grantorPatience leaves one.
const succession = 3

// Initial plans a service that has no assignment: slices spread evenly, one group
// for each, so that a move moves one slice. Orders to a target are batched over
// its groups, so many small groups cost no more messages.
func Initial(in *Input) model.Assignment {
	r := newRound(New(), in)
	s := in.Service
	owners := r.fit
	if len(owners) == 0 {
		return model.Assignment{Service: s.Name}
	}
	for i, slice := range keyspace.Divide(max(s.Slices, len(s.Targets))) {
		r.next.Groups = append(r.next.Groups, model.Group{
			ID: uint64(i), Slices: []keyspace.Slice{slice}, Epoch: 1, Author: in.Author, Owner: r.ref(owners[i%len(owners)]),
		})
	}
	r.planned = r.measure()
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		g.Standby = r.ref(r.pickStandby(g))
		g.Witness = r.ref(r.pickWitness(g))
		line := rankGrantors(in.VMs, groupName(s, g), r.dataCentre(g.Owner.Name), r.dataCentre(g.Standby.Name))
		g.Grantors = line[:min(succession, len(line))]
	}
	r.next.Service, r.next.NextGroup = s.Name, uint64(len(r.next.Groups))
	return r.next
}

// rankGrantors orders the VMs for a group's line of succession: those outside
// the data centres of owner and standby first, so that the loss of a data centre
// takes at most one of owner, standby and grantor.
func rankGrantors(vms []VM, group, ownerDC, standbyDC string) []string {
	candidates := make([]rendezvous.Candidate, len(vms))
	for i, vm := range vms {
		candidates[i] = rendezvous.Candidate{VM: vm.Name, DataCentre: vm.DataCentre}
	}
	order := rendezvous.Rank(candidates, group, "")
	near := func(i int) int { return btoi(vms[i].DataCentre == ownerDC || vms[i].DataCentre == standbyDC) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(near(a), near(b)) })
	line := make([]string, len(order))
	for i, at := range order {
		line[i] = vms[at].Name
	}
	return line
}

func groupName(s *model.Service, g *model.Group) string { return fmt.Sprintf("%s/%d", s.Name, g.ID) }
