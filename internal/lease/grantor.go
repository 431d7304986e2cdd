package lease

import (
	"time"
)

// Timing are the periods of a grantor.
type Timing struct {
	// Hold is how long a grant lasts at the target.
	Hold time.Duration
	// Renew is the time between two grants of a range.
	Renew time.Duration
	// Retry is the pause after a failed order.
	Retry time.Duration
	// Cold is how long an owner is slow with keys that it got without the state of
	// the last owner.
	Cold time.Duration
}

// Grantor is the state of one service's grantor in one epoch. Its clock counts
// suspended time.
type Grantor struct {
	timing    Timing
	record    Record
	states    []leaseState
	confirmed time.Duration
	lastFence uint64
	// confirmedOwners holds the targets that may be granted keys. A target is
	// taken out when no connection that was opened before the confirmation is left.
	confirmedOwners map[Owner]bool
	// endedOwners holds lives that are over: they are not granted anything more.
	endedOwners map[Owner]bool
	breakers    map[Owner]*circuitBreaker
	// events wait for TakeEvents.
	events []Event
}

func (g *Grantor) breaker(o Owner) *circuitBreaker {
	c := g.breakers[o]
	if c == nil {
		c = new(circuitBreaker)
		g.breakers[o] = c
	}
	return c
}

// leaseState is what the grantor knows of one slice beyond the record.
type leaseState struct {
	fence uint64
	// granted says that the owner has answered a grant of this epoch; acked
	// dates the send of the last one.
	granted     bool
	ackedSentAt time.Duration
	// expiresAt is when the last grant that may have reached the owner is out.
	expiresAt time.Duration
	// previousExpiresAt is when the previous owner's last grant is out.
	previousExpiresAt time.Duration
	// released says that the previous owner gave the keys up, so that previousOut is
	// not when its hold runs out.
	released bool
	pending  bool
	retryAt  time.Duration
	// handover is the state that the next grant carries.
	handover string
	// moved says that the keys had another owner before; coldUntil is until when the
	// owner is slow with them.
	moved     bool
	coldUntil time.Duration
	// frozen says that a planned change of the slice is in flight to the store:
	// neither owner may be granted for the first time until it is settled.
	frozen bool
	// inherited says that the owner stood in the record before this epoch: a
	// predecessor may have granted it the keys.
	inherited bool
	// presumedUntil is until when an inherited owner is presumed to serve the keys by a
	// grant of the predecessor.
	presumedUntil time.Duration
}

// PriorGrants says what may still be in force of the grantors before.
type PriorGrants int

// The pasts.
const (
	// NoPriorGrants: no grant was ever sent for this service.
	NoPriorGrants PriorGrants = iota
	// PriorGrantsEnded: the predecessor has sent its last order before the write.
	PriorGrantsEnded
	// PriorGrantsUnknown: the predecessor may go on for as long as its authority lasts.
	PriorGrantsUnknown
)

// maxGrantTransit bounds the way of a predecessor's last grant: its connection is reset when it is
// given up, or when the process ends. Where the process stands still after the send, the
// system drops after this time what has not arrived.
const maxGrantTransit = time.Second

// lastGrantArrival returns when the last grant of a predecessor may have arrived, after
// the successor's write was done.
func (p PriorGrants) lastGrantArrival(done time.Duration) time.Duration {
	if p == PriorGrantsEnded {
		return done + maxGrantTransit
	}
	return done + Authority + maxGrantTransit
}

// NewGrantor returns the grantor of a record that it has just written with its
// own epoch. sent and done date the write.
func NewGrantor(r Record, t Timing, sent, done time.Duration, prior PriorGrants) *Grantor {
	g := &Grantor{timing: t, record: r, confirmed: sent, lastFence: r.Epoch << epochShift}
	g.confirmedOwners, g.endedOwners, g.breakers = make(map[Owner]bool), make(map[Owner]bool), make(map[Owner]*circuitBreaker)
	g.states = make([]leaseState, len(r.Slices))
	for i := range g.states {
		s := &g.states[i]
		s.fence = g.newFence()
		if prior != NoPriorGrants {
			s.inherited = true
			s.expiresAt = holdExpiry(prior.lastGrantArrival(done), t.Hold)
			s.previousExpiresAt = s.expiresAt
		}
	}
	return g
}

// PresumeServed has the owners that served their slices in the predecessor's last published
// version count as serving them until the given time, unless orders to them fail. It decides
// where senders try, and nothing of who holds keys: an owner refuses what it does not hold.
// Without it, all keys of the service are refused until their owners were granted them anew.
func (g *Grantor) PresumeServed(last *Routing, until time.Duration) {
	for i := range g.states {
		sl := &g.record.Slices[i]
		owner, state := last.Find(sl.From)
		if g.states[i].inherited && !sl.Previous.Known() && owner == sl.Owner.ID && state.Serves() {
			g.states[i].presumedUntil = until
		}
	}
}

func (g *Grantor) newFence() uint64 {
	g.lastFence++
	return g.lastFence
}

// Record returns the record in force.
func (g *Grantor) Record() Record { return g.record }

// ConfirmEpoch notes that the store confirmed the epoch to a call sent at that time.
func (g *Grantor) ConfirmEpoch(sent time.Duration) { g.confirmed = max(g.confirmed, sent) }

// ConfirmedAt returns the send of the last confirmation.
func (g *Grantor) ConfirmedAt() time.Duration { return g.confirmed }

// MayOrder reports whether orders may be sent. It is asked again right before each
// send.
// A grantor may be suspended while another takes over and moves keys. A successor waits for Authority
// before it relies on the silence of its predecessor.
func (g *Grantor) MayOrder(now time.Duration) bool { return now < g.confirmed+Authority }

// FencesExhausted reports whether the fences of the epoch are nearly used up.
func (g *Grantor) FencesExhausted() bool { return g.lastFence+1<<16 > (g.record.Epoch+1)<<epochShift }

// State returns how slice i is served now.
func (g *Grantor) State(i int, now time.Duration) SliceState {
	s, sl := &g.states[i], &g.record.Slices[i]
	awaited := sl.Owner
	if sl.Previous.Known() {
		awaited = sl.Previous
	}
	switch c := g.breakers[awaited]; {
	case g.Granted(i, now):
		if now < s.coldUntil {
			return Cold
		}
		return Served
	case c != nil && c.failures > 0:
		return Unserved
	case awaited.SameIncarnation(sl.Owner) && s.inherited && now < s.presumedUntil:
		return Served
	}
	return Moving
}

// Granted reports whether the owner of slice i holds the keys by a grant of this epoch.
func (g *Grantor) Granted(i int, now time.Duration) bool {
	s := &g.states[i]
	return !g.record.Slices[i].Previous.Known() && s.granted && now < s.ackedSentAt+g.timing.Hold
}

// DueOrders returns the orders to send now and marks them as pending.
func (g *Grantor) DueOrders(now time.Duration) []Order {
	if !g.MayOrder(now) {
		return nil
	}
	var out []Order
	for i := range g.states {
		o, due := g.due(i, now)
		if !due {
			continue
		}
		c := g.breaker(o.Target)
		if !c.allows(now) {
			continue
		}
		c.probing = true
		g.states[i].pending = true
		out = append(out, o)
	}
	return out
}

func (g *Grantor) due(i int, now time.Duration) (Order, bool) {
	s, sl := &g.states[i], &g.record.Slices[i]
	if s.pending || s.frozen && !s.granted {
		return Order{}, false
	}
	if sl.Previous.Known() {
		if now < s.previousExpiresAt {
			return g.order(Release, i, sl.Previous), now >= s.retryAt
		}
		g.clearPrevious(i)
	}
	if !sl.Owner.Known() || !g.confirmedOwners[sl.Owner] || now < s.retryAt {
		return Order{}, false
	}
	if s.granted && now < s.ackedSentAt+g.timing.Renew {
		return Order{}, false
	}
	return g.order(Grant, i, sl.Owner), true
}

func (g *Grantor) order(kind OrderKind, i int, to Owner) Order {
	s, sl := &g.states[i], &g.record.Slices[i]
	o := Order{Kind: kind, Target: to, From: sl.From, To: sl.To, Fence: s.fence}
	if kind == Grant {
		o.Hold, o.Handover = g.timing.Hold, s.handover
	}
	return o
}

// clearPrevious ends the previous owner's hold on slice i. The new owner's fence is above
// the one of the release.
func (g *Grantor) clearPrevious(i int) {
	s, sl := &g.states[i], &g.record.Slices[i]
	previous, kind := sl.Previous, Expired
	if s.released {
		kind = Released
	}
	sl.Previous = Owner{}
	s.fence = g.newFence()
	s.retryAt, s.released = 0, false
	g.addEvent(kind, i, previous)
}

// MarkEnded notes that a life of a target is over: another one has begun under
// its id. It gets no more grants. Its keys are released like any others, which the
// new life answers.
// The entry of a restarted target may still be of its last life while it takes connections. Its keys
// are not free before the new life has answered a release.
func (g *Grantor) MarkEnded(o Owner) {
	g.endedOwners[o] = true
	delete(g.confirmedOwners, o)
}

// HasEnded reports whether a life is known to be over.
func (g *Grantor) HasEnded(o Owner) bool { return g.endedOwners[o] }

// Unconfirmed returns the owners whose life must be confirmed before they are
// granted anything.
func (g *Grantor) Unconfirmed() []Owner {
	seen := make(map[Owner]bool)
	var out []Owner
	for _, sl := range g.record.Slices {
		if o := sl.Owner; o.Known() && !g.confirmedOwners[o] && !g.endedOwners[o] && !seen[o] {
			seen[o] = true
			out = append(out, o)
		}
	}
	return out
}

// MarkConfirmed notes that a target was in this life after the connection for its
// orders was opened, and that the epoch stood after that.
func (g *Grantor) MarkConfirmed(o Owner) { g.confirmedOwners[o] = true }

// SilentFor returns for how long an owner has left orders unanswered; 0 while it
// answers, or was never asked.
func (g *Grantor) SilentFor(o Owner, now time.Duration) time.Duration {
	c := g.breakers[o]
	if c == nil || c.failures == 0 || c.lastAnswered == 0 {
		return 0
	}
	return now - c.lastAnswered
}
