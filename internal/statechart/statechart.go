// Package statechart interprets state charts that are defined in files.
//
// A chart lists states, events and transitions. It is validated before use: every
// state must be reachable, and every transition must name declared states and
// events. Programs look up the next state in the chart, so their behaviour cannot
// differ from the file.
package statechart

import (
	"errors"
	"fmt"

	"hemlockquay/internal/settings"
)

// State and Event are names of states and events that a chart declares.
type (
	State string
	Event string
)

// ErrNoTransition reports that the chart has no transition for an event in a state.
var ErrNoTransition = errors.New("no such transition")

// Transition leads from state From to state To on Event.
type Transition struct {
	From  State `json:"from"`
	Event Event `json:"event"`
	To    State `json:"to"`
	// Why describes the situation that the transition is for.
	Why string `json:"why,omitempty"`
}

// Chart is a validated state chart. It is immutable and may be shared.
type Chart struct {
	Name        string       `json:"name"`
	Initial     State        `json:"initial"`
	States      []State      `json:"states"`
	Final       []State      `json:"final,omitempty"`
	Events      []Event      `json:"events"`
	Transitions []Transition `json:"transitions"`

	next map[transitionKey]State
}

type transitionKey struct {
	state State
	event Event
}

// Parse decodes and validates a chart. Errors give source as the name of the file.
func Parse(source string, text []byte) (*Chart, error) {
	var c Chart
	if err := settings.Decode(source, text, &c); err != nil {
		return nil, fmt.Errorf("parse chart: %w", err)
	}
	return &c, nil
}

// Check implements settings.Checker.
func (c *Chart) Check() error {
	states, err := uniqueNames("/states", c.States)
	if err != nil {
		return err
	}
	events, err := uniqueNames("/events", c.Events)
	if err != nil {
		return err
	}
	if !states[c.Initial] {
		return settings.Invalid("/initial", "%q is not a declared state", c.Initial)
	}
	if err := c.indexTransitions(states, events); err != nil {
		return err
	}
	return c.checkReachable()
}

func uniqueNames[T ~string](at string, names []T) (map[T]bool, error) {
	seen := make(map[T]bool, len(names))
	for i, n := range names {
		if n == "" || seen[n] {
			return nil, settings.Invalid(fmt.Sprintf("%s/%d", at, i), "name %q is empty or declared twice", n)
		}
		seen[n] = true
	}
	return seen, nil
}

func (c *Chart) indexTransitions(states map[State]bool, events map[Event]bool) error {
	c.next = make(map[transitionKey]State, len(c.Transitions))
	used := make(map[Event]bool, len(events))
	for i, t := range c.Transitions {
		at := fmt.Sprintf("/transitions/%d", i)
		switch {
		case !states[t.From]:
			return settings.Invalid(at+"/from", "%q is not a declared state", t.From)
		case !states[t.To]:
			return settings.Invalid(at+"/to", "%q is not a declared state", t.To)
		case !events[t.Event]:
			return settings.Invalid(at+"/event", "%q is not a declared event", t.Event)
		}
		s := transitionKey{t.From, t.Event}
		if _, duplicate := c.next[s]; duplicate {
			return settings.Invalid(at, "a second transition for event %q in state %q", t.Event, t.From)
		}
		c.next[s] = t.To
		used[t.Event] = true
	}
	for i, e := range c.Events {
		if !used[e] {
			return settings.Invalid(fmt.Sprintf("/events/%d", i), "event %q has no transition", e)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	reached := map[State]bool{c.Initial: true}
	for changed := true; changed; {
		changed = false
		for _, t := range c.Transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To], changed = true, true
			}
		}
	}
	for i, s := range c.States {
		if !reached[s] {
			return settings.Invalid(fmt.Sprintf("/states/%d", i), "state %q cannot be reached from the initial state", s)
		}
	}
	return nil
}

// Next returns the state that follows s on e. If the chart has no such transition, it
// returns s and an error that wraps ErrNoTransition.
func (c *Chart) Next(s State, e Event) (State, error) {
	to, ok := c.next[transitionKey{s, e}]
	if !ok {
		return s, fmt.Errorf("chart %s: event %q in state %q: %w", c.Name, e, s, ErrNoTransition)
	}
	return to, nil
}

// IsFinal reports whether the state is one of the chart's final states.
func (c *Chart) IsFinal(s State) bool {
	for _, f := range c.Final {
		if f == s {
			return true
		}
	}
	return false
}

// Machine is one instance of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
	watch func(Transition)
}

// Start returns a machine in the chart's initial state.
func (c *Chart) Start() *Machine { return &Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Fire takes the transition for e. If there is none, the state stays the same and the error
// wraps ErrNoTransition.
func (m *Machine) Fire(e Event) error {
	from := m.state
	to, err := m.chart.Next(from, e)
	m.state = to
	if err == nil && m.watch != nil {
		m.watch(Transition{From: from, Event: e, To: to})
	}
	return err
}

// Watch sets the function that Fire calls after each transition, in the goroutine of its
// caller and with Why left empty. The fault matrix tests inject faults there.
func (m *Machine) Watch(f func(Transition)) { m.watch = f }

// Done reports whether the machine is in a final state.
func (m *Machine) Done() bool { return m.chart.IsFinal(m.state) }

// Chart returns the machine's chart.
func (m *Machine) Chart() *Chart { return m.chart }
