package gateway

import (
	"time"

	"hemlockquay/internal/decide/pick"
)

// warmupSamples is how many answers the warmupCost reaches over: a first idea after two or
// three, and within a second of many cold keys the mean of their spread.
const warmupSamples = 8

// warmupCostFor returns how many usual requests one for a cold key is worth; 1 until it
// was measured.
func (s *routingState) warmupCostFor(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmupCostLocked(service)
}

func (s *routingState) warmupCostLocked(service string) float64 { return max(1, s.warmupCost[service]) }

// recordColdResponseLocked records the response to a request for a cold key. It says nothing of
// the target's speed, nor of what such requests take.
// Responses for cold keys would make a target look slow, and its warm keys would move on.
func (s *routingState) recordColdResponseLocked(e *attempt, took time.Duration) {
	if e.usual <= 0 {
		return
	}
	ratio := pick.BoundRatio(float64(took) / (float64(e.usual) * e.rounds * e.target.pick.Slowness()))
	old := s.warmupCostLocked(e.service)
	s.warmupCost[e.service] = old + (ratio-old)/warmupSamples
}
