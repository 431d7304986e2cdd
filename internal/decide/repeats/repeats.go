// Package repeats limits how many requests to a service are sent again.
//
// Load pattern: a third of a service's targets lose their answers, or all of them are full and
// answer nothing. Each VM repeats what failed. Without a bound on all VMs together, the service
// gets a multiple of its load when its capacity is lowest. Operators set the bound as a ratio of
// the requests plus a constant (the slack), over any window and over all VMs.
//
// Each VM keeps a token bucket: each request earns a fraction of a repeat, and the bucket's
// capacity is small. In any window, a VM therefore sends at most the repeats that the requests
// of the window have earned plus those saved before it. The sum over all VMs stays within the
// bound without any messages between them, whichever processes stop or start and wherever
// callers move: a new process has saved nothing, and a stopped one cannot have spent more than
// it had earned and saved.
package repeats

import (
	"fmt"
	"time"
)

// Limit is the bound that operators set on the repeats of one service over all VMs.
type Limit struct {
	// Ratio is the number of repeats allowed per request, Slack the number allowed in addition.
	Ratio, Slack float64
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
}

const (
	// ratioEarned is the fraction of Limit.Ratio that a request earns. The rest covers repeats
	// that are saved for a later window, and requests near the edge of a window, which this VM
	// may count in one window and an observer in the next.
	ratioEarned = 0.9
	// capacityWindows is the fraction of a window whose earned repeats may be saved.
	capacityWindows = 1.0 / bucketCount
	// slackCapacity and slackRefill are the fractions of Limit.Slack that all VMs together may
	// save, and earn in each window independently of requests.
	slackCapacity, slackRefill = 0.7, 0.2
	// minCapacity lets a VM save one repeat even if its capacity would be less. The sum over all
	// VMs stays within the slack while there are at most (1-slackRefill)*Slack VMs.
	minCapacity = 1
	// bucketCount is the number of buckets into which the window is divided to count requests.
	bucketCount = 20
)

// Budget limits the repeats that one VM sends to one service. It starts empty with the process.
// It is not safe for concurrent use.
type Budget struct {
	// saved is the number of repeats that may be sent.
	saved float64
	// refilledAt is the time up to which this VM's part of the slack was added to saved.
	refilledAt time.Duration
	// requests counts the requests of the window in buckets of bucketWidth; current is the number
	// of the latest bucket, counted from time 0.
	requests    [bucketCount]float64
	bucketWidth time.Duration
	current     int64
	// startedAt is when the budget was first used.
	startedAt time.Duration
}

// Decision reports whether a repeat may be sent, and the state that the decision is based on.
type Decision struct {
	Granted bool
	// Saved is the number of saved repeats before this one, MaxSaved the capacity.
	Saved, MaxSaved float64
	// Requests is the number of requests in the last window.
	Requests float64
	// VMs is the number of VMs that share the slack, or 0 if it is not known.
	VMs int
	// Age is the time since the budget was first used.
	Age time.Duration
}

// String formats the decision for logs.
func (d Decision) String() string {
	return fmt.Sprintf("saved %.1f most %.1f requests %.0f vms %d age %dms", d.Saved, d.MaxSaved, d.Requests, d.VMs, d.Age.Milliseconds())
}

// AddRequest counts a request to the service.
func (b *Budget) AddRequest(l Limit, now time.Duration) {
	b.advance(l, now)
	b.requests[b.current%bucketCount]++
	b.saved += ratioEarned * l.Ratio
}

// TakeRepeat takes one repeat from the budget if one is saved. vms is the number of VMs that
// share the slack. If it is 0, the number is not known and this VM gets no part of the slack.
func (b *Budget) TakeRepeat(l Limit, vms int, now time.Duration) Decision {
	d := b.State(l, vms, now)
	if d.Granted {
		b.saved--
	}
	return d
}

// State returns the decision that TakeRepeat would make now, without taking a repeat.
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

// advance drops the requests that have left the window, and all of them if the window changed.
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
