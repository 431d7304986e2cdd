package gateway

import (
	"time"

	"hemlockquay/internal/decide/duration"
	"hemlockquay/internal/decide/urgency"
)

// recordRequest counts a request to a service by its priority.
func (s *routingState) recordRequest(service string, priority int, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgetLocked(service).AddRequest(s.repeatLimit, now)
	m := s.urgency[service]
	if m == nil {
		m = new(urgency.Meter)
		s.urgency[service] = m
	}
	m.Record(priority, now)
}

// mayUseReserveLocked reports whether requests of this priority may use the reserve, the longer
// queue for the most urgent requests. It needs s.mu.
func (s *routingState) mayUseReserveLocked(service string, priority int) bool {
	m := s.urgency[service]
	return m != nil && m.MostUrgent(priority)
}

// outrankedLocked reports whether more urgent requests compete with those of this priority. It needs s.mu.
func (s *routingState) outrankedLocked(service string, priority int) bool {
	m := s.urgency[service]
	return m != nil && m.Outranked(priority)
}

// usualDurationLocked returns the usual service time of a route, or 0 if it is not known. It needs
// s.mu.
func (s *routingState) usualDurationLocked(service, routeName string) time.Duration {
	t := s.durations[service]
	if t == nil || !t.Known() {
		return 0
	}
	return t.Expect(duration.Kind{Part: routeName})
}

// meanDurationLocked returns the mean service time of a service, or 0 if it is not known. It needs s.mu.
func (s *routingState) meanDurationLocked(service string) time.Duration {
	if t := s.durations[service]; t != nil && t.Known() {
		return t.Mean()
	}
	return 0
}

func (s *routingState) recordDurationLocked(service, routeName string, took time.Duration) {
	t := s.durations[service]
	if t == nil {
		t = duration.NewTable()
		s.durations[service] = t
	}
	t.Add(duration.Kind{Part: routeName}, took)
}
