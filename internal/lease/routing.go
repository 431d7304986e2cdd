package lease

// Routing is what the senders of requests need to know of a service's leases.
// Lists run in parallel, which keeps it small on the wire.
type Routing struct {
	Service string `msgpack:"s"`
	// Epoch and Seq order the versions.
	Epoch uint64 `msgpack:"e"`
	Seq   uint64 `msgpack:"q"`
	// Holder is the grantor's VM, in this life.
	Holder      string `msgpack:"h"`
	Incarnation uint64 `msgpack:"i"`
	// Owners are the ids of targets; From the first keys of the slices, Owner
	// the index of each slice's owner.
	Owners []string `msgpack:"o"`
	From   []uint16 `msgpack:"f"`
	Owner  []uint16 `msgpack:"w"`
	// States tells how each slice is served.
	States []SliceState `msgpack:"t"`
}

// SliceState tells how a slice is served.
type SliceState uint8

// The states.
const (
	// Served: the owner answers for its keys.
	Served SliceState = iota
	// Moving: the keys have an owner again soon; requests wait.
	Moving
	// Unserved: a target that may hold the keys does not answer, and they are
	// without service until its hold has run out; requests are refused.
	Unserved
)

// NewRouting returns the routing of a record. state tells it of slice i.
func NewRouting(r Record, seq uint64, state func(i int) SliceState) *Routing {
	out := &Routing{
		Service: r.Service, Epoch: r.Epoch, Seq: seq, Holder: r.Holder, Incarnation: r.Incarnation,
		From: make([]uint16, len(r.Slices)), Owner: make([]uint16, len(r.Slices)), States: make([]SliceState, len(r.Slices)),
	}
	index := make(map[string]uint16)
	for i, s := range r.Slices {
		at, ok := index[s.Owner.ID]
		if !ok {
			at = uint16(len(out.Owners))
			index[s.Owner.ID] = at
			out.Owners = append(out.Owners, s.Owner.ID)
		}
		out.From[i], out.Owner[i], out.States[i] = s.From, at, state(i)
	}
	return out
}

// After tells whether r is newer than the version (epoch, seq).
func (r *Routing) After(epoch, seq uint64) bool {
	return r.Epoch > epoch || r.Epoch == epoch && r.Seq > seq
}

// Find returns the owner of a key and how the key is served.
func (r *Routing) Find(key uint16) (owner string, state SliceState) {
	lo, hi := 0, len(r.From)
	for hi-lo > 1 {
		if mid := (lo + hi) / 2; r.From[mid] <= key {
			lo = mid
		} else {
			hi = mid
		}
	}
	if len(r.From) == 0 {
		return "", Moving
	}
	return r.Owners[r.Owner[lo]], r.States[lo]
}

// SameAs tells whether both say the same of every key.
func (r *Routing) SameAs(o *Routing) bool {
	if o == nil || r.Epoch != o.Epoch || len(r.From) != len(o.From) {
		return false
	}
	for i := range r.From {
		if r.From[i] != o.From[i] || r.States[i] != o.States[i] || r.Owners[r.Owner[i]] != o.Owners[o.Owner[i]] {
			return false
		}
	}
	return true
}
