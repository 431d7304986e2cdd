package fairqueue

// DropIfOverShare removes an item that was just pushed if it still waits and its customer
// holds more than its share of the class. It reports whether the item was removed.
//
// Load pattern: sustained overload by several customers. If the customer with the most
// waiting work always lost its newest item, that item would already have waited: with
// exponential gaps, 4.6 times the customer's mean gap at the 99th percentile, which is
// 6 ms for two customers with 750 requests a second each and 300 ms for a hundred with
// 15 each. The item that has just arrived has not waited and can be refused at once. If
// its customer is below its share, nothing needs to be dropped for it: customers below
// their shares cannot overload the slots by themselves.
func (q *Queue[T]) DropIfOverShare(i *Item[T]) bool {
	if !i.Waiting() || !i.flow.overShare(q.classes[i.Class].fairWorkPerWeight(i.Cost)) {
		return false
	}
	q.drop(i)
	return true
}

// drop removes the newest item of a customer, which is not charged for it.
func (q *Queue[T]) drop(i *Item[T]) {
	i.flow.finish = i.start
	q.removeWaiting(i)
}

// DropNewestOverShare removes and returns the newest item among the customers that hold
// more than their share of the class. It returns nil if the class is empty.
func (q *Queue[T]) DropNewestOverShare(c Class) *Item[T] {
	l := &q.classes[c]
	f := l.newestOverShare()
	if f == nil {
		return nil
	}
	i := f.newest()
	q.drop(i)
	return i
}

func (f *flow[T]) newest() *Item[T] { return f.items[len(f.items)-1] }

// newestOverShare returns the flow that holds the newest item among the flows over their
// share, nil if the class is empty. It scans all flows that have items, but runs only when
// an item must be dropped. The flow with the most work per weight is always over its share.
func (l *classQueue[T]) newestOverShare() *flow[T] {
	var candidate *flow[T]
	for _, f := range l.order {
		if candidate == nil || f.work/f.weight > candidate.work/candidate.weight {
			candidate = f
		}
	}
	if candidate == nil {
		return nil
	}
	perWeight := l.fairWorkPerWeight(candidate.newest().Cost)
	for _, f := range l.order {
		if f.newest().seq > candidate.newest().seq && f.overShare(perWeight) {
			candidate = f
		}
	}
	return candidate
}

// overShare reports whether a customer holds more than its share, or less by at most
// shareTolerance requests. Customers that hold about the same amount alternate in being one
// or two requests below their share; without the tolerance, one refusal in six had to look
// for another customer.
func (f *flow[T]) overShare(perWeight float64) bool {
	share := perWeight * f.weight
	return f.work > share || len(f.items) > shareTolerance && f.work+shareTolerance*f.newest().Cost > share
}

// shareTolerance is counted in requests. It does not apply to a customer that has no more
// requests waiting than that.
const shareTolerance = 4

// fairWorkPerWeight returns the work per weight that each customer may hold after the
// given amount of work is dropped. Shares are max-min fair: what a customer below its share
// does not use is divided among the others. Each pass excludes the customers below the level
// found by the previous one; a few passes are enough.
func (l *classQueue[T]) fairWorkPerWeight(dropped float64) float64 {
	perWeight := 0.0
	for {
		work, weight := -dropped, 0.0
		for _, f := range l.order {
			if f.work/f.weight < perWeight {
				continue
			}
			work += f.work
			weight += f.weight
		}
		if weight == 0 || work/weight <= perWeight {
			return perWeight
		}
		perWeight = work / weight
	}
}
