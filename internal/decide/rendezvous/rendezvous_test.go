package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{VM: fmt.Sprintf("vm%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
	}
	return out
}

// When a VM is lost, only the queues that it held move.
func TestLossMovesOnlyQueuesOfLostVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(2, 12).Draw(t, "vms"))
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		queue := rapid.String().Draw(t, "queue")
		before := all[Rank(all, queue, "")[0]]
		rest := slices.Delete(slices.Clone(all), lost, lost+1)
		after := rest[Rank(rest, queue, "")[0]]
		if before != all[lost] {
			require.Equal(t, before, after)
		}
	})
}

func TestSameDataCentreFirst(t *testing.T) {
	all := candidates(9)
	for i := range 50 {
		order := Rank(all, fmt.Sprint("q", i), "dc1")
		for _, j := range order[:3] {
			require.Equal(t, "dc1", all[j].DataCentre)
		}
	}
}

func TestQueuesSpread(t *testing.T) {
	all, held := candidates(9), make(map[string]int)
	for i := range 900 {
		held[all[Rank(all, fmt.Sprint("q", i), "")[0]].VM]++
	}
	for vm, n := range held {
		require.InDelta(t, 100, n, 40, vm)
	}
}

func TestBeforeMatchesRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SliceOfNDistinct(rapid.String(), 2, 20, rapid.ID).Draw(t, "vms")
		queue := rapid.String().Draw(t, "queue")
		candidates := make([]Candidate, len(vms))
		for i, vm := range vms {
			candidates[i].VM = vm
		}
		order := Rank(candidates, queue, "")
		for i := range len(order) - 1 {
			require.True(t, Before(vms[order[i]], vms[order[i+1]], queue))
			require.False(t, Before(vms[order[i+1]], vms[order[i]], queue))
		}
	})
}
