package lease

import (
	"math"
	"time"
)

// longestArrival is how long after a write of the record a grant of any earlier epoch may arrive, whatever is known: its grantor
// sends until its authority ends, which the store confirmed before that write, and the grant may be in transit then.
const longestArrival = Authority + maxGrantTransit

// Arrival bounds for how long grants may still arrive at targets. The zero value is that of an unknown bound, which is the longest.
//
// VMs have no common clock, so an Arrival counts from an event: the write of the record that states it. A successor counts it from
// the end of its own write, which comes later. It waits longer than needed, never shorter.
type Arrival struct {
	stated bool
	within time.Duration
}

// NoArrival is the bound if no grant may arrive any more.
var NoArrival = ArrivalWithin(0)

// ArrivalWithin returns the bound for grants that arrive no later than a time from now. A negative time is not a bound.
func ArrivalWithin(d time.Duration) Arrival { return Arrival{stated: d >= 0, within: max(d, 0)} }

// Within returns the bound as a duration.
func (a Arrival) Within() time.Duration {
	if !a.stated {
		return longestArrival
	}
	return a.within
}

// or returns the later of two bounds.
func (a Arrival) or(b Arrival) Arrival { return ArrivalWithin(max(a.Within(), b.Within())) }

// milliseconds returns the form in which records state the bound, rounded up, or nil if it is not known.
func (a Arrival) milliseconds() *int64 {
	if !a.stated {
		return nil
	}
	ms := int64((a.within + time.Millisecond - 1) / time.Millisecond)
	return &ms
}

// arrivalOf returns the bound that a record states. A record of a program that does not state it, or one that cannot be right, leaves
// it unknown.
func arrivalOf(ms *int64) Arrival {
	if ms == nil || *ms < 0 || *ms > math.MaxInt64/int64(time.Millisecond) {
		return Arrival{}
	}
	return ArrivalWithin(time.Duration(*ms) * time.Millisecond)
}

// AllGrantsExpiredAt returns when the grants of all epochs that the store does not confirm any more have expired, whatever targets they
// were sent to. hold is the longest hold of a grant.
func AllGrantsExpiredAt(unconfirmedSince, hold time.Duration) time.Duration {
	return holdExpiry(unconfirmedSince+longestArrival, hold)
}

// Predecessor says what a successor knows of the grantor that wrote the record before.
type Predecessor int

// The cases of Predecessor.
const (
	// PredecessorMayGrant: it may send orders until its authority expires.
	PredecessorMayGrant Predecessor = iota
	// PredecessorEnded: it sent its last order before the successor's write.
	PredecessorEnded
)

// lastArrival bounds the grants of the predecessor itself, from the successor's write.
func (p Predecessor) lastArrival() Arrival {
	if p == PredecessorEnded {
		return ArrivalWithin(maxGrantTransit)
	}
	return ArrivalWithin(longestArrival)
}

// String returns the name of the case in logs.
func (p Predecessor) String() string {
	if p == PredecessorEnded {
		return "ended"
	}
	return "may grant"
}
