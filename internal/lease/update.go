package lease

import "slices"

// Update leads from one version of the routing of a service to a later one. It holds only the changed
// slices: sending the full routing for each change saturates the grantor's link.
type Update struct {
	// Base is the Seq of the version that the update applies to; 0 means that Routing is complete.
	Base uint64 `msgpack:"b"`
	// BaseEpoch is the epoch of that version. It may differ from the epoch of Routing, as a successor's
	// first update applies to the last version of its predecessor.
	BaseEpoch uint64 `msgpack:"e"`
	// Routing holds the changed slices, or all of them if Base is 0.
	Routing Routing `msgpack:"r"`
}

// UpdateBetween returns the update that leads from the version old to current. If old is nil, as for a VM
// that has no version yet, the update is complete.
func UpdateBetween(old, current *Routing) *Update {
	if old == nil || old.Seq == 0 {
		return &Update{Routing: *current}
	}
	b := newRoutingBuilder(current.head(), 0)
	matched := 0
	for i, from := range current.From {
		at, ok := slices.BinarySearch(old.From, from)
		if ok {
			matched++
		}
		if !ok || current.States[i] != old.States[at] || current.limit(i) != old.limit(at) || current.Owners[current.Owner[i]] != old.Owners[old.Owner[at]] {
			b.addFrom(current, i)
		}
	}
	if matched != len(old.From) {
		// Slices were merged, which an update of changed slices cannot express.
		return &Update{Routing: *current}
	}
	return &Update{Base: old.Seq, BaseEpoch: old.Epoch, Routing: *b.routing()}
}

// Apply returns the routing that results from applying the update to old. It returns false if the update
// applies to another version.
func (u *Update) Apply(old *Routing) (*Routing, bool) {
	if u.Base == 0 {
		full := u.Routing
		return &full, true
	}
	if old == nil || old.Epoch != u.BaseEpoch || old.Seq != u.Base {
		return nil, false
	}
	later := &u.Routing
	b := newRoutingBuilder(later.head(), len(old.From)+len(later.From))
	i, j := 0, 0
	for i < len(old.From) || j < len(later.From) {
		switch {
		case j == len(later.From) || i < len(old.From) && old.From[i] < later.From[j]:
			b.addFrom(old, i)
			i++
		case i < len(old.From) && old.From[i] == later.From[j]:
			i++
		default:
			b.addFrom(later, j)
			j++
		}
	}
	return b.routing(), true
}

// head returns the routing without its slices.
func (r *Routing) head() Routing {
	return Routing{Service: r.Service, Epoch: r.Epoch, Seq: r.Seq, Holder: r.Holder, Incarnation: r.Incarnation}
}

// Valid reports whether a routing from another VM is consistent: its lists have the same length, and every
// slice refers to an owner in Owners.
func (r *Routing) Valid() bool {
	if len(r.Owner) != len(r.From) || len(r.States) != len(r.From) {
		return false
	}
	if len(r.Limits) != 0 && len(r.Limits) != len(r.From) {
		return false
	}
	return !slices.ContainsFunc(r.Owner, func(at uint16) bool { return int(at) >= len(r.Owners) })
}
