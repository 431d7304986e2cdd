package placement

import (
	"fmt"
	"time"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
)

// successionLength is the number of grantors in a group's line of succession: if two
// VMs are lost within grantorAbsenceLimit, one grantor is left.
const successionLength = 3

// firstPlanTimeout bounds how long the first plan waits for heartbeats of VMs that the
// platform lists. An agent sends heartbeats within a second of its start, and a
// service without a plan refuses all requests.
const firstPlanTimeout = 2 * time.Second

// PlanFirst plans a service that has no assignment, once heartbeats of every listed VM
// have arrived or firstPlanTimeout has passed.
//
// Without this wait, when the whole system starts at once, the first assigner knows
// no peers yet and writes lines of one or two grantors. If a VM is lost before these
// are filled up, nobody takes over its groups.
func (p *Planner) PlanFirst(in *Input) Result {
	if !p.firstPlanDue {
		p.firstPlanDue, p.firstPlanSince = true, in.Now
	}
	if len(in.VMs) < max(in.Listed, successionLength) && in.Now-p.firstPlanSince < firstPlanTimeout {
		return Result{}
	}
	return Result{Assignment: Initial(in), Decisions: []Decision{{Kind: Initialise, Text: "first assignment of " + in.Service.Name}}}
}

// Initial plans a service that has no assignment. It spreads the slices evenly and
// makes each one a group, so that a move affects one slice. Orders to a target are
// batched over its groups, so many small groups need no more messages.
func Initial(in *Input) model.Assignment {
	r := newRound(New(), in)
	s := in.Service
	owners := r.eligible
	if len(owners) == 0 {
		return model.Assignment{Service: s.Name}
	}
	for i, slice := range keyspace.Divide(max(s.Slices, len(s.Targets))) {
		r.next.Groups = append(r.next.Groups, model.Group{
			ID: uint64(i), Slices: []keyspace.Slice{slice}, Epoch: 1, Author: in.Author, Owner: r.ref(owners[i%len(owners)]),
		})
	}
	r.initialLoads = r.measureLoads()
	for i := range r.next.Groups {
		g := &r.next.Groups[i]
		g.Standby = r.ref(r.pickStandby(g))
		g.Witness = r.ref(r.pickWitness(g))
		g.Grantors = r.successionOf(g).fill(nil)
	}
	r.next.Service, r.next.NextGroup = s.Name, uint64(len(r.next.Groups))
	return r.next
}

func groupName(s *model.Service, g *model.Group) string { return fmt.Sprintf("%s/%d", s.Name, g.ID) }
