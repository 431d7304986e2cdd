package fairqueue

import (
	"sort"
)

// flow holds the waiting items of one customer in one class.
type flow[T any] struct {
	customer string
	class    Class
	weight   float64
	// items are sorted by sequence number, and hence by start time.
	items []*Item[T]
	// finish is the virtual finish time of the newest item.
	finish float64
	// work is the summed cost of items.
	work float64
	// shortItems is the number of items that are not long.
	shortItems int
	// heapIndex is the position in the class's heap, -1 while the flow has no items.
	heapIndex int
}

// classQueue holds the flows of one class. Flows without items are deleted once virtual
// time has reached their finish time, so memory is proportional to the number of active
// customers.
type classQueue[T any] struct {
	flows map[string]*flow[T]
	order flowHeap[T]
	// virtualTime is the highest start time of the items served so far.
	virtualTime float64
	work        float64
	size        int
}

// nextFlow returns the flow to serve next, nil if no item qualifies.
func (l *classQueue[T]) nextFlow(includeLong bool) *flow[T] {
	if len(l.order) == 0 {
		return nil
	}
	if top := l.order[0]; includeLong || !top.items[0].Long {
		return top
	}
	// The first flow starts with a long item, and long items are excluded. Only in this
	// case are all flows scanned.
	var best *flow[T]
	for _, f := range l.order {
		if f.shortItems > 0 && (best == nil || f.firstEligible(false).start < best.firstEligible(false).start) {
			best = f
		}
	}
	return best
}

// firstEligible returns the first item, or the first that is not long, nil if there is none.
func (f *flow[T]) firstEligible(includeLong bool) *Item[T] {
	for _, i := range f.items {
		if includeLong || !i.Long {
			return i
		}
	}
	return nil
}

// position returns the index of the item in f.items, or the index to insert it at.
func (f *flow[T]) position(i *Item[T]) int {
	return sort.Search(len(f.items), func(n int) bool { return f.items[n].seq >= i.seq })
}

// minFlowsForCleanup is the number of flows below which idle ones are not searched for,
// since they take too little memory to be worth a scan.
const minFlowsForCleanup = 64

// dropIdle deletes flows that have no items and whose finish time has been reached. A
// customer that returns later starts at the current virtual time in either case.
func (l *classQueue[T]) dropIdle() {
	if len(l.flows) < minFlowsForCleanup || len(l.flows) < 2*len(l.order) {
		return
	}
	for customer, f := range l.flows {
		if len(f.items) == 0 && f.finish <= l.virtualTime {
			delete(l.flows, customer)
		}
	}
}

// flowHeap is a heap of flows, ordered by the start time of their first item.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(a, b int) bool {
	x, y := h[a].items[0], h[b].items[0]
	if x.start != y.start {
		return x.start < y.start
	}
	return x.seq < y.seq
}

func (h flowHeap[T]) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}
