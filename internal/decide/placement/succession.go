package placement

import (
	"cmp"
	"slices"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/model"
)

// successionPlanner plans the line of succession of a group: the VMs that may become
// its grantor, in order. The rules, by priority:
//
//   - The first VM is outside the data centres of owner and standby, if there is such
//     a VM: the loss of one data centre then affects at most one of the three.
//   - The line spans as many data centres as it has places. With three data centres,
//     all VMs outside those of the pair are in the third. If the line had only these,
//     it would be lost with that data centre, and nobody would take over until the
//     assigner names other grantors, grantorAbsenceLimit later.
//   - The other VMs are outside the pair's data centres, too, if possible.
type successionPlanner struct {
	// ranked are the live VMs, in rendezvous order for the group.
	ranked []VM
	// pairDCs are the data centres of owner and standby.
	pairDCs []string
	// vmDC is the data centre of each live VM, by VM name.
	vmDC map[string]string
}

func (r *round) successionOf(g *model.Group) *successionPlanner {
	vms := r.in.VMs
	candidates := make([]rendezvous.Candidate, len(vms))
	l := &successionPlanner{vmDC: r.vmDC, pairDCs: []string{r.dataCentre(g.Owner.Name), r.dataCentre(g.Standby.Name)}}
	for i, vm := range vms {
		candidates[i] = rendezvous.Candidate{VM: vm.Name, DataCentre: vm.DataCentre}
	}
	for _, i := range rendezvous.Rank(candidates, groupName(r.in.Service, g), "") {
		l.ranked = append(l.ranked, vms[i])
	}
	return l
}

// inPairDC reports whether the VM is in a data centre of the pair. It is false for a VM
// that is not live, which may be back soon.
func (l *successionPlanner) inPairDC(vm string) bool {
	dc, live := l.vmDC[vm]
	return live && slices.Contains(l.pairDCs, dc)
}

// countInDC returns how many VMs of the line are in the data centre.
func (l *successionPlanner) countInDC(line []string, dc string) int {
	n := 0
	for _, vm := range line {
		n += boolToInt(l.vmDC[vm] == dc)
	}
	return n
}

// nextVM returns the VM to append to the line, "" for none.
func (l *successionPlanner) nextVM(line []string) string {
	var left []VM
	for _, vm := range l.ranked {
		if !slices.Contains(line, vm.Name) {
			left = append(left, vm)
		}
	}
	if len(left) == 0 {
		return ""
	}
	return slices.MinFunc(left, func(a, b VM) int {
		near := cmp.Compare(boolToInt(l.inPairDC(a.Name)), boolToInt(l.inPairDC(b.Name)))
		if len(line) == 0 {
			return near
		}
		return cmp.Or(cmp.Compare(l.countInDC(line, a.DataCentre), l.countInDC(line, b.DataCentre)), near)
	}).Name
}

// fill appends VMs until the line has successionLength or no VM is left.
func (l *successionPlanner) fill(line []string) []string {
	for len(line) < successionLength {
		vm := l.nextVM(line)
		if vm == "" {
			break
		}
		line = append(line, vm)
	}
	return line
}

// moveFarVMFirst puts a VM outside the pair's data centres first, if there is one.
func (l *successionPlanner) moveFarVMFirst(line []string) []string {
	if len(line) == 0 || !l.inPairDC(line[0]) {
		return line
	}
	far := func(vm string) bool { return !l.inPairDC(vm) }
	if i := slices.IndexFunc(line, far); i > 0 {
		return slices.Concat(line[i:i+1], line[:i], line[i+1:])
	}
	if first := l.nextVM(nil); far(first) {
		return slices.Concat([]string{first}, line[:min(len(line), successionLength-1)])
	}
	return line
}

// dropLastIfOneDC drops the last VM of a full line that is in one data centre only, so
// that fill can append one of another data centre.
func (l *successionPlanner) dropLastIfOneDC(line []string) []string {
	if len(line) < successionLength || l.countInDC(line, l.vmDC[line[0]]) < len(line) {
		return line
	}
	elsewhere := func(vm VM) bool { return vm.DataCentre != l.vmDC[line[0]] }
	if !slices.ContainsFunc(l.ranked, elsewhere) {
		return line
	}
	return line[:successionLength-1]
}

// repairSuccession changes the line of succession where it breaks the rules of
// successionPlanner. Otherwise live VMs keep their order: the first of them already
// grants, and each change needs a new epoch.
func (r *round) repairSuccession(g *model.Group) {
	var kept []string
	for _, vm := range g.Grantors {
		if r.missingFor(vmKey(vm)) < grantorAbsenceLimit {
			kept = append(kept, vm)
		}
	}
	complete := len(kept) == len(g.Grantors) && len(kept) >= min(successionLength, len(r.in.VMs))
	if complete && r.satisfiesRules(g, kept) {
		return
	}
	l := r.successionOf(g)
	line := kept
	if r.allLive(kept) {
		line = l.dropLastIfOneDC(l.moveFarVMFirst(line))
	}
	line = l.fill(line)
	if slices.Equal(line, g.Grantors) {
		return
	}
	r.decide(Succession, g, "%s: grantors changed to %v, previously %v", groupName(r.in.Service, g), line, g.Grantors)
	g.Grantors = line
}

// satisfiesRules reports whether a complete line needs no change. A line with a VM
// that is missing for the moment is left unchanged: a restart takes seconds.
func (r *round) satisfiesRules(g *model.Group, line []string) bool {
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
