package route

import "sync"

// Rotation distributes requests over the services of a route in proportion to
// their weights, by smooth weighted round-robin. It is safe for concurrent use.
//
// It keeps each service within about one request of its share, while a random choice
// deviates by several percent over a few seconds.
type Rotation struct {
	mu      sync.Mutex
	splits  []Split
	credits []float64
	total   float64
}

// NewRotation returns a rotation over the splits. Splits of weight 0 get no requests.
func NewRotation(splits []Split) *Rotation {
	s := &Rotation{splits: splits, credits: make([]float64, len(splits))}
	for _, p := range splits {
		s.total += p.Weight
	}
	return s
}

// Next returns the service for the next request.
func (s *Rotation) Next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, p := range s.splits {
		s.credits[i] += p.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.total
	return s.splits[best].Service
}
