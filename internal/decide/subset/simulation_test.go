package subset

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/decide/pick"
)

const (
	simStep        = 5 * time.Millisecond
	simDuration    = 5 * time.Second
	meanWork       = 270 * time.Millisecond
	objective      = 800 * time.Millisecond
	slotsPerTarget = 3
	utilisation    = 0.66
	reportInterval = 250 * time.Millisecond
)

// simTarget runs its requests in the order of their arrival, as many at a time as it has slots.
type simTarget struct {
	speed float64
	queue []*simRequest
}

type simRequest struct {
	vm, target int
	sent       time.Duration
	work       time.Duration
	rounds     float64
}

// simulation is a pool of targets of different speeds under load from many VMs.
type simulation struct {
	vms, targets int
	sharers      int
	rand         *rand.Rand
	pool         []*simTarget
	windows      [][]int
	states       []map[int]*pick.State
	// reported is the number of requests that each VM last reported for each target,
	// users are the VMs that use each target.
	reported []map[int]int
	users    [][]int
	// period is the interval between reports of one VM.
	period time.Duration

	answered, onTime, refused int
}

// newSimulation returns a simulation of n VMs and n targets. Each VM uses its subset of
// the pool, or all of it if whole is set.
func newSimulation(n int, whole bool) *simulation {
	p := &simulation{vms: n, targets: n, sharers: Sharers(n, n), period: reportInterval, rand: rand.New(rand.NewPCG(7, uint64(n)))}
	if whole {
		p.sharers, p.period = n, time.Duration(n)*12*time.Millisecond
	}
	speeds := []float64{0.5, 1, 1, 1.5}
	for i := range p.targets {
		p.pool = append(p.pool, &simTarget{speed: speeds[i%len(speeds)]})
	}
	p.users = make([][]int, p.targets)
	for vm := range p.vms {
		window := Place{Index: vm, VMs: p.vms}.Window(p.targets)
		if whole {
			window = Place{VMs: 1}.Window(p.targets)
		}
		p.windows = append(p.windows, window)
		states := make(map[int]*pick.State)
		for _, at := range window {
			states[at] = &pick.State{Slots: slotsPerTarget, Near: true}
			p.users[at] = append(p.users[at], vm)
		}
		p.states, p.reported = append(p.states, states), append(p.reported, make(map[int]int))
	}
	return p
}

func (p *simulation) run() {
	perStep := utilisation * slotsPerTarget / meanWork.Seconds() * simStep.Seconds()
	for now := time.Duration(0); now < simDuration; now += simStep {
		if now%pick.LoadsInterval == 0 {
			p.exchangeReports(now)
		}
		for vm := range p.vms {
			// Some VMs have three times as much traffic as others.
			if p.rand.Float64() < perStep*(0.5+float64(vm%3)*0.5) {
				p.send(vm, now)
			}
		}
		for _, t := range p.pool {
			p.work(t, now)
		}
	}
}

// exchangeReports updates what each VM knows of the requests of the other VMs.
func (p *simulation) exchangeReports(now time.Duration) {
	for vm, states := range p.states {
		phase := time.Duration(vm) * p.period / time.Duration(p.vms) / pick.LoadsInterval * pick.LoadsInterval
		if now%(p.period/pick.LoadsInterval*pick.LoadsInterval) != phase {
			continue
		}
		for at, s := range states {
			p.reported[vm][at] = s.Own
		}
	}
	for at, users := range p.users {
		sum := 0
		for _, vm := range users {
			sum += p.reported[vm][at]
		}
		for _, vm := range users {
			p.states[vm][at].SetOthers(sum - p.reported[vm][at])
		}
	}
}

func (p *simulation) send(vm int, now time.Duration) {
	window := p.windows[vm]
	states := make([]*pick.State, len(window))
	for i, at := range window {
		states[i] = p.states[vm][at]
	}
	job := pick.Job{Usual: meanWork, Objective: objective, StartIndex: p.rand.IntN(len(window))}
	i := pick.Choose(states, job, func(int) bool { return false }, now)
	if i < 0 {
		p.refused++
		return
	}
	t := p.pool[window[i]]
	work := time.Duration(p.rand.ExpFloat64() * float64(meanWork) / t.speed)
	r := &simRequest{vm: vm, target: window[i], sent: now, work: work, rounds: states[i].Rounds()}
	states[i].Sent(p.sharers)
	t.queue = append(t.queue, r)
}

func (p *simulation) work(t *simTarget, now time.Duration) {
	kept := t.queue[:0]
	for i, r := range t.queue {
		if i < slotsPerTarget {
			r.work -= simStep
		}
		if r.work > 0 {
			kept = append(kept, r)
			continue
		}
		p.answered++
		if now-r.sent <= objective {
			p.onTime++
		}
		s := p.states[r.vm][r.target]
		s.Ended(p.sharers)
		s.Answered(now-r.sent, meanWork, r.rounds)
	}
	t.queue = kept
}

func (p *simulation) onTimeShare() float64 { return float64(p.onTime) / float64(p.answered+p.refused) }

// Guards against a share of answers within the objective that falls as the pool grows.
func TestPoolServesWellAtAnySize(t *testing.T) {
	shares := make(map[int]float64)
	for _, n := range []int{10, 100, 300} {
		p := newSimulation(n, false)
		p.run()
		shares[n] = p.onTimeShare()
		t.Logf("%d VMs: %.3f within objective, %d refused, %d answered", n, p.onTimeShare(), p.refused, p.answered)
	}
	whole := newSimulation(100, true)
	whole.run()
	t.Logf("100 VMs, each using all targets: %.3f within objective, %d refused, %d answered", whole.onTimeShare(), whole.refused, whole.answered)
	require.Greater(t, shares[100], shares[10]-0.03)
	require.Greater(t, shares[300], shares[10]-0.03)
	require.Greater(t, shares[100], whole.onTimeShare()+0.05)
}
