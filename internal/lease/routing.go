package lease

// Routing is what senders of requests need to know of the leases of a service. The slices are stored as
// parallel lists to keep the message small.
type Routing struct {
	Service string `msgpack:"s"`
	// Epoch and Seq order the versions.
	Epoch uint64 `msgpack:"e"`
	Seq   uint64 `msgpack:"q"`
	// Holder is the VM of the grantor, Incarnation the VM's process.
	Holder      string `msgpack:"h"`
	Incarnation uint64 `msgpack:"i"`
	// Owners are the ids of the targets. From holds the first key of each slice, Owner the index of its
	// owner in Owners.
	Owners []string `msgpack:"o"`
	From   []uint16 `msgpack:"f"`
	Owner  []uint16 `msgpack:"w"`
	// States says how each slice is served.
	States []SliceState `msgpack:"t"`
	// Limits says which fraction of the requests for each slice is admitted; empty means all of them.
	Limits []Limit `msgpack:"l,omitempty"`
}

// SliceState is how a slice is served.
type SliceState uint8

// The ways in which a slice is served.
const (
	// Served: the owner serves its keys.
	Served SliceState = iota
	// Moving: the keys will have an owner again soon; requests wait.
	Moving
	// Unserved: a target that may hold the keys does not answer. The keys are unavailable until its hold has
	// expired, and requests are refused.
	Unserved
	// Cold: the owner serves the keys but got them without the previous owner's state, and is slow with
	// them.
	Cold
)

// Serves reports whether the owner serves the keys.
func (s SliceState) Serves() bool { return s == Served || s == Cold }

// NewRouting returns the routing of a record. The function state returns how slice i is served.
func NewRouting(r Record, seq uint64, state func(i int) SliceState) *Routing {
	b := newRoutingBuilder(Routing{Service: r.Service, Epoch: r.Epoch, Seq: seq, Holder: r.Holder, Incarnation: r.Incarnation}, len(r.Slices))
	for i, s := range r.Slices {
		b.add(s.From, s.Owner.ID, state(i))
	}
	return b.routing()
}

// SetLimits sets the limit of each slice.
func (r *Routing) SetLimits(limit func(slice int) Limit) {
	limits := make([]Limit, len(r.From))
	for i := range limits {
		limits[i] = limit(i)
	}
	r.Limits = omitIfUnlimited(limits)
}

// limit returns the limit of slice i.
func (r *Routing) limit(i int) Limit {
	if len(r.Limits) == 0 {
		return Unlimited
	}
	return r.Limits[i]
}

// routingBuilder builds a routing slice by slice.
type routingBuilder struct {
	out    Routing
	owners interner[string]
}

// newRoutingBuilder returns a builder that adds slices to head, which has none. slices is the expected
// number of slices.
func newRoutingBuilder(head Routing, slices int) *routingBuilder {
	head.From, head.Owner, head.States = make([]uint16, 0, slices), make([]uint16, 0, slices), make([]SliceState, 0, slices)
	return &routingBuilder{out: head}
}

// add appends an unlimited slice.
func (b *routingBuilder) add(from uint16, owner string, state SliceState) {
	b.out.From = append(b.out.From, from)
	b.out.Owner = append(b.out.Owner, uint16(b.owners.index(owner)))
	b.out.States = append(b.out.States, state)
	b.out.Limits = append(b.out.Limits, Unlimited)
}

// addFrom appends slice i of another routing, with its limit.
func (b *routingBuilder) addFrom(r *Routing, i int) {
	b.add(r.From[i], r.Owners[r.Owner[i]], r.States[i])
	b.out.Limits[len(b.out.Limits)-1] = r.limit(i)
}

// routing returns the built routing.
func (b *routingBuilder) routing() *Routing {
	b.out.Owners = b.owners.values
	b.out.Limits = omitIfUnlimited(b.out.Limits)
	return &b.out
}

// After reports whether r is newer than the version (epoch, seq).
func (r *Routing) After(epoch, seq uint64) bool {
	return r.Epoch > epoch || r.Epoch == epoch && r.Seq > seq
}

// Find returns the owner of a key and how the key is served.
func (r *Routing) Find(key uint16) (owner string, state SliceState) {
	if len(r.From) == 0 {
		return "", Moving
	}
	i := r.sliceIndex(key)
	return r.Owners[r.Owner[i]], r.States[i]
}

// LimitOf returns the limit that applies to a key.
func (r *Routing) LimitOf(key uint16) Limit {
	if len(r.From) == 0 {
		return Unlimited
	}
	return r.limit(r.sliceIndex(key))
}

// sliceIndex returns the index of the sliceIndex that holds a key.
func (r *Routing) sliceIndex(key uint16) int {
	lo, hi := 0, len(r.From)
	for hi-lo > 1 {
		if mid := (lo + hi) / 2; r.From[mid] <= key {
			lo = mid
		} else {
			hi = mid
		}
	}
	return lo
}

// Estimated bytes of the parts of a routing in MessagePack.
const (
	headBytes  = 64
	ownerBytes = 2
	sliceBytes = 3 + 3 + 1
)

// WireSize estimates the size of the routing in a message, in bytes.
func (r *Routing) WireSize() int {
	size := headBytes + len(r.From)*sliceBytes
	for _, owner := range r.Owners {
		size += ownerBytes + len(owner)
	}
	return size
}

// SameAs reports whether both have the same epoch, and the same slices with the same owners, states and
// limits.
func (r *Routing) SameAs(o *Routing) bool {
	if o == nil || r.Epoch != o.Epoch || len(r.From) != len(o.From) {
		return false
	}
	for i := range r.From {
		if r.From[i] != o.From[i] || r.States[i] != o.States[i] || r.limit(i) != o.limit(i) || r.Owners[r.Owner[i]] != o.Owners[o.Owner[i]] {
			return false
		}
	}
	return true
}
