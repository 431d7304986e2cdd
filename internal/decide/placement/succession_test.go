package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
)

// Nine VMs start at once; the first assigner knows only itself. It plans lines of
// one grantor. That VM is lost a second later, and its keys have no owner until
// an operator helps. Cause: the first plan did not wait for VMs already listed.
func TestFirstPlanWaitsForListedVMs(t *testing.T) {
	w := newSimulation(10, 3, 9, 64, model.Weights{Imbalance: 1, Churn: 1, Unavailable: 1})
	all := w.in.VMs
	w.in.Assignment, w.in.Listed = nil, len(all)
	p := New()
	w.in.Now, w.in.VMs = time.Hour, all[:1]
	require.Empty(t, p.First(&w.in).Decisions)
	w.in.Now, w.in.VMs = time.Hour+time.Second, all
	r := p.First(&w.in)
	require.Len(t, r.Decisions, 1)
	for _, g := range r.Assignment.Groups {
		require.Len(t, g.Grantors, successionLength)
	}

	p, w.in.VMs = New(), all[:2]
	require.Empty(t, p.First(&w.in).Decisions)
	w.in.Now += firstPlanTimeout
	require.Len(t, p.First(&w.in).Decisions, 1, "a listed VM that is lost must not keep the service out")
}

// Lines were planned while one VM was up. The others come one by one, and then
// the first is gone for good. Its groups must have been given more grantors by
// then, and three again after it. No key may move for it, and the lines may change a
// few times at most, or the store pays for a fleet that starts.
func TestShortLinesAreFilled(t *testing.T) {
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
		// Each VM that comes makes the lines longer, or better by one rule.
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

// Three data centres, as in Khomas. The one that holds a group's grantor is lost
// while the store is down. Callers waited until the outage was over: all three in
// the line were there, or the grantor was with the standby. Cause: lines were not
// spread, and did not follow the pair.
func TestLossOfDataCentreLeavesLine(t *testing.T) {
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
	require.Equal(t, before, w.kinds[Succession], "and stays as it is")
}
