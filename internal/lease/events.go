package lease

import "time"

// EventKind says what changed in who holds a slice's keys.
type EventKind int

// The kinds of events.
const (
	// Released: the previous owner answered a release, or another target has its address.
	Released EventKind = iota
	// Expired: every grant that may have reached the previous owner is out.
	Expired
	// FirstGranted: the new owner answered its first grant.
	FirstGranted
)

// String names the kind in logs.
func (k EventKind) String() string {
	switch k {
	case Released:
		return "released"
	case Expired:
		return "hold ran out"
	case FirstGranted:
		return "granted"
	}
	return "unknown"
}

// Event is a step of a move of keys from one owner to another.
type Event struct {
	Kind     EventKind
	From, To uint16
	// Owner has or gets the keys, Previous had them; the latter is unknown for a grant.
	Owner, Previous Owner
	// Fence is the owner's.
	Fence uint64
	// Out is when the previous owner's hold was over, on the grantor's clock.
	Out time.Duration
}

// TakeEvents returns what happened since it was last asked, in order.
func (g *Grantor) TakeEvents() []Event {
	out := g.events
	g.events = nil
	return out
}

func (g *Grantor) addEvent(kind EventKind, i int, previous Owner) {
	s, sl := &g.states[i], &g.record.Slices[i]
	g.events = append(g.events, Event{
		Kind: kind, From: sl.From, To: sl.To, Owner: sl.Owner, Previous: previous, Fence: s.fence, Out: s.previousExpiresAt,
	})
}
