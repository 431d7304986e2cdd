package lease

import (
	"time"
)

// OrderKind is what an order asks of a target.
type OrderKind int

// The kinds of orders.
const (
	// Grant gives a range of keys to the target, or renews it.
	Grant OrderKind = iota
	// Release takes a range of keys away from the target.
	Release
)

// String returns the name of the kind in logs.
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
	// Handover is the state that the previous owner returned on release, if any.
	Handover string
}

// Result is the outcome of an order.
type Result int

// The results.
const (
	// Done: the target carried out the order.
	Done Result = iota
	// Fenced: the target has seen a higher fence for one of the keys.
	Fenced
	// Unreached: the order certainly did not arrive.
	Unreached
	// Unanswered: the order may have arrived at any time until its connection was reset. Closing the
	// connection would not be enough: the operating system keeps sending what was written to it.
	Unanswered
	// Misdirected: another target has the address.
	Misdirected
)

// String returns the name of the result in logs and metrics.
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
