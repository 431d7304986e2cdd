// Package fairqueue orders the requests that wait for one target or pool.
//
// Load pattern: one customer sends ten times its contract while the others send
// their usual load, or nightly background work arrives on top of a full interactive
// load. With a FIFO queue every customer waits behind the burst of one, and
// background work either starves or delays interactive requests.
//
// Requests of one class are ordered by start-time fair queueing: each request is
// tagged with the virtual time at which its customer's share reaches it, and the
// lowest tag is served first. The cost of a request is its expected service time, so
// shares are shares of slot time rather than of request counts, and long jobs are
// charged to the customer that sends them. Interactive requests are served before
// background requests. To keep background work from starving, each second of
// interactive service earns it credit in proportion to its guaranteed share (floor),
// and a background request is served as soon as the credit covers its cost. Credit
// accrues only while background requests wait, so it cannot pile up when idle.
//
// Each class has its own limit, so neither can crowd out the other. When a class is
// over its limit, a customer that holds more than its share loses its newest
// request, possibly the one that has just arrived, so a burst is paid for by the
// customer that sent it. The newest request is dropped because older ones have a
// better chance of being served in time.
//
// Rationale: start-time fair queueing does not need the service rate, which is
// unknown and varies here, and deviates from ideal shares by at most one request per
// customer.
package fairqueue

import (
	"container/heap"
)

// Class is the priority class of an item.
type Class int

// Priority classes, highest first.
const (
	Interactive Class = iota
	Background
	numClasses
)

// Item is a waiting request. The caller sets the exported fields and must not change
// them while the item waits.
type Item[T any] struct {
	Value    T
	Customer string
	Class    Class
	// Weight is the customer's share relative to other customers of the class, at least 1.
	Weight int
	// Cost is the expected service time in seconds, above 0.
	Cost float64
	// Long marks items that Next skips when it is called with includeLong false.
	Long bool

	// flow is nil unless the item waits.
	flow *flow[T]
	// start is the virtual start time, by which items are ordered.
	start float64
	seq   uint64
}

// Waiting reports whether the item is in the queue.
func (i *Item[T]) Waiting() bool { return i.flow != nil }

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	limit int
	floor float64

	classes [numClasses]classQueue[T]
	seq     uint64
	size    int
	// backgroundCredit is the service time that background work has earned, in seconds.
	backgroundCredit float64
}

// New returns a queue of at most limit items per class. Background work is guaranteed
// the share floor of the service time, 0 to 0.5.
func New[T any](limit int, floor float64) *Queue[T] {
	q := &Queue[T]{limit: limit}
	q.SetFloor(floor)
	for c := range q.classes {
		q.classes[c].flows = make(map[string]*flow[T])
	}
	return q
}

// SetFloor changes the share that is guaranteed to background work. Values outside
// 0 to 0.5 are clamped.
func (q *Queue[T]) SetFloor(floor float64) { q.floor = min(max(floor, 0), 0.5) }

// Len returns the number of waiting items in both classes.
func (q *Queue[T]) Len() int { return q.size }

// ClassLen returns the number of waiting items of a class.
func (q *Queue[T]) ClassLen(c Class) int { return q.classes[c].size }

// Work returns the summed cost of the waiting items of a class, in seconds.
func (q *Queue[T]) Work(c Class) float64 { return q.classes[c].work }

// Push adds an item. If its class is over the limit afterwards, it drops and returns
// one item of the class, possibly i itself; otherwise it returns nil.
func (q *Queue[T]) Push(i *Item[T]) *Item[T] {
	q.insert(i)
	if q.classes[i.Class].size <= q.limit {
		return nil
	}
	return q.DropNewestOverShare(i.Class)
}

func (q *Queue[T]) insert(i *Item[T]) {
	l := &q.classes[i.Class]
	f := l.flows[i.Customer]
	if f == nil {
		f = &flow[T]{customer: i.Customer, class: i.Class, heapIndex: -1}
		l.flows[i.Customer] = f
	}
	f.weight = float64(max(i.Weight, 1))
	i.start = max(l.virtualTime, f.finish)
	f.finish = i.start + i.Cost/f.weight
	q.seq++
	i.seq = q.seq
	f.items = append(f.items, i)
	q.updateTotals(i, f, 1)
	if f.heapIndex < 0 {
		heap.Push(&l.order, f)
	}
}

// Requeue puts back an item that Next returned and that was not run. The item keeps
// its start time and position, since its cost was already charged to its customer.
func (q *Queue[T]) Requeue(i *Item[T]) {
	q.revertCredit(i)
	l := &q.classes[i.Class]
	f := l.flows[i.Customer]
	if f == nil {
		f = &flow[T]{customer: i.Customer, class: i.Class, heapIndex: -1, weight: float64(max(i.Weight, 1)), finish: i.start}
		l.flows[i.Customer] = f
	}
	at := f.position(i)
	f.items = append(f.items, nil)
	copy(f.items[at+1:], f.items[at:])
	f.items[at] = i
	q.updateTotals(i, f, 1)
	if f.heapIndex < 0 {
		heap.Push(&l.order, f)
		return
	}
	heap.Fix(&l.order, f.heapIndex)
}

// updateTotals adjusts the counts and sums for an item that enters the queue (n = 1) or
// leaves it (n = -1).
func (q *Queue[T]) updateTotals(i *Item[T], f *flow[T], n int) {
	l := &q.classes[i.Class]
	q.size += n
	l.size += n
	l.work += float64(n) * i.Cost
	f.work += float64(n) * i.Cost
	if !i.Long {
		f.shortItems += n
	}
	i.flow = nil
	if n > 0 {
		i.flow = f
	}
	if l.size == 0 {
		l.work = 0
	}
}

// Next removes and returns the item to serve. Long items are skipped unless
// includeLong is set. It returns nil if no item qualifies.
func (q *Queue[T]) Next(includeLong bool) *Item[T] {
	first, second := Interactive, Background
	if q.backgroundDue(includeLong) {
		first, second = second, first
	}
	i := q.nextOfClass(first, includeLong)
	if i == nil {
		i = q.nextOfClass(second, includeLong)
	}
	if i != nil {
		q.updateCredit(i)
	}
	return i
}

// backgroundDue reports whether the credit of background work covers its next item.
func (q *Queue[T]) backgroundDue(includeLong bool) bool {
	f := q.classes[Background].nextFlow(includeLong)
	if f == nil {
		return false
	}
	return q.backgroundCredit >= f.firstEligible(includeLong).Cost
}

// updateCredit adjusts the background credit for an item that is served. Interactive
// service of cost c earns waiting background work c*floor/(1-floor).
func (q *Queue[T]) updateCredit(i *Item[T]) {
	switch {
	case i.Class == Background:
		q.backgroundCredit = max(q.backgroundCredit-i.Cost, 0)
	case q.classes[Background].size > 0:
		q.backgroundCredit += i.Cost * q.floor / (1 - q.floor)
	}
	if q.classes[Background].size == 0 {
		q.backgroundCredit = 0
	}
}

// revertCredit undoes updateCredit for an item that was not run.
func (q *Queue[T]) revertCredit(i *Item[T]) {
	switch {
	case i.Class == Background:
		q.backgroundCredit += i.Cost
	case q.classes[Background].size > 0:
		q.backgroundCredit = max(q.backgroundCredit-i.Cost*q.floor/(1-q.floor), 0)
	}
}

func (q *Queue[T]) nextOfClass(c Class, includeLong bool) *Item[T] {
	l := &q.classes[c]
	f := l.nextFlow(includeLong)
	if f == nil {
		return nil
	}
	i := f.firstEligible(includeLong)
	l.virtualTime = max(l.virtualTime, i.start)
	q.removeWaiting(i)
	return i
}

// Remove takes a waiting item out of the queue, for example after its caller has
// disconnected. It does nothing if the item does not wait.
func (q *Queue[T]) Remove(i *Item[T]) {
	if i.flow != nil {
		q.removeWaiting(i)
	}
}

func (q *Queue[T]) removeWaiting(i *Item[T]) {
	f, l := i.flow, &q.classes[i.Class]
	at := f.position(i)
	if at == 0 {
		f.items[0] = nil
		f.items = f.items[1:]
	} else {
		copy(f.items[at:], f.items[at+1:])
		f.items[len(f.items)-1] = nil
		f.items = f.items[:len(f.items)-1]
	}
	q.updateTotals(i, f, -1)
	if len(f.items) > 0 {
		heap.Fix(&l.order, f.heapIndex)
		return
	}
	heap.Remove(&l.order, f.heapIndex)
	l.dropIdle()
}

// Ahead returns how much of the class's waiting work would be served before a request
// that the customer pushed now, in seconds of service time.
func (q *Queue[T]) Ahead(customer string, c Class) float64 {
	l := &q.classes[c]
	start := l.virtualTime
	if f := l.flows[customer]; f != nil {
		start = max(start, f.finish)
	}
	ahead := 0.0
	for _, f := range l.order {
		if f.customer == customer {
			ahead += f.work
			continue
		}
		ahead += min(f.work, max(start-f.items[0].start, 0)*f.weight)
	}
	return ahead
}
