package lease

import "slices"

// Update takes a VM from one version of a service's routing to a later one. It holds
// only the slices that changed.
//
// Failure: the grantor tells every VM of every change. A whole routing is several
// kilobytes at a hundred targets, and a start changes it once a slice: the grantor's
// link was full of them for a minute, and its renewals and calls to the store timed
// out.
type Update struct {
	// Base is the Seq of the same epoch that the update builds on; 0: it is whole.
	Base uint64 `msgpack:"b"`
	// Routing holds the changed slices, or all.
	Routing Routing `msgpack:"r"`
}

// UpdateBetween returns the update from a version that a VM has, nil if it has none.
func UpdateBetween(old, now *Routing) *Update {
	if old == nil || old.Epoch != now.Epoch || old.Seq == 0 {
		return &Update{Routing: *now}
	}
	u := &Update{Base: old.Seq, Routing: Routing{
		Service: now.Service, Epoch: now.Epoch, Seq: now.Seq, Holder: now.Holder, Incarnation: now.Incarnation,
	}}
	known := 0
	for i, from := range now.From {
		at, ok := slices.BinarySearch(old.From, from)
		if ok {
			known++
		}
		if !ok || now.States[i] != old.States[at] || now.Owners[now.Owner[i]] != old.Owners[old.Owner[at]] {
			u.Routing.add(from, now.Owners[now.Owner[i]], now.States[i])
		}
	}
	if known != len(old.From) {
		// Slices were joined, which an update cannot say.
		return &Update{Routing: *now}
	}
	return u
}

// On returns the routing that follows from the version at hand; false if the update
// builds on another one.
func (u *Update) On(old *Routing) (*Routing, bool) {
	if u.Base == 0 {
		whole := u.Routing
		return &whole, true
	}
	if old == nil || old.Epoch != u.Routing.Epoch || old.Seq != u.Base {
		return nil, false
	}
	out := &Routing{
		Service: old.Service, Epoch: old.Epoch, Seq: u.Routing.Seq, Holder: u.Routing.Holder, Incarnation: u.Routing.Incarnation,
	}
	i, j := 0, 0
	for i < len(old.From) || j < len(u.Routing.From) {
		switch {
		case j == len(u.Routing.From) || i < len(old.From) && old.From[i] < u.Routing.From[j]:
			out.add(old.From[i], old.Owners[old.Owner[i]], old.States[i])
			i++
		case i < len(old.From) && old.From[i] == u.Routing.From[j]:
			i++
		default:
			out.add(u.Routing.From[j], u.Routing.Owners[u.Routing.Owner[j]], u.Routing.States[j])
			j++
		}
	}
	return out, true
}

// Valid tells whether a routing that came from another VM can be used: its lists run
// in parallel and name known owners.
func (r *Routing) Valid() bool {
	if len(r.Owner) != len(r.From) || len(r.States) != len(r.From) {
		return false
	}
	return !slices.ContainsFunc(r.Owner, func(at uint16) bool { return int(at) >= len(r.Owners) })
}

// add appends a slice.
func (r *Routing) add(from uint16, owner string, state SliceState) {
	at := slices.Index(r.Owners, owner)
	if at < 0 {
		at = len(r.Owners)
		r.Owners = append(r.Owners, owner)
	}
	r.From = append(r.From, from)
	r.Owner = append(r.Owner, uint16(at))
	r.States = append(r.States, state)
}
