// Package faults defines the rows of the fault matrix, derives its columns from the
// state charts, and renders it.
//
// Each package that interprets a chart has a test which injects every fault at every
// step of the chart, checks the guarantees, and records what callers received. The
// result is compared with docs/faults/CHART.md. A step that is added to a chart, or a
// fault that is added here, has no entry, so that the test fails.
package faults

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"hemlockquay/internal/statechart"
)

// Fault is a row of the matrix.
type Fault string

// The faults. None is a run without a fault, which shows that the test reaches the step.
const (
	None             Fault = "none"
	Partition        Fault = "partition"
	Pause            Fault = "pause of the process"
	EntryLost        Fault = "entry lost"
	DispatchLost     Fault = "dispatcher lost"
	AgentLost        Fault = "agent lost"
	TargetFrozen     Fault = "target frozen and back"
	TargetLost       Fault = "target lost"
	StoreDown        Fault = "store down"
	StoreSlow        Fault = "store slow"
	StoreAnswerLost  Fault = "store's answer lost after the write"
	LeaseLapsed      Fault = "lease lapsed, its holder paused"
	OperatorsRace    Fault = "operators racing"
	CrashingRequest  Fault = "request that crashes each target"
	VMLeaves         Fault = "VM leaves"
	TargetLeaves     Fault = "target leaves"
	DataCentreLost   Fault = "data centre lost"
	TargetLostTwice  Fault = "target lost, twice"
	PartitionTwice   Fault = "partition, twice"
	TargetAndStore   Fault = "target lost while the store is down"
	AgentAndTarget   Fault = "agent and target lost at once"
	PauseInPartition Fault = "pause during a partition"
)

// All returns the rows of the matrix in order.
func All() []Fault {
	return []Fault{
		None, Partition, Pause, EntryLost, DispatchLost, AgentLost, TargetFrozen, TargetLost,
		StoreDown, StoreSlow, StoreAnswerLost, LeaseLapsed, OperatorsRace, CrashingRequest,
		VMLeaves, TargetLeaves, DataCentreLost,
		TargetLostTwice, PartitionTwice, TargetAndStore, AgentAndTarget, PauseInPartition,
	}
}

// Steps returns the columns of a chart's matrix: its initial state, as a transition without an
// event, and its transitions without their causes.
func Steps(c *statechart.Chart) []statechart.Transition {
	steps := []statechart.Transition{{To: c.Initial}}
	for _, t := range c.Transitions {
		steps = append(steps, statechart.Transition{From: t.From, Event: t.Event, To: t.To})
	}
	return steps
}

// Matrix is the fault matrix of one chart. It is not safe for concurrent use.
type Matrix struct {
	chart *statechart.Chart
	about string
	cells map[Fault]map[statechart.Transition]string
	// reasons lists why cells are impossible, in the order of the letters that refer to them.
	reasons []string
}

// New returns an empty matrix; about is the text above the table.
func New(c *statechart.Chart, about string) *Matrix {
	return &Matrix{chart: c, about: about, cells: make(map[Fault]map[statechart.Transition]string)}
}

// Set records what callers received when the fault occurred at the step.
func (m *Matrix) Set(f Fault, s statechart.Transition, received string) {
	if m.cells[f] == nil {
		m.cells[f] = make(map[statechart.Transition]string)
	}
	m.cells[f][s] = received
}

// Impossible records why the fault cannot occur at the step.
func (m *Matrix) Impossible(f Fault, s statechart.Transition, reason string) {
	i := slices.Index(m.reasons, reason)
	if i < 0 {
		i = len(m.reasons)
		m.reasons = append(m.reasons, reason)
	}
	m.Set(f, s, "("+string(rune('a'+i))+")")
}

// Missing returns the names of the cells without an entry.
func (m *Matrix) Missing() []string {
	var out []string
	for _, f := range All() {
		for _, s := range Steps(m.chart) {
			if m.cells[f][s] == "" {
				out = append(out, fmt.Sprintf("%s at %s", f, StepName(s)))
			}
		}
	}
	return out
}

// StepName returns the name of a step.
func StepName(s statechart.Transition) string {
	if s.Event == "" {
		return "beginning, " + string(s.To)
	}
	return fmt.Sprintf("%s, %s: %s", s.From, s.Event, s.To)
}

// Markdown renders the matrix.
func (m *Matrix) Markdown() string {
	var b strings.Builder
	steps := Steps(m.chart)
	fmt.Fprintf(&b, "# Faults at the steps of charts/%s.jsonc\n\nWritten by the test of the package that interprets the chart; see [FAULTS.md](../FAULTS.md).\n\n%s\n\nSteps:\n\n", m.chart.Name, m.about)
	for i, s := range steps {
		fmt.Fprintf(&b, "- %d: %s\n", i, StepName(s))
	}
	b.WriteString("\n| fault |")
	for i := range steps {
		fmt.Fprintf(&b, " %d |", i)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(steps)) + "\n")
	for _, f := range All() {
		fmt.Fprintf(&b, "| %s |", f)
		for _, s := range steps {
			fmt.Fprintf(&b, " %s |", m.cells[f][s])
		}
		b.WriteString("\n")
	}
	if len(m.reasons) > 0 {
		b.WriteString("\nImpossible cells:\n\n")
	}
	for i, r := range m.reasons {
		fmt.Fprintf(&b, "- (%c) %s\n", 'a'+i, r)
	}
	return b.String()
}

// UpdateVariable is the environment variable that, set to 1, makes Compare write
// the page instead of comparing it.
const UpdateVariable = "HQ_UPDATE"

// ErrStale is returned for a page that differs from the results of the test.
var ErrStale = errors.New("the page differs from the results of the test; " + UpdateVariable + "=1 rewrites it")

// Compare compares the matrix with docs/faults/CHART.md under the root of the
// repository. It returns an error if a cell has no entry.
func (m *Matrix) Compare(root string) error {
	if missing := m.Missing(); len(missing) > 0 {
		return fmt.Errorf("%d cells without an entry, first %s", len(missing), missing[0])
	}
	page := filepath.Join(root, "docs", "faults", m.chart.Name+".md")
	text := m.Markdown()
	if os.Getenv(UpdateVariable) == "1" {
		return os.WriteFile(page, []byte(text), 0o644)
	}
	committed, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("compare the fault matrix: %w", err)
	}
	if string(committed) != text {
		return fmt.Errorf("%s: %w", page, ErrStale)
	}
	return nil
}
