package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coldLoad plays one owner that runs requests in the order of their arrival.
type coldLoad struct {
	state State
	// running holds when each slot is free.
	running []time.Duration
	// leaving holds what is at the owner: when it ends, and what it counts for.
	leaving []coldRequest
}

type coldRequest struct {
	end  time.Duration
	work int
}

// send has the owner run a request and returns how long it takes there.
func (l *coldLoad) send(now, service time.Duration, work int) time.Duration {
	first := 0
	for i, free := range l.running {
		if free < l.running[first] {
			first = i
		}
	}
	end := max(now, l.running[first]) + service
	l.running[first] = end
	l.state.Sent(1, work)
	l.leaving = append(l.leaving, coldRequest{end, work})
	return end - now
}

func (l *coldLoad) advance(now time.Duration) {
	kept := l.leaving[:0]
	for _, r := range l.leaving {
		if r.end > now {
			kept = append(kept, r)
			continue
		}
		l.state.Gone(1, r.work)
	}
	l.leaving = kept
}

// Half of the targets are lost. Each one left has its own keys, and as many that are cold
// there and take four times as long: three times what it can do. Requests for its own
// keys waited behind the cold ones, and were late or refused though the owner can do all
// of them. Callers of its own keys must get their answers in time, nearly all, and some
// of the others theirs.
func TestWarmKeysAreServedBesideColdOnes(t *testing.T) {
	const (
		slots     = 6
		usual     = 95 * time.Millisecond
		coldness  = 4
		objective = 300 * time.Millisecond
		warmRate  = 34 // a second: half of what the owner can do
		coldRate  = 34
	)
	draw := rand.New(rand.NewPCG(1, 2))
	l := &coldLoad{state: State{Slots: slots}, running: make([]time.Duration, slots)}
	warm, warmInTime, cold, coldServed := 0, 0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		l.advance(now)
		service := time.Duration((0.7 + 0.6*draw.Float64()) * float64(usual))
		if draw.Float64() < warmRate/1000.0 {
			warm++
			if !l.state.Full() && l.send(now, service, 1) <= objective {
				warmInTime++
			}
		}
		if draw.Float64() < coldRate/1000.0 {
			cold++
			if !l.state.Full() && l.state.TakesCold(coldness) {
				l.send(now, coldness*service, coldness)
				coldServed++
			}
		}
	}
	require.Greater(t, float64(warmInTime)/float64(warm), 0.9)
	require.Greater(t, float64(coldServed)/float64(cold), 0.1)
}

// An owner with a single slot has nothing to do: a request for a cold key is served,
// however much it counts for.
func TestIdleOwnerTakesColdKeys(t *testing.T) {
	s := State{Slots: 1}
	require.True(t, s.TakesCold(8))
	s.Sent(1, 8)
	require.False(t, s.TakesCold(8))
	s.Gone(1, 8)
	require.True(t, s.TakesCold(8))
}
