package faults

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/charts"
)

// A chart is added, and no fault is ever tried at its steps.
func TestEveryChartHasAPage(t *testing.T) {
	overview, err := os.ReadFile("../../docs/FAULTS.md")
	require.NoError(t, err)
	for _, name := range charts.Names() {
		require.FileExists(t, "../../docs/faults/"+name+".md")
		require.Contains(t, string(overview), "(faults/"+name+".md)")
	}
}
