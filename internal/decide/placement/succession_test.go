package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
)

// Guards against lines of one grantor. When nine VMs start at once and the first plan
// does not wait for the listed VMs, the first assigner plans with itself alone. If that
// VM is lost a second later, its keys have no owner until an operator intervenes.
func TestFirstPlanWaitsForListedVMs(t *testing.T) {
	w := newSimulation(10, 3, 9, 64, model.Weights{Imbalance: 1, Churn: 1, Unavailable: 1})
	all := w.in.VMs
	w.in.Assignment, w.in.Listed = nil, len(all)
	p := New()
	w.in.Now, w.in.VMs = time.Hour, all[:1]
	require.Empty(t, p.PlanFirst(&w.in).Decisions)
	w.in.Now, w.in.VMs = time.Hour+time.Second, all
	r := p.PlanFirst(&w.in)
	require.Len(t, r.Decisions, 1)
	for _, g := range r.Assignment.Groups {
		require.Len(t, g.Grantors, successionLength)
	}

	p, w.in.VMs = New(), all[:2]
	require.Empty(t, p.PlanFirst(&w.in).Decisions)
	w.in.Now += firstPlanTimeout
	require.Len(t, p.PlanFirst(&w.in).Decisions, 1, "a listed VM that is lost must not block the first plan")
}

// Lines of succession that were planned with one VM are filled up as other VMs join,
// and again after the first VM is lost for good. No key may move because of it, and each
// line may change only a few times, so that the start of a fleet does not load the store
// with writes.
func TestShortSuccessionIsFilled(t *testing.T) {
	w := newSimulation(10, 3, 9, 64, model.Weights{Imbalance: 1, Churn: 1, Unavailable: 1})
	all := w.in.VMs
	w.in.VMs = all[:1]
	short := Initial(&w.in)
	w.in.Assignment = &short
	w.applyGrants()
	before, epoch := w.owned(), w.in.Assignment.Groups[0].Epoch
	w.moves = 0
	for n := 2; n <= len(all); n++ {
		w.in.VMs = all[:n]
		w.run(w.step)
	}
	for _, g := range w.in.Assignment.Groups {
		require.Len(t, g.Grantors, successionLength)
		// Each VM that joins makes a line longer, or fulfils one more rule.
		require.LessOrEqual(t, g.Epoch, epoch+successionLength+1)
	}

	w.in.VMs = slices.Clone(all[1:])
	w.run(grantorAbsenceLimit + 2*w.step)
	for _, g := range w.in.Assignment.Groups {
		require.Len(t, g.Grantors, successionLength)
		require.NotContains(t, g.Grantors, all[0].Name)
	}
	require.Zero(t, w.moves)
	require.Equal(t, before, w.owned())
}

// Guards against a group without a grantor after the loss of one of three data centres
// during a store outage. Callers wait until the outage ends if the whole line of
// succession is in the lost data centre, or if the grantor is there together with the
// standby. The line must span data centres and follow changes of the pair.
func TestDataCentreLossLeavesGrantor(t *testing.T) {
	w := newSimulation(12, 3, 9, 64, model.Weights{Imbalance: 1, Churn: 1, Unavailable: 1})
	dc := func(target string) string {
		i := slices.IndexFunc(w.in.Service.Targets, func(t model.Target) bool { return t.Name == target })
		return w.in.Service.Targets[i].DataCentre
	}
	check := func() {
		for _, g := range w.in.Assignment.Groups {
			require.Len(t, g.Grantors, successionLength)
			require.NotContains(t, []string{dc(g.Owner.Name), dc(g.Standby.Name)}, w.vmDC(g.Grantors[0]), "group %d", g.ID)
			require.NotEqual(t, w.vmDC(g.Grantors[0]), w.vmDC(g.Grantors[1]), "group %d", g.ID)
		}
	}
	check()
	w.in.Lost["t00"], w.in.Lost["t04"] = true, true
	w.applyGrants()
	w.run(30 * time.Second)
	check()
	before := w.kinds[Succession]
	w.run(time.Minute)
	require.Equal(t, before, w.kinds[Succession], "a line that satisfies the rules stays unchanged")
}
