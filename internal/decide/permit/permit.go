// Package permit bounds the requests that all VMs together send to a target that states a limit.
//
// Load pattern: a target shares its machine with other work, needs relief, and states in its responses how many
// requests per second it takes from all VMs together. Its callers arrive at all VMs. If each VM kept the limit
// alone, the target would get it once per VM; if each kept a share of it, a limit of a few requests per second would
// be less than one request per VM: it would be exceeded, or not used.
//
// A VM therefore sends a request to such a target only with a permit from the target's holder, the first VM in an
// order that all VMs compute alike (package rendezvous) from all known VMs, lost ones included. The holder counts
// what it grants in a token bucket. Any other VM is a standby: it grants permits only while no VM before it in the
// order answers its calls, and it grants fewer.
//
// Invariant: while at most two VMs grant at a time, the target gets no more in any four seconds than one and a
// half times its limit allows, plus five. A new holder starts without tokens, whatever its predecessor granted.
package permit

import "time"

const (
	// firstShare is the part of the limit that the first VM in the order grants, standbyShare what any other
	// does, and the first one until it has been the holder for settleTime: another VM may not know yet that it is.
	// Two holders together grant 1.4 times the limit and 2*burst. Even if a request arrives up to 0.2 s after its
	// permit, 4.2 s of that stay below 1.5 times the limit over 4 s, plus 5.
	firstShare, standbyShare = 0.95, 0.45
	settleTime               = 2 * time.Second
	// burst is the number of permits that a holder saves.
	burst = 2
	// minPerSecond is the rate of permits for a target that takes fewer requests: without any, no response would
	// show the end of the limit. Two holders send four requests in 4 s then, and the bound for a limit of 0 is 5.
	minPerSecond = 0.25
	// reserve is the number of saved permits that only the most urgent requests get.
	reserve = 1
	// maxRetryAfter bounds the time after which a refused caller is asked to retry.
	maxRetryAfter = time.Second
	// tenureGap is the time without a request for a permit after which a standby's tenure ends.
	tenureGap = 10 * time.Second
)

// Decision is the answer to a request for a permit.
type Decision struct {
	Granted bool `msgpack:"g"`
	// Blocked is the time until which no other request of the same urgency gets a permit.
	Blocked time.Duration `msgpack:"b"`
	// RetryAfter is the time after which the caller of a refused request should retry. Each gets the time of another
	// future permit, so that they do not retry at the same moment.
	RetryAfter time.Duration `msgpack:"r"`
	// Tokens are the saved permits before the decision.
	Tokens float64 `msgpack:"t"`
}

// Tenure is the state of a VM as the holder of one target. The zero value is that of a VM that is not the holder.
// It is not safe for concurrent use.
type Tenure struct {
	holding bool
	// first reports whether the VM has been first in the order since the tenure began.
	first      bool
	since      time.Duration
	tokens     float64
	refilledAt time.Duration
	// latestRetry is the latest time for which a refused caller was asked to retry.
	latestRetry time.Duration
}

// Hold makes the VM the holder. first reports whether it is the first VM in the order. A tenure begins without
// tokens.
func (t *Tenure) Hold(first bool, now time.Duration) {
	lapsed := !first && now-t.refilledAt > tenureGap
	if t.holding && t.first == first && !lapsed {
		return
	}
	*t = Tenure{holding: true, first: first, since: now, refilledAt: now, latestRetry: t.latestRetry}
}

// Yield ends the tenure, because a VM before this one answers.
func (t *Tenure) Yield() { t.holding = false }

// Holding reports whether the VM is the holder.
func (t *Tenure) Holding() bool { return t.holding }

// Take decides about one request. outranked reports whether more urgent requests compete for the permits.
func (t *Tenure) Take(perSecond float64, outranked bool, now time.Duration) Decision {
	rate, capacity := t.rate(perSecond, now)
	t.tokens = min(capacity, t.tokens+rate*(now-t.refilledAt).Seconds())
	t.refilledAt = now
	needed := 1.0
	if outranked {
		needed = min(1+reserve, capacity)
	}
	d := Decision{Tokens: t.tokens, Granted: t.tokens >= needed}
	if d.Granted {
		t.tokens--
		return d
	}
	d.Blocked = seconds((needed - t.tokens) / rate)
	t.latestRetry = max(t.latestRetry, now) + seconds(1/rate)
	if t.latestRetry-now > maxRetryAfter {
		t.latestRetry = now + min(d.Blocked, maxRetryAfter)
	}
	d.RetryAfter = t.latestRetry - now
	return d
}

// rate returns the permits per second, and how many may be saved.
func (t *Tenure) rate(perSecond float64, now time.Duration) (rate, capacity float64) {
	share := standbyShare
	if t.first && now-t.since >= settleTime {
		share = firstShare
	}
	if rate = share * perSecond; rate < minPerSecond {
		return minPerSecond, 1
	}
	return rate, burst
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
