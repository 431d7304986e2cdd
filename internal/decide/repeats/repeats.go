// Package repeats bounds how often a service sees a request more than once.
//
// Load pattern: a third of a service's targets lose their answers, or all of them
// are full and answer nothing. Each VM repeats what failed; without a bound that
// all VMs keep together, the service gets a multiple of its load when it can do
// least. The operators state the bound as a share of the requests and a constant,
// over a sliding window and over all VMs.
//
// Each VM keeps its own part: the share of the requests that it took itself, and
// an equal part of the constant. The parts add up to the bound without a message.
// A VM that starts again has forgotten what it sent in this window, so a part of
// the constant is left unused.
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
	// buckets divide the window; one more is kept, so that the count covers
	// the window at least.
	buckets = 20
	// ratioUsed and slackUsed are the parts of the limit that are used. Requests near
	// the edge of a window are counted in one by us and in the next by others; and a
	// VM that restarts gets its part of the constant anew, while what the ratio gives
	// follows from the requests that it has seen since.
	ratioUsed = 0.9
	slackUsed = 0.7
)

// Budget counts one service at one VM. It is not safe for concurrent use.
type Budget struct {
	requests, repeats [buckets + 1]float64
	at                int64
	// since is when this VM first counted a request.
	since time.Duration
}

// Decision is whether a repeat may be sent, and what that was decided on.
type Decision struct {
	Granted bool
	// Spent and Allowed are the repeats within the window, Requests the requests.
	Spent, Allowed, Requests float64
	// VMs is over how many VMs the constant is divided.
	VMs int
	// Age is for how long the budget has counted.
	Age time.Duration
}

// String describes the decision in logs.
func (d Decision) String() string {
	return fmt.Sprintf("spent %.1f allowed %.1f requests %.0f vms %d age %dms", d.Spent, d.Allowed, d.Requests, d.VMs, d.Age.Milliseconds())
}

// Request notes a request for the service.
func (b *Budget) Request(l Limit, now time.Duration) {
	b.advance(l, now)
	b.requests[b.at%(buckets+1)]++
}

// Repeat takes one repeat from the budget of a VM that is one of so many, if there is one.
func (b *Budget) Repeat(l Limit, vms int, now time.Duration) Decision {
	d := b.State(l, vms, now)
	if d.Granted {
		b.repeats[b.at%(buckets+1)]++
		d.Spent++
	}
	return d
}

// State returns what a repeat would be decided on now.
func (b *Budget) State(l Limit, vms int, now time.Duration) Decision {
	b.advance(l, now)
	d := Decision{Spent: sum(b.repeats[:]), Requests: sum(b.requests[:]), VMs: vms, Age: now - b.since}
	d.Allowed = ratioUsed*l.Ratio*d.Requests + slackUsed*l.Slack/float64(max(vms, 1))
	d.Granted = d.Spent+1 <= d.Allowed
	return d
}

func (b *Budget) advance(l Limit, now time.Duration) {
	if b.since == 0 {
		b.since = now
	}
	at := int64(now / (l.Window / buckets))
	if at-b.at > buckets {
		b.at = at - buckets - 1
	}
	for b.at < at {
		b.at++
		b.requests[b.at%(buckets+1)], b.repeats[b.at%(buckets+1)] = 0, 0
	}
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}
