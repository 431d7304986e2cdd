package route

import "sync"

// Rotation deals requests to the services of a route in the ratio of their
// weights. It is safe for concurrent use.
// A random choice strays by several percent within seconds. Smooth weighted rotation keeps every part
// within one request of its share.
type Rotation struct {
	mu      sync.Mutex
	splits  []Split
	credits []float64
	total   float64
}

// NewRotation returns a rotation over the splits. Weights of zero get nothing.
func NewRotation(splits []Split) *Rotation {
	s := &Rotation{splits: splits, credits: make([]float64, len(splits))}
	for _, p := range splits {
		s.total += p.Weight
	}
	return s
}

// Next returns the service of the next request.
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
