package leasing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
)

// coldTargets is a directory in which some targets are cold.
type coldTargets struct {
	listedTargets
	cold map[string]bool
}

func (d coldTargets) Warming(target string) bool { return d.cold[target] }

// Guards against a cold owner whose keys get requests from all VMs, more than it bears.
func TestColdTargetsOwnNoKeysUnlessAllAreCold(t *testing.T) {
	n := testNode(newManualClock(time.Hour))
	c := &candidate{Manager: n.Manager, service: "s"}
	d := coldTargets{cold: map[string]bool{"b": true}}
	d.view = catalog.NewView(nil, catalog.Targets{Revision: 1, List: []catalog.Target{
		{ID: "a", Service: "s", Born: 1}, {ID: "b", Service: "s", Born: 1}, {ID: "c", Service: "s", Born: 1, DataCentre: "left"},
	}}, catalog.NewEvacuations(1, []string{"left"}))
	n.TargetDirectory = d
	owners := c.eligibleOwners()
	require.Len(t, owners, 1)
	require.Equal(t, "a", owners[0].ID)
	d.cold["a"] = true
	require.Len(t, c.eligibleOwners(), 2, "an evacuated target owns none even then")
}

// Guards against owners without keys, which leave a part of the capacity of a large service unused.
func TestEachOwnerGetsKeysAtFirst(t *testing.T) {
	for owners, slices := range map[int]int{1: 16, 10: 160, 100: 512, 512: 512, 1126: 1126} {
		require.Equal(t, slices, initialSlices(owners))
	}
}
