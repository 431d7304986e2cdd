package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestTargetsAreUsedEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 400).Draw(t, "vms")
		targets := rapid.IntRange(1, 700).Draw(t, "targets")
		users := make([]int, targets)
		for i := range vms {
			for _, at := range (Place{Index: i, VMs: vms}).Window(targets) {
				users[at]++
			}
		}
		least, most := slices.Min(users), slices.Max(users)
		require.GreaterOrEqual(t, least, min(vms, minSharers)-1)
		require.LessOrEqual(t, most-least, 1+vms/targets)
		require.LessOrEqual(t, most, Sharers(targets, vms)+1+vms/targets)
	})
}

// Guards against VMs that leave targets of a small pool unused.
func TestSmallPoolIsUsedCompletely(t *testing.T) {
	for _, vms := range []int{1, 3, 8, 9} {
		require.Len(t, Place{Index: vms - 1, VMs: vms}.Window(8), 8)
		require.Len(t, Place{Index: 0, VMs: vms}.Window(3), 3)
	}
}

// Guards against a subset whose size grows with the deployment.
func TestSubsetSizeIsBounded(t *testing.T) {
	for _, n := range []int{10, 100, 300, 3000} {
		require.LessOrEqual(t, Size(n, n), minSharers, "%d VMs", n)
		require.LessOrEqual(t, Sharers(n, n), minSharers, "%d VMs", n)
	}
}

func TestSharesReportsVMsWithCommonTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 200).Draw(t, "vms")
		targets := rapid.IntRange(1, 400).Draw(t, "targets")
		self := Place{Index: rapid.IntRange(0, vms-1).Draw(t, "self"), VMs: vms}
		other := Place{Index: rapid.IntRange(0, vms-1).Draw(t, "other"), VMs: vms}
		common := 0
		for _, at := range other.Window(targets) {
			if slices.Contains(self.Window(targets), at) {
				common++
			}
		}
		if common > 1 {
			require.True(t, self.Shares(other.Index, targets), "%d common targets", common)
		}
	})
}

// Guards against windows that change completely when one VM joins or leaves.
func TestLossOfVMKeepsMostOfEachWindow(t *testing.T) {
	const vms, targets = 33, 34
	for lost := range vms {
		for i := range vms {
			if i == lost {
				continue
			}
			after := i
			if i > lost {
				after--
			}
			before, now := Place{i, vms}.Window(targets), Place{after, vms - 1}.Window(targets)
			kept := 0
			for _, at := range now {
				if slices.Contains(before, at) {
					kept++
				}
			}
			require.GreaterOrEqual(t, kept, minSharers-2, fmt.Sprintf("VM %d, lost %d", i, lost))
		}
	}
}
