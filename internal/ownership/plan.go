// Package ownership decides who owns keys: the plan of a service's groups, and
// the grants that carry it out. Its decisions take time and messages as values
// and return what to do; package agent carries them.
package ownership

import (
	"fmt"
	"slices"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// succession is how many grantors stand in a group's line.
const succession = 3

// Initial plans a service that has no assignment: its slices spread evenly, each
// target's slices as one group, with standby and witness in other data centres
// where there are any.
func Initial(s *model.Service, vms []wire.Member, author string) model.Assignment {
	a := model.Assignment{Service: s.Name}
	all := keyspace.Divide(max(s.Slices, len(s.Targets)))
	for i, t := range s.Targets {
		g := model.Group{ID: uint64(i), Epoch: 1, Owner: model.TargetRef{Name: t.Name}, Author: author}
		for j := i; j < len(all); j += len(s.Targets) {
			g.Slices = append(g.Slices, all[j])
		}
		standby, witness := companions(s, i)
		g.Standby.Name, g.Witness.Name = standby.Name, witness.Name
		g.Grantors = grantors(vms, fmt.Sprintf("%s/%d", s.Name, g.ID), t.DataCentre, standby.DataCentre)
		a.Groups = append(a.Groups, g)
	}
	a.NextGroup = uint64(len(a.Groups))
	return a
}

// companions picks a standby and a witness for the service's target i: the next
// targets, those of unused data centres first.
func companions(s *model.Service, i int) (standby, witness model.Target) {
	used := []string{s.Targets[i].DataCentre}
	picked := []int{i}
	next := func() model.Target {
		for _, fresh := range []bool{true, false} {
			for d := 1; d < len(s.Targets); d++ {
				j := (i + d) % len(s.Targets)
				if slices.Contains(picked, j) || fresh && slices.Contains(used, s.Targets[j].DataCentre) {
					continue
				}
				picked = append(picked, j)
				used = append(used, s.Targets[j].DataCentre)
				return s.Targets[j]
			}
		}
		return model.Target{}
	}
	return next(), next()
}

// grantors picks the line of succession: VMs outside the data centres of owner
// and standby first.
func grantors(vms []wire.Member, group, ownerDC, standbyDC string) []string {
	candidates := make([]rendezvous.Candidate, len(vms))
	for i, m := range vms {
		candidates[i] = rendezvous.Candidate{VM: m.VM, DataCentre: m.DataCentre}
	}
	order := rendezvous.Rank(candidates, group, "")
	slices.SortStableFunc(order, func(a, b int) int {
		return shared(vms[a], ownerDC, standbyDC) - shared(vms[b], ownerDC, standbyDC)
	})
	var line []string
	for _, i := range order[:min(succession, len(order))] {
		line = append(line, vms[i].VM)
	}
	return line
}

func shared(m wire.Member, ownerDC, standbyDC string) int {
	if m.DataCentre == ownerDC || m.DataCentre == standbyDC {
		return 1
	}
	return 0
}
