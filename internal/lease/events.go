package lease

import "time"

// EventKind is the kind of an event.
type EventKind int

// The kinds of events.
const (
	// Released: the previous owner acknowledged a release, or another target has its address.
	Released EventKind = iota
	// Expired: every grant that may have reached the previous owner has expired.
	Expired
	// FirstGranted: the new owner acknowledged its first grant.
	FirstGranted
)

// String returns the name of the kind in logs.
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

// Event is a step in moving a slice from one owner to another.
type Event struct {
	Kind     EventKind
	From, To uint16
	// Owner is the new owner of the keys, Previous the one before. Previous is not set for FirstGranted.
	Owner, Previous Owner
	// Fence is the fence of the new owner.
	Fence uint64
	// PreviousHoldEnd is when the hold of the previous owner ended, on the grantor's clock.
	PreviousHoldEnd time.Duration
}

// TakeEvents returns the events since the last call, in order.
func (g *Grantor) TakeEvents() []Event {
	out := g.events
	g.events = nil
	return out
}

func (g *Grantor) addEvent(kind EventKind, i int, previous Owner) {
	s, sl := &g.states[i], &g.record.Slices[i]
	g.events = append(g.events, Event{
		Kind: kind, From: sl.From, To: sl.To, Owner: sl.Owner, Previous: previous, Fence: s.fence, PreviousHoldEnd: s.previousExpiresAt,
	})
}
