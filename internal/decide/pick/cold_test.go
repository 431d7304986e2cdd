package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simOwner simulates an owner that runs requests in the order of their arrival.
type simOwner struct {
	state State
	// slotFreeAt is when each slot becomes free.
	slotFreeAt []time.Duration
	// endsAt is when each request at the owner ends.
	endsAt []time.Duration
}

// send gives the owner a request and returns how long it will take, queueing included.
func (l *simOwner) send(now, service time.Duration) time.Duration {
	first := 0
	for i, free := range l.slotFreeAt {
		if free < l.slotFreeAt[first] {
			first = i
		}
	}
	end := max(now, l.slotFreeAt[first]) + service
	l.slotFreeAt[first] = end
	l.state.Sent(1)
	l.endsAt = append(l.endsAt, end)
	return end - now
}

func (l *simOwner) advance(now time.Duration) {
	kept := l.endsAt[:0]
	for _, end := range l.endsAt {
		if end > now {
			kept = append(kept, end)
			continue
		}
		l.state.Ended(1)
	}
	l.endsAt = kept
}

// Guards against requests for warm keys that wait behind those for cold keys. After the
// loss of half of the targets, each remaining one has as many cold keys as warm ones;
// cold ones take four times as long, and the total load is nearly three times its
// capacity. Nearly all requests for warm keys must be answered in time, and some of those
// for cold keys.
func TestWarmKeysAreServedDespiteColdOnes(t *testing.T) {
	const (
		slots     = 6
		usual     = 95 * time.Millisecond
		coldness  = 4
		objective = 300 * time.Millisecond
		warmRate  = 34 // requests per second, half of what the owner can serve
		coldRate  = 34 // requests per second
	)
	draw := rand.New(rand.NewPCG(1, 2))
	l := &simOwner{state: State{Slots: slots}, slotFreeAt: make([]time.Duration, slots)}
	warm, warmInTime, cold, coldServed := 0, 0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		l.advance(now)
		service := time.Duration((0.7 + 0.6*draw.Float64()) * float64(usual))
		if draw.Float64() < warmRate/1000.0 {
			warm++
			if !l.state.Full() && l.send(now, service) <= objective {
				warmInTime++
			}
		}
		if draw.Float64() < coldRate/1000.0 {
			cold++
			if !l.state.Full() && l.state.AcceptsCold() {
				l.send(now, coldness*service)
				coldServed++
			}
		}
	}
	require.Greater(t, float64(warmInTime)/float64(warm), 0.9)
	require.Greater(t, float64(coldServed)/float64(cold), 0.1)
}
