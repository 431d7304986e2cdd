// Package admission holds one customer to its contract at one entry.
//
// Load pattern: a customer sends more than its contract allows, steadily or in a
// burst, or more requests at once. Without the gate its requests fill queues and
// slots that other customers have paid for, and are refused only after they
// waited. With it they are refused at the door, at once and as not run.
//
// The gate is a token bucket (rate, burst) and a count of requests in flight
// (concurrency). Its limits are this entry's share of the contract and change
// several times a second; see package shares. The bucket starts empty: an entry
// that is restarted again and again must not give a full burst each time.
package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Share is what this entry may use of a customer's contract at one service.
// Shares are fractions of a contract, so all figures may be fractions.
type Share struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is how many requests may come at once.
	Burst float64 `json:"burst"`
	// Concurrency bounds the requests in flight.
	Concurrency float64 `json:"concurrency"`
}

// Reason says which limit refused a request.
type Reason string

// The reasons.
const (
	OverRate        Reason = "rate"
	OverConcurrency Reason = "concurrency"
)

// Decision is the gate's word on one request.
type Decision struct {
	OK     bool
	Reason Reason
	// RetryAfter is when a request would pass if no other came before it.
	RetryAfter time.Duration
}

// tokensPerRequest is what one request takes from the bucket. The limiter counts whole
// tokens, and a share of a burst is a fraction: thousandths keep its error under
// a thousandth of a request.
const tokensPerRequest = 1000

// epsilon lets a share that sums to a whole request but for the last bit of a
// float pass as that whole.
const epsilon = 1e-6

// retryAfterNoShare is when to ask again where the share is too small for any request:
// shares are borrowed and renewed several times in that time.
const retryAfterNoShare = time.Second

// durationWeight is the weight of the newest request in the mean time in flight.
const durationWeight = 0.1

// Gate admits the requests of one customer to one service. It belongs to one
// goroutine at a time.
type Gate struct {
	limiter  *rate.Limiter
	share    Share
	inFlight int
	// lastSet is when the share was lastSet known to be in force.
	lastSet time.Time
	// meanDuration is the mean time a request is in flight.
	meanDuration time.Duration
}

// New returns a gate that admits nothing until Set.
func New() *Gate { return &Gate{limiter: rate.NewLimiter(0, 0)} }

// Set puts a share in force; it is called before every Admit.
// The old share may have lapsed unnoticed and be in use elsewhere: tokens above the lowered burst are
// lost, and a lowered rate counts from when the old share was last known to be in force.
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

// Admit decides on a request that came now. Each admitted request needs a Done.
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

// Done ends an admitted request that was in flight for so long.
func (g *Gate) Done(took time.Duration) {
	g.inFlight--
	if g.meanDuration == 0 {
		g.meanDuration = took
	}
	g.meanDuration += time.Duration(durationWeight * float64(took-g.meanDuration))
}

// InFlight returns the requests in flight.
func (g *Gate) InFlight() int { return g.inFlight }

// untilNextEnd estimates when one of the requests in flight will end.
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
