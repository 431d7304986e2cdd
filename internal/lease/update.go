package lease

import "slices"

// Update takes a VM from one version of a service's routing to a later one. It holds
// only the slices that changed.
// A whole routing for each change fills the grantor's link.
type Update struct {
	// Base is the Seq of the version that the update builds on; 0: it is whole.
	Base uint64 `msgpack:"b"`
	// BaseEpoch is the epoch of that version: a successor builds on its predecessor's last.
	BaseEpoch uint64 `msgpack:"e"`
	// Routing holds the changed slices, or all.
	Routing Routing `msgpack:"r"`
}

// UpdateBetween returns the update from a version that a VM has, nil if it has none.
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
		// Slices were joined, which an update cannot express.
		return &Update{Routing: *current}
	}
	return &Update{Base: old.Seq, BaseEpoch: old.Epoch, Routing: *b.routing()}
}

// Apply returns the routing that follows from the version at hand; false if the update
// builds on another one.
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

// head returns a routing without its slices.
func (r *Routing) head() Routing {
	return Routing{Service: r.Service, Epoch: r.Epoch, Seq: r.Seq, Holder: r.Holder, Incarnation: r.Incarnation}
}

// Valid reports whether a routing that came from another VM can be used: its lists run
// in parallel and name known owners.
func (r *Routing) Valid() bool {
	if len(r.Owner) != len(r.From) || len(r.States) != len(r.From) {
		return false
	}
	if len(r.Limits) != 0 && len(r.Limits) != len(r.From) {
		return false
	}
	return !slices.ContainsFunc(r.Owner, func(at uint16) bool { return int(at) >= len(r.Owners) })
}
