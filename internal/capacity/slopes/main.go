// Command slopes reads the output of go test -bench and prints a table with the
// least-squares line of each series; see package capacity and scripts/slopes.sh.
package main

import (
	"fmt"
	"os"
	"strings"

	"hemlockquay/internal/capacity"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run() error {
	found, err := capacity.Parse(os.Stdin)
	if err != nil {
		return err
	}
	fmt.Println("| benchmark | unit | values by size | at 0 | slope | r2 |\n|---|---|---|---|---|---|")
	for _, s := range found {
		line, err := s.Fit()
		if err != nil {
			return err
		}
		fmt.Printf("| %s | %s | %s | %.4g | %.4g | %.3f |\n", s.Benchmark, s.Unit, formatPoints(s), line.Intercept, line.Slope, line.R2)
	}
	return nil
}

func formatPoints(s *capacity.Series) string {
	var out []string
	for i := range s.Sizes {
		out = append(out, fmt.Sprintf("%.0f: %.4g", s.Sizes[i], s.Values[i]))
	}
	return strings.Join(out, ", ")
}
