package lease

import (
	"time"
)

// Timing holds the durations and intervals that a grantor uses.
type Timing struct {
	// Hold is how long a grant is valid at the target.
	Hold time.Duration
	// Renew is the time between two grants of a range.
	Renew time.Duration
	// Retry is the delay after a failed order.
	Retry time.Duration
	// Cold is how long an owner is slow with keys that it got without the previous owner's state.
	Cold time.Duration
}

// Grantor is the state of the grantor of one service in one epoch. All times are readings of a clock
// that keeps running while the VM is suspended.
type Grantor struct {
	timing Timing
	record Record
	states []leaseState
	// began is when the epoch began.
	began time.Duration
	// confirmed is when the last request was sent in which the store confirmed the epoch.
	confirmed time.Duration
	// earlierUntil is the latest time at which a grant of an earlier epoch may arrive.
	earlierUntil time.Duration
	// lastFence is the last fence that was issued.
	lastFence uint64
	// confirmedOwners holds the incarnations that may be granted keys. One is removed when no connection
	// that was opened before its confirmation is left.
	confirmedOwners map[Owner]bool
	// endedOwners holds the incarnations that have ended. They get no more grants.
	endedOwners map[Owner]bool
	breakers    map[Owner]*circuitBreaker
	// events holds the events until TakeEvents returns them.
	events []Event
}

// breaker returns the circuit breaker for orders to o.
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
	// granted says that the owner has acknowledged a grant of this epoch; ackedSentAt is when the last
	// acknowledged grant was sent.
	granted     bool
	ackedSentAt time.Duration
	// renewDue says that the slice is due for a grant at once, because it was split.
	renewDue bool
	// expiresAt is when the last grant that may have reached the owner expires.
	expiresAt time.Duration
	// previousExpiresAt is when the previous owner's last grant expires.
	previousExpiresAt time.Duration
	// released says that the previous owner gave the keys up; previousExpiresAt is then the time of the
	// release, not the end of its hold.
	released bool
	// pending says that an order for the slice is in flight.
	pending bool
	retryAt time.Duration
	// handover is the state that the next grant carries to the owner.
	handover string
	// moved says that the keys had another owner before; coldUntil is when the owner stops being slow
	// with them.
	moved     bool
	coldUntil time.Duration
	// frozen says that the record with a planned change of the slice is being written to the store.
	// Neither owner may get a first grant until the result of the write is known.
	frozen bool
	// standbyFrozen says that a record with another standby for the slice is being written.
	standbyFrozen bool
	// unwritten says that the slice was moved to its standby and the record with that is not written yet.
	unwritten bool
	// inherited says that the owner was in the record before this epoch: a predecessor may have granted it
	// the keys.
	inherited bool
	// presumedUntil ends the time in which an inherited owner is presumed to serve the keys under a grant of
	// the predecessor.
	presumedUntil time.Duration
}

// maxGrantTransit bounds the time that a predecessor's last grant is in transit. Its connection is reset
// when the predecessor stops waiting for the answer, or when its process ends. If the process is
// suspended after the send, the operating system drops what has not arrived after this time.
const maxGrantTransit = time.Second

// NewGrantor returns the grantor of a record that it has just written with its own epoch. sent and done
// are the times at which the write was sent and answered.
func NewGrantor(r Record, t Timing, sent, done time.Duration) *Grantor {
	g := &Grantor{timing: t, record: r, began: done, confirmed: sent, earlierUntil: done + r.Earlier.Within(), lastFence: r.Epoch << epochShift}
	g.confirmedOwners, g.endedOwners, g.breakers = make(map[Owner]bool), make(map[Owner]bool), make(map[Owner]*circuitBreaker)
	g.states = make([]leaseState, len(r.Slices))
	for i := range g.states {
		s := &g.states[i]
		s.fence = g.newFence()
		if r.Earlier != NoArrival {
			s.inherited = true
			s.expiresAt = holdExpiry(g.earlierUntil, t.Hold)
			s.previousExpiresAt = s.expiresAt
		}
	}
	return g
}

// earlier returns the bound that a write of the record states.
func (g *Grantor) earlier(now time.Duration) Arrival {
	return ArrivalWithin(max(g.earlierUntil-now, 0))
}

// StatesEndedWait reports whether the record still states that grants of earlier epochs may arrive, although they no longer may. A
// successor would wait for them again. A bound that is no longer than the transit of a grant costs a successor nothing.
func (g *Grantor) StatesEndedWait(now time.Duration) bool {
	return g.record.Earlier.Within() > maxGrantTransit && now >= g.earlierUntil
}

// PresumeServed treats owners that served their slices in the predecessor's last published version as
// serving them until the given time, unless orders to them fail. An owner whose keys must first be taken from
// another target still has the predecessor's grant. This affects only where senders try, not
// who holds keys: an owner rejects requests for keys that it does not hold. Without it, all keys of the
// service would be refused until their owners are granted them again.
func (g *Grantor) PresumeServed(last *Routing, until time.Duration) {
	for i := range g.states {
		sl := &g.record.Slices[i]
		owner, state := last.Find(sl.From)
		if g.states[i].inherited && (sl.MaybeMoved || !sl.Previous.Known()) && owner == sl.Owner.ID && state.Serves() {
			g.states[i].presumedUntil = until
		}
	}
}

// newFence returns a fence that is higher than all before.
func (g *Grantor) newFence() uint64 {
	g.lastFence++
	return g.lastFence
}

// Record returns the record in force.
func (g *Grantor) Record() Record { return g.record }

// ConfirmEpoch records that the store confirmed the epoch in a request that was sent at the given time.
func (g *Grantor) ConfirmEpoch(sent time.Duration) { g.confirmed = max(g.confirmed, sent) }

// ConfirmedAt returns when the last request was sent in which the store confirmed the epoch.
func (g *Grantor) ConfirmedAt() time.Duration { return g.confirmed }

// MayOrder reports whether orders may be sent. It is called again right before each send: a grantor may
// be suspended while another one takes over and moves keys. A successor waits for Authority before it
// assumes that its predecessor has stopped.
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
	case sl.MaybeMoved && s.inherited && now < s.presumedUntil:
		return Served
	case c != nil && c.failures > 0:
		return Unserved
	case awaited.SameIncarnation(sl.Owner) && s.inherited && now < s.presumedUntil:
		return Served
	}
	return Moving
}

// Granted reports whether the owner of slice i holds the keys under a grant of this epoch.
func (g *Grantor) Granted(i int, now time.Duration) bool {
	s := &g.states[i]
	return !g.record.Slices[i].Previous.Known() && s.granted && now < s.ackedSentAt+g.timing.Hold
}

// DueOrders returns the orders to send now and marks their slices as pending.
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

// due returns the next order for slice i, and whether it is to be sent now.
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
	if s.granted && !s.renewDue && now < s.ackedSentAt+g.timing.Renew {
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

// clearPrevious removes the previous owner of slice i, which no longer holds the keys. The new owner gets
// a fence above that of the release.
func (g *Grantor) clearPrevious(i int) {
	s, sl := &g.states[i], &g.record.Slices[i]
	previous, kind, maybeMoved := sl.Previous, Expired, sl.MaybeMoved
	if s.released {
		kind = Released
	}
	sl.Previous, sl.MaybeMoved = Owner{}, false
	s.fence = g.newFence()
	s.retryAt, s.released = 0, false
	if !maybeMoved {
		g.addEvent(kind, i, previous)
	}
}

// MarkEnded records that an incarnation of a target has ended because another one has started under its
// id. It gets no more grants. Its keys are released like any others, and the new incarnation answers. The
// list of targets may still name the old incarnation while the restarted target accepts connections, so
// the keys are not free before the new incarnation has acknowledged a release.
func (g *Grantor) MarkEnded(o Owner) {
	g.endedOwners[o] = true
	delete(g.confirmedOwners, o)
}

// HasEnded reports whether an incarnation is known to have ended.
func (g *Grantor) HasEnded(o Owner) bool { return g.endedOwners[o] }

// Unconfirmed returns the owners whose incarnation must be confirmed before they may be granted keys.
func (g *Grantor) Unconfirmed() []Owner {
	seen := make(map[Owner]bool)
	var out []Owner
	for _, sl := range g.record.Slices {
		for _, o := range []Owner{sl.Owner, sl.Standby} {
			if o.Known() && !g.confirmedOwners[o] && !g.endedOwners[o] && !seen[o] {
				seen[o] = true
				out = append(out, o)
			}
		}
	}
	return out
}

// MarkConfirmed records that a target was still this incarnation after the connection for its orders was
// opened, and that the epoch was still valid after that.
func (g *Grantor) MarkConfirmed(o Owner) { g.confirmedOwners[o] = true }

// MarkUnconnected records that no connection to an owner could be opened.
func (g *Grantor) MarkUnconnected(o Owner, began, ended time.Duration) {
	g.breaker(o).record(Unreached, began, ended, g.timing.Retry)
}

// MarkRegained records that a target accepts connections again, which may own keys again.
func (g *Grantor) MarkRegained(o Owner) { delete(g.breakers, o) }

// SilentFor returns for how long an owner has left orders unanswered, or could not be connected to,
// since its last answer or the begin of the epoch. It returns 0 if the last order was answered.
func (g *Grantor) SilentFor(o Owner, now time.Duration) time.Duration {
	c := g.breakers[o]
	if c == nil || c.failures == 0 {
		return 0
	}
	return now - max(c.lastAnswered, g.began)
}
