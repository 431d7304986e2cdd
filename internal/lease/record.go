// Package lease decides who holds the keys of a service whose targets check
// nothing but an integer fence. It has no network, clock or goroutine.
//
// A target is granted a range of keys for a short hold, which renewals extend. It
// refuses a grant whose fence is below the highest that it has seen on one of the
// keys, stops new work when the keys are released, and forgets everything when it
// restarts. One VM, the grantor of the service, sends all orders.
//
// What makes two owners of a key impossible:
//
//  1. The record of the service stands in the store and is written before a grant
//     that it allows. A grantor is the VM that wrote the record's epoch; fences
//     begin with the epoch, so they only rise.
//  2. A grantor orders only within Authority of the send of its last confirmation
//     at the store.
//  3. A successor first grants every range to the owner in the record, with its
//     own higher fence. From then on the owner refuses the predecessor, and no key
//     has moved. An owner that it cannot reach keeps its keys until Authority and
//     a hold have passed since the successor's write.
//  4. Keys leave an owner when the process at its address answers a release
//     (whose fence is above all that were sent), or when every grant that may have
//     reached it has run out. A grant without an answer may arrive until its
//     connection is reset.
//  5. A grant is sent to the life of a target that the record names. After a
//     broken order the runner has that life confirmed before the next grant: a
//     restarted target has forgotten its fences and would take a grant of a
//     grantor that was succeeded.
package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Figures of leases.
const (
	// Authority is how long a grantor may order without the store: longer than
	// the outages of the store, which last up to about nine seconds.
	Authority = 12 * time.Second
	// HoldTime is how long a grant lasts at most. Keys of a lost owner are free again
	// after it; a lost grantor must be succeeded within it.
	HoldTime = 2400 * time.Millisecond
	// MaxClockDrift is how much longer than stated a hold may last: a target's clock
	// runs up to 2% slow.
	MaxClockDrift = 0.02
	// TimingMargin covers the steps between a clock reading and what it dates.
	TimingMargin = 100 * time.Millisecond
	// epochShift leaves room for 2^24 fences in each epoch, at a thousand a
	// second for more than four hours; a grantor that runs out begins a new epoch.
	epochShift = 24
)

// Owner is one life of a target.
type Owner struct {
	ID string
	// Born is the start of the life, Unix milliseconds.
	Born int64
	Addr string
}

// SameIncarnation reports whether both are the same life of the same target.
func (o Owner) SameIncarnation(p Owner) bool { return o.ID == p.ID && o.Born == p.Born }

// Known reports whether there is an owner.
func (o Owner) Known() bool { return o.ID != "" }

// Slice is a range of keys, both ends inclusive, with its owner.
type Slice struct {
	From, To uint16
	Owner    Owner
	// Previous may still hold the keys; it is released or waited out before
	// Owner is granted.
	Previous Owner
}

// Record is what must last of a service's leases.
type Record struct {
	Service string
	Epoch   uint64
	// Holder names the grantor's VM, Incarnation its process.
	Holder      string
	HolderAddr  string
	Incarnation uint64
	// Resigned says that the grantor has stopped before it wrote this.
	Resigned bool
	// Slices cover the key space without gaps, in order.
	Slices []Slice
}

// Check reports a record that cannot be used.
func (r *Record) Check() error {
	next := 0
	for _, s := range r.Slices {
		if int(s.From) != next || s.To < s.From {
			return fmt.Errorf("check record of %s: slice %d to %d, expected one from %d", r.Service, s.From, s.To, next)
		}
		next = int(s.To) + 1
	}
	if next != keySpace {
		return fmt.Errorf("check record of %s: slices end at %d", r.Service, next-1)
	}
	return nil
}

// keySpace is the number of keys.
const keySpace = 1 << 16

// EvenSlices returns n slices of equal width, dealt to the owners in turn.
// Busy keys are neighbours: each owner's slices lie apart, so that several owners share them.
func EvenSlices(n int, owners []Owner) []Slice {
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]Slice, n)
	for i := range out {
		out[i] = Slice{
			From:  uint16(i * keySpace / n),
			To:    uint16((i+1)*keySpace/n - 1),
			Owner: owners[i%len(owners)],
		}
	}
	return out
}

// Index returns the slice of a key.
func Index(list []Slice, key uint16) int {
	i, found := slices.BinarySearchFunc(list, key, func(s Slice, k uint16) int { return cmp.Compare(s.From, k) })
	if !found {
		i--
	}
	return i
}

// holdExpiry is when a grant that arrived at the latest at the given time is out.
func holdExpiry(arrived, hold time.Duration) time.Duration {
	return arrived + hold + time.Duration(float64(hold)*MaxClockDrift) + TimingMargin
}
