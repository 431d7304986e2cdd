package lease

import (
	"time"
)

// OrderKind says what an order asks of a target.
type OrderKind int

// The orders.
const (
	// Grant gives or renews a range of keys.
	Grant OrderKind = iota
	// Release takes a range of keys back.
	Release
)

// String names the kind in logs.
func (k OrderKind) String() string {
	if k == Release {
		return "release"
	}
	return "grant"
}

// Order is one call to a target.
type Order struct {
	Kind     OrderKind
	Target   Owner
	From, To uint16
	Fence    uint64
	Hold     time.Duration
	// Handover is the state of the last holder, if it gave one.
	Handover string
}

// Result is how an order ended.
type Result int

// The results.
const (
	// Done: the target has done it.
	Done Result = iota
	// Fenced: the target has seen a higher fence on one of the keys.
	Fenced
	// Unreached: the order surely did not arrive.
	Unreached
	// Unanswered: the order may have arrived, until its connection was reset. A closed
	// one would not do: the system goes on sending what was written to it.
	Unanswered
	// Misdirected: another target has the address.
	Misdirected
)

// String names the result in logs and metrics.
func (r Result) String() string {
	switch r {
	case Done:
		return "done"
	case Fenced:
		return "fenced"
	case Unreached:
		return "unreached"
	case Unanswered:
		return "unanswered"
	case Misdirected:
		return "misdirected"
	}
	return "unknown"
}
