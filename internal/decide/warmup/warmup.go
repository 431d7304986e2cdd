// Package warmup decides which VMs may send requests to a target that is warming up, and how many.
//
// A cold target crashes if it gets many more requests per second than it tolerates from all VMs together.
// The VMs do not know of each other's requests in time, and do not agree at every moment on which VMs are
// live. If each VM counted alone, a data centre that comes back would be overrun at once.
//
// A cold target therefore gets requests from a few VMs only, each of which may send a fixed number in
// any second. The VMs are chosen by rendezvous hashing from all known VMs, including lost ones, so a
// partition does not change the choice. The limit is still kept while two sets of VMs choose by different
// lists.
package warmup

import (
	"math"
	"time"

	"hemlockquay/internal/decide/rendezvous"
)

const (
	// maxSenders is the number of VMs that may send requests to a cold target, so that it is used even if
	// some of them have failed.
	maxSenders = 4
	// differingViews is the number of different lists of VMs that may be in use at a time: while a VM joins, some
	// VMs choose the senders from a list with it and some from one without it.
	differingViews = 2
	// window is the time over which the requests of a sender are counted. Its requests may be up to 100 ms
	// closer to each other when they arrive than when they were sent.
	window = 1100 * time.Millisecond
)

// Limit says how many VMs may send requests to a cold target, and how many each in any window.
type Limit struct {
	Senders, PerSender int
}

// LimitFor returns the limit that keeps all VMs together at or below a number of requests per second. If that
// is too low to be divided, cold targets get no requests.
func LimitFor(perSecond float64) Limit {
	total := int(math.Floor(perSecond / differingViews))
	if total < maxSenders {
		return Limit{Senders: total, PerSender: 1}
	}
	return Limit{Senders: maxSenders, PerSender: total / maxSenders}
}

// IsSender reports whether a VM may send requests to a cold target. VMs in the target's data centre are
// chosen before others.
func (l Limit) IsSender(vm string, vms []rendezvous.Candidate, target, dataCentre string) bool {
	before, self := 0, -1
	for i, c := range vms {
		if c.VM == vm {
			self = i
		}
	}
	if self < 0 || l.Senders == 0 {
		return false
	}
	for i, c := range vms {
		if i != self && rendezvous.Precedes(c, vms[self], target, dataCentre) {
			if before++; before >= l.Senders {
				return false
			}
		}
	}
	return true
}

// Meter counts the requests of one VM to a target. The zero value has counted none.
type Meter struct {
	// sentAt holds the times of the latest requests, oldest first.
	sentAt []time.Duration
}

// Allows reports whether the VM may send another request.
func (m *Meter) Allows(l Limit, now time.Duration) bool {
	return len(m.sentAt) < l.PerSender || now-m.sentAt[len(m.sentAt)-l.PerSender] >= window
}

// Sent records a request.
func (m *Meter) Sent(l Limit, now time.Duration) {
	m.sentAt = append(m.sentAt, now)
	if excess := len(m.sentAt) - l.PerSender; excess > 0 {
		m.sentAt = m.sentAt[excess:]
	}
}
