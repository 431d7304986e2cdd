package lease

import "time"

// HandleResult handles the end of an order, which was sent and over at these times. It
// returns false for an order that no slice waits for any more.
func (g *Grantor) HandleResult(o Order, r Result, handover string, sent, over time.Duration) bool {
	if o.Fence>>epochShift != g.record.Epoch {
		// An order of an earlier epoch: its fence is below ours, so its end says
		// nothing of what the target holds now.
		return false
	}
	g.contact(o.Target).ended(r, sent, over, g.timing.Retry)
	i := Index(g.record.Slices, o.From)
	s, sl := &g.states[i], &g.record.Slices[i]
	if sl.From != o.From || sl.To != o.To {
		// The slice was divided while the order was in flight; Divide has
		// dated what it may have done.
		return false
	}
	s.pending = false
	if o.Kind == Release {
		return g.released(i, o, r, handover, over)
	}
	if !sl.Owner.SameIncarnation(o.Target) || s.fence != o.Fence {
		g.overtaken(s, sl, o, r, over)
		return false
	}
	switch r {
	case Done:
		if s.moved {
			g.note(FirstGranted, i, Owner{})
		}
		if s.moved && o.Handover == "" {
			s.coldUntil = over + g.timing.Cold
		}
		s.granted, s.acked, s.handover, s.moved = true, max(s.acked, sent), "", false
		s.outAt = holdEnd(over, g.timing.Hold)
	case Unanswered:
		// The connection is gone; others that were opened to the same life are not.
		s.outAt = max(s.outAt, holdEnd(over, g.timing.Hold))
		g.failed(s, over)
	case Unreached:
		delete(g.confirmedLives, o.Target)
		g.failed(s, over)
	case Misdirected:
		g.MarkEnded(o.Target)
		g.failed(s, over)
	case Fenced:
		s.fence = g.fence()
		g.failed(s, over)
	}
	return true
}

// overtaken dates the previous owner's hold after a grant that was in flight
// while the slice was given to another.
func (g *Grantor) overtaken(s *state, sl *Slice, o Order, r Result, over time.Duration) {
	if !sl.Previous.SameIncarnation(o.Target) {
		return
	}
	switch r {
	case Done:
		s.previousOut = holdEnd(over, g.timing.Hold)
	case Unanswered:
		s.previousOut = max(s.previousOut, holdEnd(over, g.timing.Hold))
	}
}

func (g *Grantor) failed(s *state, now time.Duration) {
	s.retryAt = now + g.timing.Retry
}

func (g *Grantor) released(i int, o Order, r Result, handover string, over time.Duration) bool {
	s, sl := &g.states[i], &g.record.Slices[i]
	if !sl.Previous.SameIncarnation(o.Target) {
		return false
	}
	// Where another target has the address, the process that had it is gone.
	if r == Done || r == Misdirected {
		s.previousOut, s.handover, s.released = over, handover, true
		return true
	}
	g.failed(s, over)
	return true
}
