package lease

import "time"

// HandleResult processes the result of an order that was sent at sentAt and ended at endedAt. It returns
// false if no slice waits for the order any more.
func (g *Grantor) HandleResult(o Order, r Result, handover string, sentAt, endedAt time.Duration) bool {
	if o.Fence>>epochShift != g.record.Epoch {
		// An order of an earlier epoch: its fence is lower than those of this epoch, so
		// its result says nothing about what the target holds now.
		return false
	}
	g.breaker(o.Target).record(r, sentAt, endedAt, g.timing.Retry)
	i := Index(g.record.Slices, o.From)
	s, sl := &g.states[i], &g.record.Slices[i]
	if sl.From != o.From || sl.To != o.To {
		// The slice has been split since the order was sent, so no slice waits for the
		// result. SplitSlice refuses to split a slice with an order in flight.
		return false
	}
	s.pending = false
	if o.Kind == Release {
		return g.handleRelease(i, o, r, handover, endedAt)
	}
	if !sl.Owner.SameIncarnation(o.Target) || s.fence != o.Fence {
		g.handleSuperseded(s, sl, o, r, endedAt)
		return false
	}
	switch r {
	case Done:
		if s.moved {
			g.addEvent(FirstGranted, i, Owner{})
		}
		if s.moved && o.Handover == "" {
			s.coldUntil = endedAt + g.timing.Cold
		}
		s.granted, s.ackedSentAt, s.handover, s.moved, s.renewDue = true, max(s.ackedSentAt, sentAt), "", false, false
		s.expiresAt = holdExpiry(endedAt, g.timing.Hold)
	case Unanswered:
		// Only this connection was reset; others to the same incarnation may still be open.
		s.expiresAt = max(s.expiresAt, holdExpiry(endedAt, g.timing.Hold))
		g.scheduleRetry(s, endedAt)
	case Unreached:
		delete(g.confirmedOwners, o.Target)
		g.scheduleRetry(s, endedAt)
	case Misdirected:
		g.MarkEnded(o.Target)
		g.scheduleRetry(s, endedAt)
	case Fenced:
		s.fence = g.newFence()
		g.scheduleRetry(s, endedAt)
	}
	return true
}

// handleSuperseded updates when the previous owner's hold expires, after a grant that was in flight while
// the slice was given to another owner.
func (g *Grantor) handleSuperseded(s *leaseState, sl *Slice, o Order, r Result, endedAt time.Duration) {
	if !sl.Previous.SameIncarnation(o.Target) {
		return
	}
	switch r {
	case Done:
		s.previousExpiresAt = holdExpiry(endedAt, g.timing.Hold)
	case Unanswered:
		s.previousExpiresAt = max(s.previousExpiresAt, holdExpiry(endedAt, g.timing.Hold))
	}
}

// scheduleRetry delays the next order for a slice after a failed one.
func (g *Grantor) scheduleRetry(s *leaseState, now time.Duration) {
	s.retryAt = now + g.timing.Retry
}

// handleRelease processes the result of a release of slice i.
func (g *Grantor) handleRelease(i int, o Order, r Result, handover string, endedAt time.Duration) bool {
	s, sl := &g.states[i], &g.record.Slices[i]
	if !sl.Previous.SameIncarnation(o.Target) {
		return false
	}
	// If another target has the address, the process that had it before has ended.
	if r == Done || r == Misdirected {
		s.previousExpiresAt, s.handover, s.released = endedAt, handover, true
		return true
	}
	g.scheduleRetry(s, endedAt)
	return true
}
