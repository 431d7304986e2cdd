package placement

import (
	"fmt"
	"time"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
)

// successionLength is how many grantors stand in a group's line: the loss of two VMs
// within grantorPatience leaves one.
const successionLength = 3

// firstPlanTimeout bounds how long a first plan waits for VMs that the platform
// lists and nobody heard: heartbeats start within a second of an agent, and a
// service without a plan refuses all its callers.
const firstPlanTimeout = 2 * time.Second

// First plans a service that has no assignment, once every listed VM is heard or
// firstPatience passed.
//
// Failure: the whole system starts at once, and the first assigner knows no peer
// yet. Lines of one or two grantors are written, and a VM lost before they are
// filled up leaves groups that nobody takes over.
func (p *Planner) First(in *Input) Result {
	if !p.firstPlanDue {
		p.firstPlanDue, p.firstPlanSince = true, in.Now
	}
	if len(in.VMs) < max(in.Listed, successionLength) && in.Now-p.firstPlanSince < firstPlanTimeout {
		return Result{}
	}
	return Result{Assignment: Initial(in), Decisions: []Decision{{Kind: Initialise, Text: "first assignment of " + in.Service.Name}}}
}

// Initial plans a service that has no assignment: slices spread evenly, one group
// for each, so that a move moves one slice. Orders to a target are batched over
// its groups, so many small groups cost no more messages.
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
