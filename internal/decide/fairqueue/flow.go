package fairqueue

import (
	"sort"
)

// flow is what one customer has waiting in one class.
type flow[T any] struct {
	customer string
	class    Class
	weight   float64
	// items are in the order of their start times.
	items []*Item[T]
	// finish is the virtual time at which the newest item's share ends.
	finish float64
	// work is the summed cost of items.
	work       float64
	shortItems int
	heapIndex  int
}

// classQueue is one class. Flows without items are forgotten once their share has
// been passed, so memory follows the customers that are active.
type classQueue[T any] struct {
	flows map[string]*flow[T]
	order flowHeap[T]
	// virtualTime is the start time of the item served last: virtual time.
	virtualTime float64
	work        float64
	size        int
}

// nextFlow returns the flow whose turn it is.
func (l *classQueue[T]) nextFlow(includeLong bool) *flow[T] {
	if len(l.order) == 0 {
		return nil
	}
	if top := l.order[0]; includeLong || !top.items[0].Long {
		return top
	}
	// The customer in turn has a long job first and long jobs must wait. Only
	// then are the flows looked through one by one.
	var best *flow[T]
	for _, f := range l.order {
		if f.shortItems > 0 && (best == nil || f.firstEligible(false).start < best.firstEligible(false).start) {
			best = f
		}
	}
	return best
}

func (f *flow[T]) firstEligible(includeLong bool) *Item[T] {
	for _, i := range f.items {
		if includeLong || !i.Long {
			return i
		}
	}
	return nil
}

// position returns the index at which the item is or would be.
func (f *flow[T]) position(i *Item[T]) int {
	return sort.Search(len(f.items), func(n int) bool { return f.items[n].seq >= i.seq })
}

// minFlowsForCleanup is how many customers are remembered before idle ones are looked
// for; below it the memory is not worth the look.
const minFlowsForCleanup = 64

// dropIdle drops customers that have nothing waiting and whose share is used up
// or unclaimed.
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

// flowHeap orders flows by the start time of their first item.
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
