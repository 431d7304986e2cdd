package faults

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/charts"
)

// Guards against a chart that is added without a test of the faults at its steps.
func TestEveryChartHasAPage(t *testing.T) {
	overview, err := os.ReadFile("../../docs/FAULTS.md")
	require.NoError(t, err)
	for _, name := range charts.Names() {
		require.FileExists(t, "../../docs/faults/"+name+".md")
		require.Contains(t, string(overview), "(faults/"+name+".md)")
	}
}
