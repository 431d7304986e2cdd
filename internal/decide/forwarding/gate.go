package forwarding

import "time"

const (
	// initialLimit is the number of forwarded requests in flight that a VM accepts at first, minLimit
	// the least that it accepts.
	initialLimit = 32
	minLimit     = 8
	// maxLag is the delay of this VM's own work above which it accepts fewer forwarded requests.
	maxLag = 30 * time.Millisecond
	// Each observation raises a limit that is in use by growth, or lowers it by the factor decrease.
	growth   = 0.1
	decrease = 0.7
	// usedShare is the share of the limit from which it counts as in use.
	usedShare = 0.8
)

// Gate limits the requests that a VM accepts from other VMs. Its own callers come first: their requests
// pass no gate, and when the VM's work is delayed, it accepts fewer forwarded requests. It is not safe
// for concurrent use.
type Gate struct {
	limit, most float64
	inFlight    int
}

// NewGate returns a gate that accepts at most the given number of requests at a time.
func NewGate(most int) *Gate {
	return &Gate{limit: min(initialLimit, float64(most)), most: float64(most)}
}

// Enter reports whether a request is accepted. If so, Leave must be called at its end.
func (g *Gate) Enter() bool {
	if float64(g.inFlight) >= g.limit {
		return false
	}
	g.inFlight++
	return true
}

// Leave records the end of a request that was accepted.
func (g *Gate) Leave() { g.inFlight-- }

// InFlight returns the number of accepted requests that have not ended.
func (g *Gate) InFlight() int { return g.inFlight }

// Limit returns the number of requests that may be in flight.
func (g *Gate) Limit() int { return int(g.limit) }

// Observe adapts the limit to the current delay of this VM's work. It is called at a fixed interval.
func (g *Gate) Observe(lag time.Duration) {
	switch {
	case lag > maxLag:
		g.limit = max(min(g.limit, float64(g.inFlight))*decrease, min(minLimit, g.most))
	case float64(g.inFlight) >= usedShare*g.limit:
		g.limit = min(g.limit*(1+growth)+1, g.most)
	}
}
