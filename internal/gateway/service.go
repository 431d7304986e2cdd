package gateway

import (
	"time"

	"hemlockquay/internal/decide/duration"
	"hemlockquay/internal/decide/urgency"
)

// request counts a request for a service, of a priority.
func (s *routingState) request(service string, priority int, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgetLocked(service).Request(s.limit, now)
	m := s.urgency[service]
	if m == nil {
		m = new(urgency.Meter)
		s.urgency[service] = m
	}
	m.Record(priority, now)
}

// urgentLocked reports whether requests of a priority may have the last places.
func (s *routingState) urgentLocked(service string, priority int) bool {
	m := s.urgency[service]
	return m != nil && m.MostUrgent(priority)
}

// usualLocked returns the usual service time of a route; 0 while it is not known.
func (s *routingState) usualLocked(service, routeName string) time.Duration {
	t := s.durations[service]
	if t == nil || !t.Known() {
		return 0
	}
	return t.Expect(duration.Kind{Part: routeName})
}

func (s *routingState) learnLocked(service, routeName string, took time.Duration) {
	t := s.durations[service]
	if t == nil {
		t = duration.NewTable()
		s.durations[service] = t
	}
	t.Add(duration.Kind{Part: routeName}, took)
}
