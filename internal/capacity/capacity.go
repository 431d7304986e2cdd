// Package capacity computes slopes from benchmarks at several sizes: the cost of one more
// slice, contract, peer or waiting request. docs/CAPACITY.md extrapolates them to the
// size that the design must support.
//
// A benchmark is included if its sub-benchmarks are named "n=SIZE". Each unit
// that it reports is one series.
package capacity

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// MinSizes is the minimum number of sizes for a line: two points always lie on one,
// so that the fit would show nothing.
const MinSizes = 3

// Series is the values of one unit of a benchmark at its sizes.
type Series struct {
	Benchmark string
	Unit      string
	Sizes     []float64
	Values    []float64
}

// Line is the least-squares line through a series.
type Line struct {
	Intercept float64
	Slope     float64
	// R2 is the coefficient of determination, at most 1; NaN if all values are equal.
	R2 float64
}

// Fit returns the least-squares line of the series, which needs at least MinSizes sizes.
func (s *Series) Fit() (Line, error) {
	if len(s.Sizes) < MinSizes {
		return Line{}, fmt.Errorf("fit %s %s: %d sizes, %d needed", s.Benchmark, s.Unit, len(s.Sizes), MinSizes)
	}
	intercept, slope := stat.LinearRegression(s.Sizes, s.Values, nil, false)
	return Line{intercept, slope, stat.RSquared(s.Sizes, s.Values, nil, intercept, slope)}, nil
}

// resultLine matches the result line of a sub-benchmark named "n=SIZE".
var resultLine = regexp.MustCompile(`^Benchmark(\S+?)/n=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

type seriesID struct{ benchmark, unit string }

// Parse reads the output of go test -bench and returns the series sorted by benchmark and unit.
func Parse(r io.Reader) ([]*Series, error) {
	found := make(map[seriesID]*Series)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		m := resultLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return nil, fmt.Errorf("size in %q: %w", lines.Text(), err)
		}
		if err := addResults(found, m[1], size, strings.Fields(m[3])); err != nil {
			return nil, err
		}
	}
	out := slices.Collect(maps.Values(found))
	slices.SortFunc(out, func(a, b *Series) int {
		return cmp.Or(cmp.Compare(a.Benchmark, b.Benchmark), cmp.Compare(a.Unit, b.Unit))
	})
	return out, lines.Err()
}

// addResults adds the results of a benchmark at a size; fields alternates values and units.
func addResults(found map[seriesID]*Series, benchmark string, size float64, fields []string) error {
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("result of %s: %w", benchmark, err)
		}
		id := seriesID{benchmark, fields[i+1]}
		s := found[id]
		if s == nil {
			s = &Series{Benchmark: benchmark, Unit: fields[i+1]}
			found[id] = s
		}
		s.Sizes = append(s.Sizes, size)
		s.Values = append(s.Values, value)
	}
	return nil
}

// Retained returns the bytes of heap that the result of build keeps in use.
// Nothing else may allocate meanwhile.
func Retained(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	// Runs twice, since the first collection may leave memory that only a finalizer referred to.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
