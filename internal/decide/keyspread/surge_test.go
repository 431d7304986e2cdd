package keyspread

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// surgePlay is the load of a service whose keys become hot: each step is the time between two decisions.
type surgePlay struct {
	draw     *rand.Rand
	rates    *Rates
	capacity []float64
	from     []uint16
	owner    []int
	now      time.Duration
	// perSecond is the requests for each key.
	perSecond []float64
}

const (
	surgeStep = 300 * time.Millisecond
	keySpace  = 1 << 16
)

// newSurgePlay returns a play with owners of three speeds, two slices each.
func newSurgePlay(owners int, total float64, surges bool) *surgePlay {
	p := &surgePlay{draw: rand.New(rand.NewPCG(1, 2)), rates: NewRates(), perSecond: make([]float64, keySpace)}
	p.rates.Surges = surges
	for i := range owners {
		p.capacity = append(p.capacity, []float64{19, 19, 8}[i%3])
	}
	for i := range 2 * owners {
		p.from, p.owner = append(p.from, uint16(i*keySpace/(2*owners))), append(p.owner, i%owners)
	}
	for key := range p.perSecond {
		p.perSecond[key] = total / keySpace
	}
	return p
}

// heat gives count adjacent keys a share of a service's requests.
func (p *surgePlay) heat(first, count int, perSecond float64) {
	for key := first; key < first+count; key++ {
		p.perSecond[key] += perSecond / float64(count)
	}
}

// count counts the requests of one step, as Poisson arrivals.
func (p *surgePlay) count() {
	p.now += surgeStep
	p.rates.Advance(p.now)
	for key, rate := range p.perSecond {
		n, left := 0, p.draw.ExpFloat64()
		for left < rate*surgeStep.Seconds() {
			n++
			left += p.draw.ExpFloat64()
		}
		if n > 0 {
			p.rates.Add(uint16(key), n)
		}
	}
}

// step counts requests, divides slices up to divisions times, and moves them. It returns the number of moves.
func (p *surgePlay) step(b Bounds, divisions int) int {
	p.count()
	for range divisions {
		sums := p.rates.Sums(p.from)
		ranges := make([]Range, len(p.from))
		for i := range ranges {
			ranges[i] = Range{Owner: p.owner[i], Rate: sums[i].Rate, Divisible: sums[i].Keys > 1}
		}
		d := DecideWithin(ranges, p.capacity, make([]bool, len(p.capacity)), b)
		if len(d.Divide) == 0 {
			for _, m := range d.Moves {
				p.owner[m.Range] = m.To
			}
			return len(d.Moves)
		}
		slices.Sort(d.Divide)
		for _, i := range slices.Backward(d.Divide) {
			p.from, p.owner = slices.Insert(p.from, i+1, sums[i].SplitAfter+1), slices.Insert(p.owner, i+1, p.owner[i])
		}
	}
	return 0
}

// excess returns the requests per second beyond the capacity of their owners.
func (p *surgePlay) excess() float64 {
	load := make([]float64, len(p.capacity))
	for i, first := range p.from {
		end := keySpace
		if i+1 < len(p.from) {
			end = int(p.from[i+1])
		}
		for key := int(first); key < end; key++ {
			load[p.owner[i]] += p.perSecond[key]
		}
	}
	sum := 0.0
	for i, l := range load {
		sum += max(0, l-p.capacity[i])
	}
	return sum
}

// lostIn returns the requests beyond the capacity of their owners in a number of steps.
func (p *surgePlay) lostIn(steps int, b Bounds, divisions int) (lost float64) {
	for range steps {
		lost += p.excess() * surgeStep.Seconds()
		p.step(b, divisions)
	}
	return lost
}

// Guards against 200 hot keys in a large fleet that take longer than a caller's objective, three decisions, to be spread.
func TestHotRangeOfALargeFleetIsSpreadWithinACallersObjective(t *testing.T) {
	const owners, total, hot = 304, 1700.0, 650.0
	bounds := Bounds{Moves: 96, Divides: 96}
	p := newSurgePlay(owners, total, true)
	for range 20 {
		p.step(bounds, 10)
	}
	p.heat(1000, 200, hot)
	lost := p.lostIn(3, bounds, 10)
	require.Less(t, p.excess(), 0.02*total, "requests beyond the capacity of their owners")

	slow := newSurgePlay(owners, total, false)
	for range 20 {
		slow.step(DefaultBounds(), 1)
	}
	slow.heat(1000, 200, hot)
	lostBefore := slow.lostIn(3, DefaultBounds(), 1)
	require.Less(t, lost, lostBefore, "requests beyond capacity in that time")
	t.Logf("requests beyond capacity in %v: %.0f, with one division at a time %.0f", 3*surgeStep, lost, lostBefore)
}

// Guards against keys that move because of chance: without a surge, only few move although many owners are near capacity.
func TestChanceIsNoSurge(t *testing.T) {
	p := newSurgePlay(304, 1700, true)
	for range 20 {
		p.step(Bounds{Moves: 96, Divides: 96}, 10)
	}
	for range 20 {
		p.count()
		require.Empty(t, p.rates.surging())
	}
}

// Guards against a rate that stays at a surge when it is over.
func TestSurgeEndsWithItsRequests(t *testing.T) {
	p := newSurgePlay(10, 50, true)
	for range 10 {
		p.count()
	}
	p.heat(1000, 200, 600)
	p.count()
	p.count()
	require.NotEmpty(t, p.rates.surging())
	require.InDelta(t, 650, p.rates.Sums([]uint16{0})[0].Rate, 100, "after two intervals")
	p.heat(1000, 200, -600)
	p.count()
	p.count()
	require.Empty(t, p.rates.surging())
}
