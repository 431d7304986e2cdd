// Package fairqueue orders the requests that wait for one target or pool.
//
// Load pattern: one customer sends ten times its contract while others send what
// they always do; nightly background work stands beside a full interactive load.
// Without it, first come is first served: the burst of one customer is waited
// out by all, and background work either starves or makes interactive callers
// wait behind it.
//
// Inside a class, start-time fair queueing: each request gets the virtual time at
// which its customer's share reaches it, and the lowest goes first. The cost of a
// request is its expected service time, so that a share is one of slots and not
// of requests: a customer of long jobs pays for them. Interactive work goes before
// background work, but for each second of interactive work done while background
// work waits, background work earns its floor and is served when it has earned
// the next request. Nothing is earned while none waits, so no old claims build up.
//
// Each class is bounded by itself, so that neither pushes the other out. When it is
// full the customer that holds most of it for its share loses its newest request,
// which may be the one that just came: a burst costs the customer that sent it. The newest goes, since the oldest has the best
// prospect of being served in time.
//
// Grounds: start-time fair queueing needs no rate of the server, which is unknown
// and varies here, and is at most one request per customer away from ideal shares.
package fairqueue

import (
	"container/heap"
)

// Class is an item's class.
type Class int

// The numClasses, most urgent first.
const (
	Interactive Class = iota
	Background
	numClasses
)

// Item is a waiting request. The exported fields are the caller's and stay
// unchanged while the item waits.
type Item[T any] struct {
	Value    T
	Customer string
	Class    Class
	// Weight is the customer's share against others of the class, at least 1.
	Weight int
	// Cost is the expected service time, seconds, above 0.
	Cost float64
	// Long items are passed over where the caller of Next asks for it.
	Long bool

	flow *flow[T]
	// start is the virtual time at which the item may go.
	start float64
	seq   uint64
}

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool { return i.flow != nil }

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	limit int
	floor float64

	classes [numClasses]classQueue[T]
	seq     uint64
	size    int
	// backgroundCredit is the background work that is due, seconds of service.
	backgroundCredit float64
}

// New returns a queue of at most limit items in each class that guarantees background work
// the share floor, 0 to 0.5.
func New[T any](limit int, floor float64) *Queue[T] {
	q := &Queue[T]{limit: limit}
	q.SetFloor(floor)
	for c := range q.classes {
		q.classes[c].flows = make(map[string]*flow[T])
	}
	return q
}

// SetFloor changes the share of background work.
func (q *Queue[T]) SetFloor(floor float64) { q.floor = min(max(floor, 0), 0.5) }

// Len returns how many items wait.
func (q *Queue[T]) Len() int { return q.size }

// ClassLen returns how many items of a class wait.
func (q *Queue[T]) ClassLen(c Class) int { return q.classes[c].size }

// Work returns the summed cost of a class, seconds.
func (q *Queue[T]) Work(c Class) float64 { return q.classes[c].work }

// Push adds an item. When its class is over the limit it returns the item that
// gives way, which may be the one that came; nil otherwise.
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

// Requeue puts an item back that Next returned and that was not run. It keeps
// its place: its share was spent once already.
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

// Next takes out the item to serve. With includeLong false long items are passed
// over. It returns nil if none qualifies.
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

// backgroundDue reports whether background work has earned its next item.
func (q *Queue[T]) backgroundDue(includeLong bool) bool {
	f := q.classes[Background].nextFlow(includeLong)
	if f == nil {
		return false
	}
	return q.backgroundCredit >= f.firstEligible(includeLong).Cost
}

// updateCredit keeps the account of the floor. A turn of cost c that interactive work
// gets is worth c*floor/(1-floor) to the background work that waits.
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

// revertCredit takes back what earn did.
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

// Remove takes an item out, as when its caller went away.
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

// Ahead returns how much of the class's waiting work goes before a request that
// the customer would push now, seconds of service.
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
