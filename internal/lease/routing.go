package lease

// Routing is what the senders of requests need to know of a service's leases.
// Lists run in parallel, which keeps it small on the wire.
type Routing struct {
	Service string
	// Epoch and Seq order the versions.
	Epoch, Seq uint64
	// Holder is the grantor's VM, in this life.
	Holder      string
	Incarnation uint64
	// Owners are the ids of targets; From the first keys of the slices, Owner
	// the index of each slice's owner.
	Owners []string
	From   []uint16
	Owner  []uint16
	// Active says that the owner answers for the slice now. Requests for others
	// wait.
	Active []bool
}

// NewRouting returns the routing of a record. active tells it of slice i.
func NewRouting(r Record, seq uint64, active func(i int) bool) *Routing {
	out := &Routing{
		Service: r.Service, Epoch: r.Epoch, Seq: seq, Holder: r.Holder, Incarnation: r.Incarnation,
		From: make([]uint16, len(r.Slices)), Owner: make([]uint16, len(r.Slices)), Active: make([]bool, len(r.Slices)),
	}
	index := make(map[string]uint16)
	for i, s := range r.Slices {
		at, ok := index[s.Owner.ID]
		if !ok {
			at = uint16(len(out.Owners))
			index[s.Owner.ID] = at
			out.Owners = append(out.Owners, s.Owner.ID)
		}
		out.From[i], out.Owner[i], out.Active[i] = s.From, at, active(i)
	}
	return out
}

// After tells whether r is newer than the version (epoch, seq).
func (r *Routing) After(epoch, seq uint64) bool {
	return r.Epoch > epoch || r.Epoch == epoch && r.Seq > seq
}

// Find returns the owner of a key and whether it answers for it now.
func (r *Routing) Find(key uint16) (owner string, active bool) {
	lo, hi := 0, len(r.From)
	for hi-lo > 1 {
		if mid := (lo + hi) / 2; r.From[mid] <= key {
			lo = mid
		} else {
			hi = mid
		}
	}
	if len(r.From) == 0 {
		return "", false
	}
	return r.Owners[r.Owner[lo]], r.Active[lo]
}

// SameAs tells whether both say the same of every key.
func (r *Routing) SameAs(o *Routing) bool {
	if o == nil || r.Epoch != o.Epoch || len(r.From) != len(o.From) {
		return false
	}
	for i := range r.From {
		if r.From[i] != o.From[i] || r.Active[i] != o.Active[i] || r.Owners[r.Owner[i]] != o.Owners[o.Owner[i]] {
			return false
		}
	}
	return true
}
