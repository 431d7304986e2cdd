// Package budget bounds what a process takes of a resource, such as memory or descriptors, over all parts that use it.
//
// Load that it answers: clients that fill several parts at once. Where each part has a bound of its own, their sum may be
// more than the machine has.
package budget

import (
	"sync"

	metrics "github.com/rcrowley/go-metrics"
)

// Budget is the bound of a process for one resource. It is safe for concurrent use.
type Budget struct {
	refused metrics.Counter

	mu          sync.Mutex
	limit, used int64
}

// New returns a budget of limit units. The registry gets the gauges NAME.used and NAME.limit, and the counter NAME.refused of
// the calls of TryAcquire that were refused.
func New(name string, limit int64, registry metrics.Registry) *Budget {
	b := &Budget{limit: limit, refused: metrics.GetOrRegisterCounter(name+".refused", registry)}
	metrics.NewRegisteredFunctionalGauge(name+".used", registry, b.Used)
	metrics.NewRegisteredFunctionalGauge(name+".limit", registry, func() int64 { return limit })
	return b
}

// Used returns the units that all shares have acquired.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Share returns a part of the budget that never has more than limit units. The limits of all shares together may exceed
// that of the budget: what one part does not use, another may.
func (b *Budget) Share(limit int64) *Share { return &Share{budget: b, limit: limit} }

// Share is what one part of the process may take of a budget. It is safe for concurrent use.
type Share struct {
	budget *Budget
	// limit is the bound of the part, and used what it has acquired. used is guarded by budget.mu.
	limit, used int64
}

// TryAcquire acquires n units and reports whether they are within the bounds of the share and of the budget. It does not
// wait. A nil Share has no bound.
func (s *Share) TryAcquire(n int64) bool {
	if s == nil {
		return true
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.used+n > s.limit || b.used+n > b.limit {
		b.refused.Inc(1)
		return false
	}
	s.used += n
	b.used += n
	return true
}

// Release returns n units that were acquired.
func (s *Share) Release(n int64) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.used -= n
	s.budget.used -= n
}

// Used returns the units that the share has acquired.
func (s *Share) Used() int64 {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.used
}
