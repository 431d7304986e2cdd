package grants

import (
	"fmt"
	"slices"
	"time"
)

// injectFault causes or ends a random fault, or changes the plan.
func (sim *simulation) injectFault() {
	vm, tgt := sim.random.IntN(simVMs), sim.random.IntN(simTargets)
	switch sim.random.IntN(14) {
	case 0:
		sim.ordersCut[vm][tgt] = !sim.ordersCut[vm][tgt]
	case 1:
		sim.reportsLost[vm][tgt] = !sim.reportsLost[vm][tgt]
	case 2:
		sim.ordersCut, sim.reportsLost = [simVMs][simTargets]bool{}, [simVMs][simTargets]bool{}
		for _, a := range append(slices.Clone(sim.agents), sim.staleAgents...) {
			a.storeCut = false
			a.suspect = [simVMs]bool{}
		}
	case 3, 11, 12:
		sim.partition()
	case 13:
		// This agent considers all other agents lost.
		for i := range sim.agents[vm].suspect {
			sim.agents[vm].suspect[i] = i != vm
		}
	case 4:
		sim.anyAgent().storeCut = true
	case 5:
		sim.restartTarget(tgt)
	case 6:
		sim.restartAgent(vm)
	case 7:
		a := sim.anyAgent()
		a.suspect[vm] = !a.suspect[vm] && "vm"+fmt.Sprint(vm) != a.vm
	case 8:
		sim.changePlan()
	case 9:
		sim.targets[tgt].running = sim.random.IntN(2)
	case 10:
		sim.now += time.Duration(sim.random.IntN(1500)) * ms
	}
}

// partition divides agents, targets and the store between two sides. A target may be
// unreachable for all agents but one.
func (sim *simulation) partition() {
	side := sim.random.IntN(1 << (simVMs + simTargets + 1))
	on := func(i int) bool { return side>>i&1 == 1 }
	for i, a := range sim.agents {
		for j := range sim.ordersCut[i] {
			sim.ordersCut[i][j] = on(i) != on(simVMs+j)
		}
		for j := range a.suspect {
			a.suspect[j] = on(i) != on(j)
		}
		a.storeCut = on(i) != on(simVMs+simTargets) && sim.oneIn(2)
	}
}

// restartAgent replaces an agent; its old incarnation may keep running.
func (sim *simulation) restartAgent(vm int) {
	if sim.oneIn(2) {
		sim.staleAgents = append(sim.staleAgents, sim.agents[vm])
		if len(sim.staleAgents) > 2 {
			sim.staleAgents = sim.staleAgents[1:]
		}
	}
	sim.agents[vm] = sim.newAgent(sim.agents[vm].vm)
}

// changePlan moves a group, or gives it other targets.
func (sim *simulation) changePlan() {
	i := sim.random.IntN(len(sim.store))
	rec := sim.store[i]
	if sim.oneIn(2) {
		rec.MoveTo = rec.Standby.Name
	} else {
		order := []int{0, 1, 2, 3}
		for k := range order {
			j := k + sim.random.IntN(len(order)-k)
			order[k], order[j] = order[j], order[k]
		}
		rec = ReplaceTargets(rec, sim.ref(order[0]), sim.ref(order[1]), sim.ref(order[2]), sim.agents[sim.random.IntN(simVMs)].groups[0].params.Incarnation)
		if sim.oneIn(2) {
			line := slices.Clone(rec.Grantors)
			rec.Grantors = append(line[1:], line[0])
		}
	}
	sim.version++
	sim.store[i] = rec
}
