package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"hemlockquay/charts"
	"hemlockquay/internal/faults"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/statechart"
)

const (
	drainLead = time.Second
	// balancerPollInterval is the interval at which the load balancer reads /readyz.
	balancerPollInterval = 503 * time.Millisecond
	requestInterval      = 53 * time.Millisecond
	requestDuration      = 211 * time.Millisecond
	simDuration          = 15 * time.Second
)

// drainSim simulates one daemon behind a load balancer, from start to stop. Its server makes
// the calls of the daemons' OnStop hooks in the same order.
type drainSim struct {
	t      *testing.T
	life   *Lifecycle
	step   statechart.Transition
	inject func(*drainSim)

	mu          sync.Mutex
	injected    bool
	killed      bool
	pausedUntil time.Time
	work        time.Duration
	inFlight    int
	// configuredAfter is the time from the start to the first configuration.
	configuredAfter time.Duration

	answered, refused, unknown int
	lastAccepted               time.Time
	drainStartedAt, stoppedAt  time.Time
	requests, background       sync.WaitGroup
}

func newDrainSim(t *testing.T, step statechart.Transition, inject func(*drainSim)) *drainSim {
	base := &Base{VM: "vm1", LeaveLead: model.Duration(drainLead)}
	p := &drainSim{t: t, step: step, inject: inject, work: requestDuration, configuredAfter: 200 * time.Millisecond}
	p.life = newLifecycle("hq-test", base, &log.Logger{Level: log.PanicLevel}, journal.New("vm1", "hq-test", 10), nil)
	p.life.machine.Watch(p.onTransition)
	return p
}

// onTransition is called with the lifecycle's lock held; the fault is injected right after it.
func (p *drainSim) onTransition(s statechart.Transition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Event == eventDrained {
		require.Zero(p.t, p.inFlight, "stopped with a request in flight")
		p.stoppedAt = time.Now()
	}
	if s.Event == eventDrain {
		p.drainStartedAt = time.Now()
	}
	if s == p.step && !p.injected {
		p.injected = true
		p.background.Go(func() { p.inject(p) })
	}
}

// run simulates start, service and drain, and returns what callers received.
func (p *drainSim) run() string {
	begun := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p.step.Event == "" {
		p.injected = true
		p.inject(p)
	}
	p.background.Go(func() { p.server(ctx) })
	p.background.Go(func() { p.balancer(begun) })
	drainAt := 3 * time.Second
	if p.step.From == "starting" && p.step.Event == eventDrain {
		drainAt = 100 * time.Millisecond
		p.configureAfter(5 * time.Second)
	}
	p.background.Go(func() {
		time.Sleep(p.configurationDelay())
		if time.Since(begun) < simDuration && p.alive() {
			p.life.MarkConfigured()
		}
	})
	time.Sleep(drainAt)
	if p.alive() {
		p.life.Drain()
	}
	time.Sleep(simDuration - drainAt)
	cancel()
	p.requests.Wait()
	return p.outcome()
}

func (p *drainSim) outcome() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	require.True(p.t, p.injected, "the transition under test never happened")
	if !p.killed {
		require.Zero(p.t, p.unknown, "a planned stop aborted a request")
		require.False(p.t, p.stoppedAt.IsZero(), "the daemon never stopped")
		require.Less(p.t, p.lastAccepted.Sub(p.drainStartedAt), drainLead+balancerPollInterval, "a request was accepted after the leave lead and one poll of the balancer")
	}
	switch {
	case p.answered+p.refused+p.unknown == 0:
		return "nothing was sent"
	case p.unknown > 0:
		return "answered; unknown in flight"
	case p.refused > 0:
		return "answered; no"
	}
	return "answered"
}

func (p *drainSim) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killed
}

// server shuts down in the order of the daemons: leave lead, refuse, wait for requests, drained.
func (p *drainSim) server(ctx context.Context) {
	select {
	case <-p.life.Draining():
	case <-ctx.Done():
		return
	}
	p.life.WaitLeaveLead(ctx) // a pause counts towards it
	p.waitWhilePaused()
	p.requests.Wait()
	if p.alive() {
		p.life.MarkDrained()
	}
}

func (p *drainSim) waitWhilePaused() {
	p.mu.Lock()
	wait := time.Until(p.pausedUntil)
	p.mu.Unlock()
	time.Sleep(max(0, wait))
}

// balancer sends requests while its last poll of /readyz found the daemon ready.
func (p *drainSim) balancer(begun time.Time) {
	ready, looked := false, time.Time{}
	for time.Since(begun) < simDuration-6*time.Second {
		time.Sleep(requestInterval)
		if time.Since(looked) >= balancerPollInterval {
			looked = time.Now()
			ready, _ = p.life.IsReady()
			ready = ready && p.alive()
		}
		if ready {
			p.request()
		}
	}
}

func (p *drainSim) request() {
	if !p.alive() {
		return // the connection fails and the balancer chooses another daemon
	}
	p.waitWhilePaused()
	if !p.life.Serving() {
		p.mu.Lock()
		p.refused++
		p.mu.Unlock()
		return
	}
	p.mu.Lock()
	p.inFlight++
	p.lastAccepted = time.Now()
	work := p.work
	p.mu.Unlock()
	p.requests.Go(func() {
		time.Sleep(work)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight--
		if p.killed {
			p.unknown++
			return
		}
		p.answered++
	})
}

func (p *drainSim) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

func (p *drainSim) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

func (p *drainSim) setRequestDuration(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = d
}

func (p *drainSim) delayConfiguration() { p.configureAfter(2 * time.Second) }

func (p *drainSim) configureAfter(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configuredAfter = d
}

func (p *drainSim) configurationDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configuredAfter
}

const (
	noLease     = "a daemon's lifecycle holds no lease and depends on none"
	targetOnly  = "a fault of a target or request only makes requests take longer during a drain: see target frozen and back"
	networkOnly = "a partition only delays the daemon's configuration: see agent lost"
	viaAgent    = "a daemon gets stored data through its agent: see agent lost"
	sameAsLoss  = "the same as the loss of the process, or of its agent, alone"
)

var drainFaults = map[faults.Fault]struct {
	impossible string
	inject     func(*drainSim)
}{
	faults.None:             {inject: func(*drainSim) {}},
	faults.Partition:        {impossible: networkOnly},
	faults.Pause:            {inject: func(p *drainSim) { p.pause(2 * time.Second) }},
	faults.EntryLost:        {inject: (*drainSim).kill},
	faults.DispatchLost:     {inject: (*drainSim).kill},
	faults.AgentLost:        {inject: (*drainSim).delayConfiguration},
	faults.TargetFrozen:     {inject: func(p *drainSim) { p.setRequestDuration(3 * time.Second) }},
	faults.TargetLost:       {impossible: targetOnly},
	faults.StoreDown:        {impossible: viaAgent},
	faults.StoreSlow:        {impossible: viaAgent},
	faults.StoreAnswerLost:  {impossible: viaAgent},
	faults.LeaseLapsed:      {impossible: noLease},
	faults.OperatorsRace:    {inject: func(p *drainSim) { p.life.Drain(); p.life.Drain() }},
	faults.CrashingRequest:  {impossible: targetOnly},
	faults.VMLeaves:         {inject: func(p *drainSim) { p.life.Drain() }},
	faults.TargetLeaves:     {impossible: targetOnly},
	faults.DataCentreLost:   {impossible: sameAsLoss},
	faults.TargetLostTwice:  {impossible: targetOnly},
	faults.PartitionTwice:   {impossible: networkOnly},
	faults.TargetAndStore:   {impossible: targetOnly},
	faults.AgentAndTarget:   {impossible: sameAsLoss},
	faults.PauseInPartition: {impossible: networkOnly},
}

const drainDescription = `One daemon is simulated from start through service to drain, behind a load balancer that polls /readyz every
503 ms, with a leave lead of 1 s and a request every 53 ms. Its server is a fake that shuts down in the same order
as the daemons; the state, readiness and leave lead are the real ones. Each cell shows what callers received: "no"
is a request refused as not run, and "unknown in flight" one that was aborted with the daemon.

Checked in each cell: a planned stop aborts no request in flight, completes, and accepts no request later than the
leave lead plus one poll of the balancer; the daemon stops only when no request is in flight.`

// Guards against broken connections during the replacement of a VM: a daemon may be asked to stop
// while it starts, twice, or during a pause. docs/faults/daemon.md shows each fault at each step.
func TestFaultsAtStepsOfDaemon(t *testing.T) {
	chart := charts.MustLoad("daemon")
	m := faults.New(chart, drainDescription)
	for _, step := range faults.Steps(chart) {
		for _, f := range faults.All() {
			b, ok := drainFaults[f]
			require.True(t, ok, "no entry for %s", f)
			if b.impossible != "" {
				m.Impossible(f, step, b.impossible)
				continue
			}
			t.Run(fmt.Sprintf("%s at %s", f, faults.StepName(step)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newDrainSim(t, step, b.inject)
					m.Set(f, step, p.run())
					p.background.Wait()
				})
			})
		}
	}
	require.NoError(t, m.Compare("../.."))
}
