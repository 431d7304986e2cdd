package capacity

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSlopeOfBenchmarkOutput(t *testing.T) {
	output := `goos: linux
BenchmarkOther-12   100   7 ns/op
BenchmarkView/n=10-12   50   120 ns/op   30.0 json-B
BenchmarkView/n=20-12   50   220 ns/op   50.0 json-B
BenchmarkView/n=40-12   50   420 ns/op   91.0 json-B
PASS`
	found, err := Parse(strings.NewReader(output))
	require.NoError(t, err)
	require.Len(t, found, 2)
	require.Equal(t, "json-B", found[0].Unit)
	line, err := found[1].Fit()
	require.NoError(t, err)
	require.InDelta(t, 20, line.Intercept, 1e-9)
	require.InDelta(t, 10, line.Slope, 1e-9)
	require.InDelta(t, 1, line.R2, 1e-9)
	line, err = found[0].Fit()
	require.NoError(t, err)
	require.Less(t, line.R2, 1.0)
}

func TestFitNeedsMoreThanTwoSizes(t *testing.T) {
	_, err := (&Series{Sizes: []float64{1, 2}, Values: []float64{3, 4}}).Fit()
	require.ErrorContains(t, err, "2 sizes")
}
