package placement

import (
	"math"
	"time"

	"hemlockquay/internal/model"
)

// Policy values for equal weights.
const (
	// baseBand is how far the load of the most loaded target may exceed the mean.
	// At 70% utilisation a target with two or three slots queues noticeably from
	// about 1.2 times the mean on. A band of 0.15 stays below that and above the
	// noise of Poisson arrivals at a few hundred requests per second and target.
	baseBand = 0.15
	// baseGain is the least gain for which a group moves: the decrease of the sum of
	// squared loads, divided by the squared mean load. Its unit is the share of a mean
	// group in the load of a mean target, because the cost of a move grows with the
	// keys that it moves. With 0.3, a group of mean load moves if the two targets
	// still differ by at least the band afterwards (2 x 0.15). With 0.25 the loss of
	// one target of ten caused 9 moves instead of 7.
	baseGain = 0.3
	// baseChurn is the share of the groups that balancing may move per minute.
	baseChurn = 0.1
)

// Bounds of the policy for any weights.
const (
	minBand, maxBand   = 0.05, 1.0
	minGain, maxGain   = 0.05, 4.0
	minChurn, maxChurn = 0.01, 0.5
	// unavailableShare is the factor for the weight of unavailable time in the cost
	// of a move; that of churn has factor 1. It is lower because a planned move
	// refuses no request: callers of the group wait for some tens of milliseconds.
	unavailableShare = 0.5
)

// Policy is the balancing policy that follows from the weights of a service.
type Policy struct {
	// Band is the tolerated imbalance: highest load over mean load, minus 1.
	Band float64
	// Gain is the least gain for which a group moves; see baseGain for its unit.
	Gain float64
	// Churn is the share of the groups that balancing may move per minute.
	Churn float64
}

// PolicyOf returns the policy for the weights. The cost of a move relative to its
// gain is (churn + unavailable/2) / imbalance, scaled to 1 for equal weights.
// Twice the relative cost doubles the band and the least gain and halves the budget.
func PolicyOf(w model.Weights) Policy {
	price := (w.Churn + unavailableShare*w.Unavailable) / (1 + unavailableShare)
	ratio := price / w.Imbalance
	if math.IsNaN(ratio) {
		ratio = 1
	}
	return Policy{
		Band:  clamp(baseBand*ratio, minBand, maxBand),
		Gain:  clamp(baseGain*ratio, minGain, maxGain),
		Churn: clamp(baseChurn/ratio, minChurn, maxChurn),
	}
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }

// budget is a token bucket of moves. Its capacity is burstShare of the moves of one
// minute, so that a long idle period does not allow a burst of moves.
type budget struct {
	tokens  float64
	last    time.Duration
	started bool
}

// burstShare is the share of a minute's budget that may be spent at once.
const burstShare = 0.25

func (b *budget) refill(now time.Duration, perMinute float64) {
	most := max(1, perMinute*burstShare)
	if !b.started {
		b.started, b.tokens, b.last = true, most, now
		return
	}
	b.tokens = min(most, b.tokens+perMinute*(now-b.last).Minutes())
	b.last = now
}

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
