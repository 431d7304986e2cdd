package gateway

import (
	"time"

	"hemlockquay/internal/decide/pick"
)

// warmupSamples is the number of responses over which warmupCost is averaged. Two or three give a
// first estimate. With many cold keys, the average covers their spread within a second.
const warmupSamples = 8

// warmupCostFor returns the cost of a request for a cold key, in usual requests. It is 1 until it
// was measured.
func (s *routingState) warmupCostFor(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmupCostLocked(service)
}

func (s *routingState) warmupCostLocked(service string) float64 { return max(1, s.warmupCost[service]) }

// recordColdResponseLocked updates the warmup cost from a response to a request for a cold key. It
// leaves the target's slowness and the usual duration unchanged: otherwise responses for cold keys
// would make a target look slow, and its warm keys would be moved. It needs s.mu.
func (s *routingState) recordColdResponseLocked(a *attempt, took time.Duration) {
	if a.usual <= 0 {
		return
	}
	ratio := pick.BoundRatio(float64(took) / (float64(a.usual) * a.rounds * a.target.pick.Slowness()))
	old := s.warmupCostLocked(a.service)
	s.warmupCost[a.service] = old + (ratio-old)/warmupSamples
}
