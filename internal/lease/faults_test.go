package lease

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultObservation is how long the simulation runs after a fault.
const faultObservation = 30 * time.Second

// scenario is a simulation without random choices, in which leaders are replaced and keys reassigned as
// the gateway does.
type scenario struct {
	*simulation
	// stopped VMs do nothing until they start again.
	stopped [simVMs]bool
	// leaderlessSince is when the last grantor stopped working, 0 while one works.
	leaderlessSince time.Duration
	// storeDownUntil is when the store can be reached again.
	storeDownUntil time.Duration
	// lostAt is when each target stopped.
	lostAt [simTargets]time.Duration
}

// deterministicDraw replaces random choices by fixed ones: orders arrive after one step and are answered,
// and the list of targets is updated at once.
func deterministicDraw(_, high int, label string) int {
	switch label {
	case "delivery of an order":
		return 5
	case "listing updated":
		return 0
	}
	return min(1, high)
}

// newScenario returns a scenario in which VM 0 has granted all keys.
func newScenario(t *testing.T) *scenario {
	sc := &scenario{simulation: newSimulation(deterministicDraw, func(text string) { require.Fail(t, text) })}
	sc.noLostAnswers = true
	sc.takeOver(0)
	sc.run(2 * time.Second)
	return sc
}

// leader returns the VM that sends orders, or -1.
func (sc *scenario) leader() int {
	best := -1
	for vm := range sc.vms {
		v := &sc.vms[vm]
		if v.grantor == nil || sc.stopped[vm] || sc.now < v.suspendedUntil {
			continue
		}
		if best < 0 || v.grantor.Record().Epoch > sc.vms[best].grantor.Record().Epoch {
			best = vm
		}
	}
	return best
}

// failOver lets another VM take over when the grantor has been gone, or without the store, for 0.9 s.
func (sc *scenario) failOver() {
	leader := sc.leader()
	if leader >= 0 && (sc.reachesStore(leader) || sc.now < sc.storeDownUntil) {
		sc.leaderlessSince = 0
		return
	}
	if sc.leaderlessSince == 0 {
		sc.leaderlessSince = sc.now
	}
	if sc.now-sc.leaderlessSince < 900*time.Millisecond {
		return
	}
	for vm := range sc.vms {
		if !sc.stopped[vm] && sc.now >= sc.vms[vm].suspendedUntil && sc.reachesStore(vm) {
			sc.takeOver(vm)
			sc.leaderlessSince = 0
			return
		}
	}
}

// reassign moves the next slice whose owner has stopped, restarted or does not answer.
func (sc *scenario) reassign() {
	leader := sc.leader()
	if leader < 0 || !sc.reachesStore(leader) || sc.vms[leader].writePending {
		return
	}
	g := sc.vms[leader].grantor
	if sc.now-g.ConfirmedAt() > Authority/3 {
		sc.readEpoch(leader)
	}
	if sc.vms[leader].grantor == nil {
		return
	}
	for i, s := range g.Record().Slices {
		o := indexOf(s.Owner)
		gone := !sc.targets[o].up && sc.now-sc.lostAt[o] > 2*time.Second
		if gone || s.Owner.Born < sc.listedBorn[o] || g.SilentFor(s.Owner, sc.now) > 1200*time.Millisecond {
			sc.moveSlice(leader, i, (o+1)%simTargets)
			return
		}
	}
}

// run advances the simulation and returns for how long the first keys had no owner.
func (sc *scenario) run(span time.Duration) (unowned time.Duration) {
	for end := sc.now + span; sc.now < end; {
		for vm := range sc.vms {
			if sc.stopped[vm] {
				sc.vms[vm].grantor = nil
			}
		}
		sc.failOver()
		sc.reassign()
		sc.step()
		owned := false
		for _, t := range sc.targets {
			owned = owned || t.up && sc.now < t.holdsUntil[0]
		}
		if !owned {
			unowned += simStep
		}
	}
	return unowned
}

// stopTarget ends a target for good.
func (sc *scenario) stopTarget(i int) {
	sc.targets[i].up = false
	sc.targets[i].holdsUntil = [simUnits]time.Duration{}
	sc.lostAt[i] = sc.now
}

// faultSteps are the steps of a lease at which faults are injected.
var faultSteps = []struct {
	name    string
	prepare func(sc *scenario)
}{
	{"granted", func(*scenario) {}},
	{"move being written to the store", func(sc *scenario) { sc.moveSlice(0, 0, 1) }},
	{"release in flight", func(sc *scenario) {
		sc.moveSlice(0, 0, 1)
		for range 3 {
			sc.step()
		}
	}},
	{"epoch of a successor written", func(sc *scenario) {
		sc.stopped[0] = true
		sc.vms[0].grantor = nil
		sc.takeOver(1)
	}},
}

// faultCases are the faults that are injected at each step.
var faultCases = []struct {
	name   string
	inject func(sc *scenario)
}{
	{"none", func(*scenario) {}},
	{"owner ends", func(sc *scenario) { sc.stopTarget(0) }},
	{"owner starts again under its id", func(sc *scenario) { sc.restartTarget(0) }},
	{"owner out of the grantor's reach for 5 s", func(sc *scenario) { sc.vms[sc.leader()].targetCutUntil[0] = sc.now + 5*time.Second }},
	{"grantor ends", func(sc *scenario) { sc.stopped[sc.leader()] = true }},
	{"grantor paused for 6 s", func(sc *scenario) { sc.vms[sc.leader()].suspendedUntil = sc.now + 6*time.Second }},
	{"grantor without the store for 9 s", func(sc *scenario) { sc.vms[sc.leader()].storeCutUntil = sc.now + 9*time.Second }},
	{"store unreachable for 9 s", func(sc *scenario) {
		sc.storeDownUntil = sc.now + 9*time.Second
		for vm := range sc.vms {
			sc.vms[vm].storeCutUntil = sc.storeDownUntil
		}
	}},
	{"grantor and owner end", func(sc *scenario) {
		sc.stopped[sc.leader()] = true
		sc.stopTarget(0)
	}},
}

const faultPageHeader = `# Faults at the steps of a lease

Written by TestFaultsAtStepsOfALease of internal/lease; see [FAULTS.md](../FAULTS.md).

Three VMs, three targets and the store are simulated in steps of 50 ms with a hold of 3 s. A
grantor that has stopped is replaced after 0.9 s; an owner that does not answer for 1.2 s loses
its keys. Each cell shows for how many of the 30 s after the fault the first keys had no owner;
in that time their requests wait or are refused as not run.

Checked after every step: no key has two owners. Checked at the end: every key has one.

`

// Injects every fault at every step of a lease. No key may ever have two owners, every key must have one in
// the end, and the generated page shows for how long the first keys had none.
func TestFaultsAtStepsOfALease(t *testing.T) {
	var page strings.Builder
	page.WriteString(faultPageHeader + "| fault |")
	for _, s := range faultSteps {
		page.WriteString(" " + s.name + " |")
	}
	page.WriteString("\n|---|" + strings.Repeat("---|", len(faultSteps)) + "\n")
	for _, f := range faultCases {
		page.WriteString("| " + f.name + " |")
		for _, s := range faultSteps {
			sc := newScenario(t)
			s.prepare(sc)
			f.inject(sc)
			fmt.Fprintf(&page, " %.2f |", sc.run(faultObservation).Seconds())
			for unit := range simUnits {
				owned := false
				for _, target := range sc.targets {
					owned = owned || target.up && sc.now < target.holdsUntil[unit]
				}
				require.True(t, owned, "%s at %s: unit %d has no owner at the end", f.name, s.name, unit)
			}
		}
		page.WriteString("\n")
	}
	file := filepath.Join("..", "..", "docs", "faults", "lease.md")
	if os.Getenv("HQ_UPDATE") == "1" {
		require.NoError(t, os.WriteFile(file, []byte(page.String()), 0o600))
	}
	shown, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, page.String(), string(shown), "the page is out of date; set HQ_UPDATE=1 to regenerate it")
}
