package sources

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a fetch that asks the same VM again while others were tried less often.
func TestLeastTriedSourceComesNext(t *testing.T) {
	s := New("a")
	first := func(int) int { return 0 }
	require.Equal(t, "a", s.Next(first))
	require.Equal(t, "a", s.Next(first), "the only source")
	s.Add("b", "a", "c")
	require.Equal(t, "b", s.Next(first))
	require.Equal(t, "c", s.Next(first))
	require.Equal(t, "b", s.Next(first))
	require.Equal(t, "c", s.Next(first))
	require.Equal(t, "a", s.Next(first))
}

// Guards against VMs that all wait for the few that had a version first: with seven transfers per
// VM and round, all 89 VMs must have the version after five rounds.
func TestSourcesMultiplyWithEachRound(t *testing.T) {
	const vms, transfersPerRound = 89, 7
	randIntN := rand.New(rand.NewPCG(1, 2)).IntN
	fetching := make([]*Sources, vms)
	for i := range fetching {
		fetching[i] = New("0")
	}
	served := map[string][]string{"0": nil}
	rounds := 0
	for ; len(served) < vms; rounds++ {
		left := make(map[string]int)
		for vm := range served {
			left[vm] = transfersPerRound
		}
		for i, s := range fetching {
			name := string(rune('0' + i))
			if _, has := served[name]; has {
				continue
			}
			source := s.Next(randIntN)
			if left[source] == 0 {
				s.Add(served[source]...)
				continue
			}
			left[source]--
			served[source] = append(served[source], name)
			served[name] = nil
		}
	}
	require.LessOrEqual(t, rounds, 5)
}
