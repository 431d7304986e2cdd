// Package repeats bounds how often a service sees a request more than once.
//
// Load pattern: a third of a service's targets lose their answers, or all of them
// are full and answer nothing. Each VM repeats what failed; without a bound that
// all VMs keep together, the service gets a multiple of its load when it can do
// least. The operators state the bound as a share of the requests and a constant,
// over any window and over all VMs.
//
// Each VM keeps a token bucket: a request earns a share of a repeat, and few repeats
// can be saved. What a VM sends in a window is then at most what the window's own
// requests have earned, and what was saved before. The sum over all VMs is within the
// bound without a message, whichever processes end or start, and wherever callers move:
// a new process has saved nothing, and one that ended cannot have spent more than it
// earned and had saved.
package repeats

import (
	"fmt"
	"time"
)

// Limit is what operators allow for one service over all VMs.
type Limit struct {
	// Ratio is the repeats allowed for each request, Slack those on top.
	Ratio, Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
}

const (
	// ratioEarned is the part of the ratio that a request earns. The rest covers what is saved
	// of it, and requests near the edge of a window, which are counted in one by us and in
	// the next by others.
	ratioEarned = 0.9
	// capacityWindows is how much of a window's requests may be saved, as repeats.
	capacityWindows = 1.0 / bucketCount
	// slackCapacity and slackRefill are the parts of the constant that all VMs together may
	// save, and earn in each window without a request.
	slackCapacity, slackRefill = 0.7, 0.2
	// minCapacity lets a VM save one repeat where its part of the constant is less. The sum
	// stays within the constant while there are at most 1-slackEarned VMs for each of it.
	minCapacity = 1
	// bucketCount divide the window over which requests are counted.
	bucketCount = 20
)

// Budget is that of one service at one VM, in one life of its process. It is not safe for
// concurrent use.
type Budget struct {
	// saved is how many repeats may be sent.
	saved float64
	// refilledAt is until when the part of the constant was earned.
	refilledAt time.Duration
	// requests counts those within the window by buckets of this width, the last of which is current.
	requests    [bucketCount]float64
	bucketWidth time.Duration
	current     int64
	// startedAt is when this VM first counted a request.
	startedAt time.Duration
}

// Decision is whether a repeat may be sent, and what that was decided on.
type Decision struct {
	Granted bool
	// Saved is how many repeats could be sent, MaxSaved how many can be saved.
	Saved, MaxSaved float64
	// Requests are those of the last window.
	Requests float64
	// VMs is over how many VMs the constant is divided; 0: not known.
	VMs int
	// Age is for how long the budget has counted.
	Age time.Duration
}

// String describes the decision in logs.
func (d Decision) String() string {
	return fmt.Sprintf("saved %.1f most %.1f requests %.0f vms %d age %dms", d.Saved, d.MaxSaved, d.Requests, d.VMs, d.Age.Milliseconds())
}

// AddRequest notes a request for the service.
func (b *Budget) AddRequest(l Limit, now time.Duration) {
	b.advance(l, now)
	b.requests[b.current%bucketCount]++
	b.saved += ratioEarned * l.Ratio
}

// TakeRepeat takes one repeat from the budget of a VM that is one of so many, if there is one.
// A VM that does not know how many there are has no part of the constant.
func (b *Budget) TakeRepeat(l Limit, vms int, now time.Duration) Decision {
	d := b.State(l, vms, now)
	if d.Granted {
		b.saved--
	}
	return d
}

// State returns what a repeat would be decided on now.
func (b *Budget) State(l Limit, vms int, now time.Duration) Decision {
	b.advance(l, now)
	d := Decision{Requests: sum(b.requests[:]), VMs: vms, Age: now - b.startedAt}
	d.MaxSaved = capacityWindows * ratioEarned * l.Ratio * d.Requests
	if vms > 0 {
		part := l.Slack / float64(vms)
		d.MaxSaved += slackCapacity * part
		b.saved += slackRefill * part * float64(now-b.refilledAt) / float64(l.Window)
	}
	d.MaxSaved = max(d.MaxSaved, minCapacity)
	b.refilledAt, b.saved = now, min(b.saved, d.MaxSaved)
	d.Saved = b.saved
	d.Granted = d.Saved >= 1
	return d
}

// advance drops the requests that are out of the window.
func (b *Budget) advance(l Limit, now time.Duration) {
	width := l.Window / bucketCount
	at := int64(now / width)
	switch {
	case b.bucketWidth == 0:
		b.startedAt, b.refilledAt, b.bucketWidth, b.current = now, now, width, at
	case b.bucketWidth != width:
		b.requests, b.bucketWidth, b.current = [bucketCount]float64{}, width, at
	case at-b.current >= bucketCount:
		b.requests, b.current = [bucketCount]float64{}, at
	}
	for b.current < at {
		b.current++
		b.requests[b.current%bucketCount] = 0
	}
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}
