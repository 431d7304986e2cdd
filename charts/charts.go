// Package charts embeds the definitions of the state charts that the programs interpret.
package charts

import (
	"embed"
	"fmt"

	"hemlockquay/internal/statechart"
)

//go:embed *.jsonc
var files embed.FS

// Load returns the validated chart in NAME.jsonc.
func Load(name string) (*statechart.Chart, error) {
	file := name + ".jsonc"
	text, err := files.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("load chart: %w", err)
	}
	return statechart.Parse("charts/"+file, text)
}

// MustLoad is like Load but panics on errors. It is for charts that the program cannot run without.
func MustLoad(name string) *statechart.Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of all embedded charts.
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
