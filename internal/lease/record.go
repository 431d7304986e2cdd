// Package lease assigns the keys of a service to targets so that no key ever has two owners, although
// the targets check nothing but an integer fence. It uses no network, clock or goroutine.
//
// A target is granted a range of keys for a limited time, the hold, which renewals extend. It rejects a
// grant whose fence is lower than the highest that it has seen for any of the keys, takes no new work
// once the keys are released, and loses all of this state when it restarts. One VM, the grantor of the
// service, sends all orders.
//
// These rules keep a key from having two owners:
//
//  1. The record of the service is kept in the store and is written before any grant that it allows. The
//     grantor is the VM that wrote the epoch of the record. A fence begins with the epoch, so fences
//     only increase.
//  2. A grantor sends orders only for Authority after it sent the last request in which the store
//     confirmed its epoch.
//  3. A successor first grants every range to its owner in the record, with its own, higher fence. From
//     then on the owner rejects all earlier grantors, and no key has moved. An owner that the successor
//     cannot reach keeps its keys until no grant of an earlier epoch may arrive any more and a hold has
//     passed after that. Several grantors may follow each other within one Authority, so every write of
//     the record states for how long grants of any earlier epoch may still arrive. A successor takes the
//     later of that and of what the writer itself may have sent, and states it before it grants anything.
//  4. Keys are taken from an owner when the process at its address acknowledges a release, whose fence
//     is higher than all that were sent before, or when every grant that may have reached the owner
//     has expired. An unanswered grant may still arrive until its connection is reset.
//  5. The record may name a standby for a range. Its grantor may then move the range to the standby as in rule 4 without
//     writing the record first, and writes it afterwards. A successor that was not handed the record by its predecessor
//     must assume that the standby holds the keys: it takes them from the standby, as in rule 4, before it grants them
//     to the owner.
//  6. A grant is sent to the incarnation of a target that the record names. After an order that could
//     not be delivered, the caller has that incarnation confirmed before the next grant: a restarted
//     target has lost its fences and would accept a grant from a superseded grantor.
package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Timing of leases and layout of fences.
const (
	// Authority is how long a grantor may send orders without the store. It exceeds the outages of the
	// store, which last up to about nine seconds.
	Authority = 12 * time.Second
	// HoldTime is the longest time that a grant is valid. The keys of a lost owner become free after it,
	// and a lost grantor must be succeeded within it.
	HoldTime = 2400 * time.Millisecond
	// MaxClockDrift is the fraction by which a hold may last longer than stated: the clock of a target
	// runs up to 2% slow.
	MaxClockDrift = 0.02
	// TimingMargin covers the time between reading the clock and the event that the reading stands for.
	TimingMargin = 100 * time.Millisecond
	// epochShift leaves room for 2^24 fences in each epoch, which lasts more than four hours at a
	// thousand a second. A grantor that uses them up begins a new epoch.
	epochShift = 24
)

// Owner is one incarnation of a target: one run of its process.
type Owner struct {
	ID string
	// Born is when the incarnation started, in Unix milliseconds.
	Born int64
	Addr string
}

// SameIncarnation reports whether both are the same incarnation of the same target.
func (o Owner) SameIncarnation(p Owner) bool { return o.ID == p.ID && o.Born == p.Born }

// Known reports whether o names a target; the zero Owner means that there is no owner.
func (o Owner) Known() bool { return o.ID != "" }

// Slice is a range of keys, both ends inclusive, with its owner.
type Slice struct {
	From, To uint16
	Owner    Owner
	// Previous is the previous owner while it may still hold the keys. It must acknowledge a release, or
	// its hold must expire, before Owner is granted the keys.
	Previous Owner
	// Standby is the target to which the grantor may move the keys before it has written the record. It is not set
	// while Previous is.
	Standby Owner
	// MaybeMoved says that Owner and Previous were the owner and the standby of the predecessor's record, so that Previous
	// holds the keys only if the predecessor has moved them. It is not stored.
	MaybeMoved bool
}

// Record is the part of a service's leases that is kept in the store.
type Record struct {
	Service string
	Epoch   uint64
	// Holder names the VM of the grantor, HolderAddr its address and Incarnation its process.
	Holder      string
	HolderAddr  string
	Incarnation uint64
	// Resigned says that the grantor had stopped sending orders before it wrote this record.
	Resigned bool
	// Earlier bounds the grants of all earlier epochs, from the write of this record. Those of Epoch are not included.
	Earlier Arrival
	// Slices cover the key space in order and without gaps.
	Slices []Slice
}

// Succeed returns the record as the next grantor must take it over and write it: the predecessor may have moved each slice that
// has a standby, unless it has resigned, and grants of its epoch and of those before may still arrive. last is the last version
// that the predecessor published, as far as it is known here, or nil; it only decides which of the two is tried first.
func (r Record) Succeed(last *Routing, p Predecessor) Record {
	out := r
	if r.Resigned {
		p = PredecessorEnded
	}
	out.Earlier = r.Earlier.or(p.lastArrival())
	out.Slices = slices.Clone(r.Slices)
	for i := range out.Slices {
		s := &out.Slices[i]
		if r.Resigned || !s.Standby.Known() {
			continue
		}
		if s.Previous.Known() {
			s.Standby = Owner{}
			continue
		}
		s.Previous, s.Standby, s.MaybeMoved = s.Standby, Owner{}, true
		if last != nil && last.Epoch == r.Epoch {
			if id, _ := last.Find(s.From); id == s.Previous.ID {
				s.Owner, s.Previous = s.Previous, s.Owner
			}
		}
	}
	return out
}

// Check returns an error if the slices do not cover the key space in order and without gaps.
func (r *Record) Check() error {
	next := 0
	for _, s := range r.Slices {
		if int(s.From) != next || s.To < s.From {
			return fmt.Errorf("invalid record of service %s: slice of keys %d to %d, expected one that starts at key %d", r.Service, s.From, s.To, next)
		}
		next = int(s.To) + 1
	}
	if next != keySpace {
		return fmt.Errorf("invalid record of service %s: slices end at key %d", r.Service, next-1)
	}
	return nil
}

// keySpace is the number of keys.
const keySpace = 1 << 16

// EvenSlices returns n slices of equal width, assigned to the owners in turn. Busy keys are often
// adjacent, so the slices of one owner are kept apart and several owners share the load.
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

// Index returns the index of the slice that holds a key.
func Index(list []Slice, key uint16) int {
	i, found := slices.BinarySearchFunc(list, key, func(s Slice, k uint16) int { return cmp.Compare(s.From, k) })
	if !found {
		i--
	}
	return i
}

// holdExpiry returns when a grant that arrived no later than the given time has surely expired.
func holdExpiry(arrived, hold time.Duration) time.Duration {
	return arrived + hold + time.Duration(float64(hold)*MaxClockDrift) + TimingMargin
}
