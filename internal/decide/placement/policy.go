package placement

import (
	"math"
	"time"

	"hemlockquay/internal/model"
)

// Figures of the policy for equal weights.
const (
	// baseBand is how far above the mean the hottest target may be. With two or
	// three slots a target queues noticeably from about 1.2 times the mean on
	// at 70% use; 0.15 leaves no room for that and is above the noise of
	// Poisson arrivals at a few hundred requests a second and target.
	baseBand = 0.15
	// baseGain is the least worth of a move: the fall of the sum of squared
	// loads over the squared mean, in units of a mean group's part of a mean
	// target, because the price of a move is the keys that it moves. A group of
	// mean load then moves where it leaves a difference of at least the band
	// behind: 2 x 0.15. At 0.25 the loss of one target of ten cost 9 moves, not 7.
	baseGain = 0.3
	// baseChurn is the part of the groups that balancing may move in a minute.
	baseChurn = 0.1
)

// Bounds of the policy, whatever the weights.
const (
	minBand, maxBand   = 0.05, 1.0
	minGain, maxGain   = 0.05, 4.0
	minChurn, maxChurn = 0.01, 0.5
	// unavailableShare is how much the weight of unavailable time adds to the
	// price of a move, against that of churn: a planned move refuses nothing,
	// it only makes the group's callers wait for some tens of milliseconds.
	unavailableShare = 0.5
)

// Policy is what a service's weights make of the figures.
type Policy struct {
	// Band is the imbalance that is left alone: highest over mean, less 1.
	Band float64
	// Gain is the least worth of a move; see baseGain for its unit.
	Gain float64
	// Churn is the part of the groups that balancing may move in a minute.
	Churn float64
}

// PolicyOf returns the policy of the weights. The price of a move against its
// worth is (churn + unavailable/2) / imbalance, and 1 for equal weights: a
// doubled price doubles the band and the least gain, and halves the budget.
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

// budget is a token bucket of moves. It holds at most a quarter of a minute's
// moves, so that quiet hours do not add up to a storm.
type budget struct {
	tokens  float64
	last    time.Duration
	started bool
}

// burstShare is the part of a minute's budget that may be spent at once.
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
