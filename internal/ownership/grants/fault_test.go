package grants

import (
	"fmt"
	"slices"
	"time"
)

// fault breaks or mends something, or changes the plan.
func (w *walk) fault() {
	vm, tgt := w.chance.IntN(walkVMs), w.chance.IntN(walkTgts)
	switch w.chance.IntN(14) {
	case 0:
		w.cut[vm][tgt] = !w.cut[vm][tgt]
	case 1:
		w.lost[vm][tgt] = !w.lost[vm][tgt]
	case 2:
		w.cut, w.lost = [walkVMs][walkTgts]bool{}, [walkVMs][walkTgts]bool{}
		for _, a := range append(slices.Clone(w.agents), w.zombies...) {
			a.cutOff = false
			a.suspect = [walkVMs]bool{}
		}
	case 3, 11, 12:
		w.partition()
	case 13:
		// Everyone who is alive thinks that the others are lost.
		for i := range w.agents[vm].suspect {
			w.agents[vm].suspect[i] = i != vm
		}
	case 4:
		w.anyAgent().cutOff = true
	case 5:
		w.restartTarget(tgt)
	case 6:
		w.restartAgent(vm)
	case 7:
		a := w.anyAgent()
		a.suspect[vm] = !a.suspect[vm] && "vm"+fmt.Sprint(vm) != a.vm
	case 8:
		w.plan()
	case 9:
		w.targets[tgt].running = w.chance.IntN(2)
	case 10:
		w.now += time.Duration(w.chance.IntN(1500)) * ms
	}
}

// partition puts agents, targets and the store on two sides; a target may be
// out of reach for all but one agent.
func (w *walk) partition() {
	side := w.chance.IntN(1 << (walkVMs + walkTgts + 1))
	on := func(i int) bool { return side>>i&1 == 1 }
	for i, a := range w.agents {
		for j := range w.cut[i] {
			w.cut[i][j] = on(i) != on(walkVMs+j)
		}
		for j := range a.suspect {
			a.suspect[j] = on(i) != on(j)
		}
		a.cutOff = on(i) != on(walkVMs+walkTgts) && w.oneIn(2)
	}
}

// restartAgent replaces an agent; its old life may go on as if nothing happened.
func (w *walk) restartAgent(vm int) {
	if w.oneIn(2) {
		w.zombies = append(w.zombies, w.agents[vm])
		if len(w.zombies) > 2 {
			w.zombies = w.zombies[1:]
		}
	}
	w.agents[vm] = w.newAgent(w.agents[vm].vm)
}

// plan moves a group, or gives it other targets.
func (w *walk) plan() {
	i := w.chance.IntN(len(w.store))
	rec := w.store[i]
	if w.oneIn(2) {
		rec.MoveTo = rec.Standby.Name
	} else {
		order := []int{0, 1, 2, 3}
		for k := range order {
			j := k + w.chance.IntN(len(order)-k)
			order[k], order[j] = order[j], order[k]
		}
		rec = ChangePair(rec, w.ref(order[0]), w.ref(order[1]), w.ref(order[2]), w.agents[w.chance.IntN(walkVMs)].groups[0].params.Incarnation)
		if w.oneIn(2) {
			line := slices.Clone(rec.Grantors)
			rec.Grantors = append(line[1:], line[0])
		}
	}
	w.version++
	w.store[i] = rec
}
