// Package admission limits a customer to its contract at one entry.
//
// Load pattern: a customer exceeds the rate, burst or concurrency of its contract.
// Without the limit its requests fill queues and slots that other customers pay for,
// and are refused only after they have waited. With it they are refused on arrival,
// before they have run.
//
// A gate combines a token bucket (rate, burst) with a count of requests in flight
// (concurrency). Its limits are this entry's share of the contract and change several
// times a second; see package shares. The bucket starts empty, so that an entry that
// restarts repeatedly does not admit a full burst each time.
package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Share is the part of a customer's contract at one service that this entry may use. Its
// values need not be whole numbers.
type Share struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may arrive at once.
	Burst float64 `json:"burst"`
	// Concurrency bounds the requests in flight.
	Concurrency float64 `json:"concurrency"`
}

// Reason is the limit that a refused request would have exceeded.
type Reason string

// The limits that a request may exceed.
const (
	OverRate        Reason = "rate"
	OverConcurrency Reason = "concurrency"
)

// Decision is the result of Admit for one request. Reason and RetryAfter are set for
// refused requests.
type Decision struct {
	OK     bool
	Reason Reason
	// RetryAfter is the time after which a request would be admitted if no other request
	// arrived before it.
	RetryAfter time.Duration
}

// tokensPerRequest is the number of tokens that a request takes from the bucket. The
// limiter counts whole tokens, but a share of a burst may be fractional; a thousand tokens
// per request keep the error below a thousandth of a request.
const tokensPerRequest = 1000

// epsilon absorbs floating-point error in shares that add up to a whole request.
const epsilon = 1e-6

// retryAfterNoShare is the RetryAfter when the share is too small for any request. Shares
// are borrowed and renewed several times in that time.
const retryAfterNoShare = time.Second

// durationWeight is the weight of the latest request in the moving mean of durations.
const durationWeight = 0.1

// Gate admits the requests of one customer to one service. It is not safe for concurrent
// use.
type Gate struct {
	limiter  *rate.Limiter
	share    Share
	inFlight int
	// lastSet is when Set was last called: the share was known to be in force until then.
	lastSet time.Time
	// meanDuration is the moving mean of the time that requests are in flight.
	meanDuration time.Duration
}

// New returns a gate that admits nothing until Set is called.
func New() *Gate { return &Gate{limiter: rate.NewLimiter(0, 0)} }

// Set applies a share and must be called before every Admit. The previous share may have
// expired since and be in use at another entry. Tokens above a lowered burst are therefore
// discarded, and a lowered rate applies from when the previous share was last known to be in
// force.
func (g *Gate) Set(s Share, now time.Time) {
	at := now
	if s.Rate < g.share.Rate {
		at = g.lastSet
	}
	g.lastSet = now
	if s == g.share {
		return
	}
	g.share = s
	g.limiter.SetBurstAt(at, tokens(s.Burst))
	g.limiter.SetLimitAt(at, rate.Limit(s.Rate*tokensPerRequest))
}

func tokens(requests float64) int {
	t := math.Floor((requests + epsilon) * tokensPerRequest)
	return int(min(t, math.MaxInt32*tokensPerRequest))
}

// Admit decides whether a request that arrives now is admitted. The caller must call Done
// for each admitted request.
func (g *Gate) Admit(now time.Time) Decision {
	if float64(g.inFlight+1) > g.share.Concurrency+epsilon {
		return Decision{Reason: OverConcurrency, RetryAfter: g.untilNextEnd()}
	}
	if !g.limiter.AllowN(now, tokensPerRequest) {
		return Decision{Reason: OverRate, RetryAfter: g.untilNextToken(now)}
	}
	g.inFlight++
	return Decision{OK: true}
}

// Done records the end of an admitted request and how long it was in flight.
func (g *Gate) Done(took time.Duration) {
	g.inFlight--
	if g.meanDuration == 0 {
		g.meanDuration = took
	}
	g.meanDuration += time.Duration(durationWeight * float64(took-g.meanDuration))
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int { return g.inFlight }

// untilNextEnd estimates the time until one of the requests in flight ends.
func (g *Gate) untilNextEnd() time.Duration {
	if g.inFlight == 0 {
		return retryAfterNoShare
	}
	return max(g.meanDuration/time.Duration(g.inFlight), time.Millisecond)
}

func (g *Gate) untilNextToken(now time.Time) time.Duration {
	if g.limiter.Burst() < tokensPerRequest || g.share.Rate <= 0 {
		return retryAfterNoShare
	}
	missing := tokensPerRequest - g.limiter.TokensAt(now)
	return time.Duration(missing / (g.share.Rate * tokensPerRequest) * float64(time.Second))
}
