package lease

import (
	"math"
	"slices"
)

// Limit is the fraction of the requests for a slice that the VMs admit, in steps: each step admits a
// fifth less than the one before. With steps, small changes of the load need not be sent to all VMs.
type Limit uint8

const (
	// Unlimited admits all requests.
	Unlimited Limit = 0
	// limitStep is the ratio of the fractions of two successive steps.
	limitStep = 0.8
	// maxLimit is the last step. It admits less than one request in ten thousand.
	maxLimit Limit = 42
	// minLimitChange is the number of steps by which a limit must change to be replaced.
	minLimitChange = 2
)

// NewLimit returns the limit closest to a fraction from 0 to 1. It returns the last limit if the change
// is less than minLimitChange.
func NewLimit(fraction float64, last Limit) Limit {
	if fraction >= 1 {
		return Unlimited
	}
	if fraction <= maxLimit.Fraction() {
		return maxLimit
	}
	now := Limit(max(1, math.Round(math.Log(fraction)/math.Log(limitStep))))
	if last != Unlimited && max(now, last)-min(now, last) < minLimitChange {
		return last
	}
	return now
}

// Fraction returns the fraction of the requests that is admitted, from 0 to 1.
func (l Limit) Fraction() float64 { return math.Pow(limitStep, float64(min(l, maxLimit))) }

// omitIfUnlimited returns nil if all limits are Unlimited.
func omitIfUnlimited(limits []Limit) []Limit {
	if slices.ContainsFunc(limits, func(l Limit) bool { return l != Unlimited }) {
		return limits
	}
	return nil
}
