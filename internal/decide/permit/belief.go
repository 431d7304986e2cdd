package permit

import "time"

// Belief is what a VM believes about the limit of one incarnation of a target. In the zero value no limit was
// ever stated. It is not safe for concurrent use.
type Belief struct {
	// Limited reports whether the limit is in force.
	Limited bool
	// PerSecond is the limit that was stated last, in requests per second from all VMs together.
	PerSecond float64
	// FirstAt is when the limit came into force, LastAt when the latest response arrived that stated it or
	// showed its end, on this VM's clock.
	FirstAt, LastAt time.Duration
	// Source is the VM that got that response, Stamp the time of its arrival on that VM's clock.
	Source string
	Stamp  time.Duration
}

// Report is a belief as one VM tells it to another. It carries an age, because clocks differ.
type Report struct {
	Limited   bool          `msgpack:"l"`
	PerSecond float64       `msgpack:"p"`
	Age       time.Duration `msgpack:"a"`
	Source    string        `msgpack:"s"`
	Stamp     time.Duration `msgpack:"t"`
}

const (
	// maxReportTransit bounds the transit time of a report between two VMs. It is the timeout of their calls.
	maxReportTransit = 400 * time.Millisecond
	// endKnownFor is how long the end of a limit is told to others, and overrides reports that are not first-hand.
	endKnownFor = 10 * time.Second
)

// Stated records a response to this VM that states a limit. It reports whether the belief changed, apart from its
// age.
func (b *Belief) Stated(perSecond float64, self string, now time.Duration) (changed bool) {
	changed = !b.Limited || b.PerSecond != perSecond
	if !b.Limited {
		b.FirstAt = now
	}
	b.Limited, b.PerSecond, b.LastAt, b.Source, b.Stamp = true, perSecond, now, self, now
	return changed
}

// NotStated records a response to this VM without a limit, to a request that was sent at the given time. It
// reports whether it shows the end of the limit. A response to a request that was sent before the limit was last
// stated does not: the target may have begun it earlier.
func (b *Belief) NotStated(sentAt time.Duration, self string, now time.Duration) (ended bool) {
	if !b.Limited || sentAt <= b.LastAt {
		return false
	}
	b.Limited, b.LastAt, b.Source, b.Stamp = false, now, self, now
	return true
}

// Report returns the belief for other VMs. It returns false if there is nothing to tell.
func (b *Belief) Report(now time.Duration) (r Report, told bool) {
	known := b.Limited || b.FirstAt > 0 && now-b.LastAt < endKnownFor
	return Report{Limited: b.Limited, PerSecond: b.PerSecond, Age: now - b.LastAt, Source: b.Source, Stamp: b.Stamp}, known
}

// Merge applies the report of another VM and reports whether the belief changed, apart from its age.
//
// A report is first-hand if its sender got the response itself. Any other is applied only if nothing is known: its age
// does not include its transit times, so a report that VMs forward to each other in a loop would never expire.
func (b *Belief) Merge(r Report, firstHand bool, now time.Duration) (changed bool) {
	at := now - max(r.Age, 0)
	known := b.FirstAt > 0 && (b.Limited || now-b.LastAt < endKnownFor)
	switch {
	case !firstHand && (known || !r.Limited):
		return false
	case r.Source == b.Source && b.Stamp >= r.Stamp && b.Stamp-r.Stamp < maxReportTransit:
		// It is known, or older. A much lower stamp is that of a VM that has rebooted.
		return false
	case b.FirstAt > 0 && at <= b.LastAt:
		return false
	case !r.Limited && (!b.Limited || at <= b.LastAt+maxReportTransit):
		return false
	}
	changed = b.Limited != r.Limited || b.PerSecond != r.PerSecond
	if r.Limited && !b.Limited {
		b.FirstAt = at
	}
	b.Limited, b.PerSecond, b.LastAt, b.Source, b.Stamp = r.Limited, r.PerSecond, at, r.Source, r.Stamp
	return changed
}
