package lease

import (
	"math"
	"slices"
)

// Limit is which part of the requests for a slice the VMs let through: each step is a fifth less
// than the one before. Steps keep small changes of the load from being sent to all VMs.
type Limit uint8

const (
	// Unlimited lets all through.
	Unlimited Limit = 0
	// limitStep is the ratio of a step to the one before.
	limitStep = 0.8
	// maxLimit is the last step, under one request in ten thousand.
	maxLimit Limit = 42
	// minLimitChange is by how many steps a limit must change to be replaced.
	minLimitChange = 2
)

// NewLimit returns the limit that is closest to a part, from 0 to 1. It keeps the last limit
// if that is close enough.
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

// Fraction returns the part of the requests that is let through, from 0 to 1.
func (l Limit) Fraction() float64 { return math.Pow(limitStep, float64(min(l, maxLimit))) }

// omitIfUnlimited returns no limits where none limits anything.
func omitIfUnlimited(limits []Limit) []Limit {
	if slices.ContainsFunc(limits, func(l Limit) bool { return l != Unlimited }) {
		return limits
	}
	return nil
}
