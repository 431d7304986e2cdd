package placement

import (
	"cmp"
	"slices"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/model"
)

// successionPlanner makes a group's line of succession. The rules, in this order:
//
//   - Its head is outside the data centres of owner and standby, where there is a
//     VM: the loss of one data centre takes at most one of the three.
//   - It reaches over as many data centres as it has places. Failure: with three
//     data centres all VMs outside those of the pair are in the third. A line of
//     them is lost with it as a whole, and nobody takes over until the assigner
//     names others, grantorPatience later.
//   - Those after the head are outside the pair's data centres too, if they can be.
type successionPlanner struct {
	// order are the live VMs, by rendezvous for the group.
	order []VM
	// pair are the data centres of owner and standby.
	pair []string
	// dc is where the live VMs are, by name.
	dc map[string]string
}

func (r *round) successionOf(g *model.Group) *successionPlanner {
	vms := r.in.VMs
	candidates := make([]rendezvous.Candidate, len(vms))
	l := &successionPlanner{dc: r.vmDC, pair: []string{r.dataCentre(g.Owner.Name), r.dataCentre(g.Standby.Name)}}
	for i, vm := range vms {
		candidates[i] = rendezvous.Candidate{VM: vm.Name, DataCentre: vm.DataCentre}
	}
	for _, i := range rendezvous.Rank(candidates, groupName(r.in.Service, g), "") {
		l.order = append(l.order, vms[i])
	}
	return l
}

// near reports whether the VM is in a data centre of the pair. One that is not
// live is not: it may be back in a moment.
func (l *successionPlanner) near(vm string) bool {
	dc, live := l.dc[vm]
	return live && slices.Contains(l.pair, dc)
}

// used counts the line's VMs in the data centre.
func (l *successionPlanner) used(line []string, dc string) int {
	n := 0
	for _, vm := range line {
		n += btoi(l.dc[vm] == dc)
	}
	return n
}

// next returns the VM that should follow in the line, "" for none.
func (l *successionPlanner) next(line []string) string {
	var left []VM
	for _, vm := range l.order {
		if !slices.Contains(line, vm.Name) {
			left = append(left, vm)
		}
	}
	if len(left) == 0 {
		return ""
	}
	return slices.MinFunc(left, func(a, b VM) int {
		near := cmp.Compare(btoi(l.near(a.Name)), btoi(l.near(b.Name)))
		if len(line) == 0 {
			return near
		}
		return cmp.Or(cmp.Compare(l.used(line, a.DataCentre), l.used(line, b.DataCentre)), near)
	}).Name
}

// fill adds VMs until the line is whole.
func (l *successionPlanner) fill(line []string) []string {
	for len(line) < succession {
		vm := l.next(line)
		if vm == "" {
			break
		}
		line = append(line, vm)
	}
	return line
}

// lead puts a VM outside the pair's data centres first, if there is one.
func (l *successionPlanner) lead(line []string) []string {
	if len(line) == 0 || !l.near(line[0]) {
		return line
	}
	far := func(vm string) bool { return !l.near(vm) }
	if i := slices.IndexFunc(line, far); i > 0 {
		return slices.Concat(line[i:i+1], line[:i], line[i+1:])
	}
	if first := l.next(nil); far(first) {
		return slices.Concat([]string{first}, line[:min(len(line), succession-1)])
	}
	return line
}

// spread makes room at the end of a line that is in one data centre only.
func (l *successionPlanner) spread(line []string) []string {
	if len(line) < succession || l.used(line, l.dc[line[0]]) < len(line) {
		return line
	}
	elsewhere := func(vm VM) bool { return vm.DataCentre != l.dc[line[0]] }
	if !slices.ContainsFunc(l.order, elsewhere) {
		return line
	}
	return line[:succession-1]
}

// repairSuccession brings the line of succession to its rules. Those who live keep their
// order otherwise: the first of them grants already, and each change is a new epoch.
func (r *round) repairSuccession(g *model.Group) {
	var kept []string
	for _, vm := range g.Grantors {
		if r.missingFor(vmKey(vm)) < grantorPatience {
			kept = append(kept, vm)
		}
	}
	whole := len(kept) == len(g.Grantors) && len(kept) >= min(succession, len(r.in.VMs))
	if whole && r.sound(g, kept) {
		return
	}
	l := r.successionOf(g)
	line := kept
	if r.allLive(kept) {
		line = l.spread(l.lead(line))
	}
	line = l.fill(line)
	if slices.Equal(line, g.Grantors) {
		return
	}
	r.decide(Line, g, "%s: grantors are %v, before %v", groupName(r.in.Service, g), line, g.Grantors)
	g.Grantors = line
}

// sound reports whether a whole line needs no change. One with a VM that is silent
// for the moment is left alone: a restart takes seconds.
func (r *round) sound(g *model.Group, line []string) bool {
	if !r.allLive(line) {
		return true
	}
	head := r.vmDC[line[0]]
	near := head == r.dataCentre(g.Owner.Name) || head == r.dataCentre(g.Standby.Name)
	spread := slices.ContainsFunc(line, func(vm string) bool { return r.vmDC[vm] != head })
	return !near && spread
}

func (r *round) allLive(line []string) bool {
	return !slices.ContainsFunc(line, func(vm string) bool { _, live := r.vmDC[vm]; return !live })
}
