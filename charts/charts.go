// Package charts embeds the state charts that the programs interpret.
package charts

import (
	"embed"
	"fmt"

	"hemlockquay/internal/statechart"
)

//go:embed *.jsonc
var files embed.FS

// Load returns the chart in NAME.jsonc, checked.
func Load(name string) (*statechart.Chart, error) {
	file := name + ".jsonc"
	text, err := files.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("load chart: %w", err)
	}
	return statechart.Parse("charts/"+file, text)
}

// MustLoad is Load for charts that the program cannot start without.
func MustLoad(name string) *statechart.Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names lists the embedded charts.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name()[:len(e.Name())-len(".jsonc")])
	}
	return names
}
