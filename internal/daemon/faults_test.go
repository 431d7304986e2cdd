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
	// balancerLooks is how often a balancer reads /readyz.
	balancerLooks = 503 * time.Millisecond
	requestEvery  = 53 * time.Millisecond
	requestWork   = 211 * time.Millisecond
	playEnd       = 15 * time.Second
)

// drainPlay is the life of one daemon behind a balancer. Its server keeps the
// order of calls of the daemons' own OnStop hooks.
type drainPlay struct {
	t      *testing.T
	life   *Life
	step   statechart.Transition
	inject func(*drainPlay)

	mu       sync.Mutex
	taken    bool
	killed   bool
	pausedTo time.Time
	work     time.Duration
	inFlight int
	// configured is when the first configuration comes.
	configured time.Duration

	answered, refused, cut int
	lastTaken              time.Time
	drainedAt, stoppedAt   time.Time
	calls, duties          sync.WaitGroup
}

func newDrainPlay(t *testing.T, step statechart.Transition, inject func(*drainPlay)) *drainPlay {
	base := &Base{VM: "vm1", LeaveLead: model.Duration(drainLead)}
	p := &drainPlay{t: t, step: step, inject: inject, work: requestWork, configured: 200 * time.Millisecond}
	p.life = newLife("hq-test", base, &log.Logger{Level: log.PanicLevel}, journal.New("vm1", "hq-test", 10), nil)
	p.life.machine.Watch(p.noteStep)
	return p
}

// noteStep is called under the life's lock; the fault comes right after it.
func (p *drainPlay) noteStep(s statechart.Transition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.Event == eventDrained {
		require.Zero(p.t, p.inFlight, "stopped with a request in flight")
		p.stoppedAt = time.Now()
	}
	if s.Event == eventDrain {
		p.drainedAt = time.Now()
	}
	if s == p.step && !p.taken {
		p.taken = true
		p.duties.Go(func() { p.inject(p) })
	}
}

// run lives through start, work and drain, and returns what callers received.
func (p *drainPlay) run() string {
	begun := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p.step.Event == "" {
		p.taken = true
		p.inject(p)
	}
	p.duties.Go(func() { p.server(ctx) })
	p.duties.Go(func() { p.balancer(begun) })
	drainAt := 3 * time.Second
	if p.step.From == "starting" && p.step.Event == eventDrain {
		drainAt = 100 * time.Millisecond
		p.configureAfter(5 * time.Second)
	}
	p.duties.Go(func() {
		time.Sleep(p.firstConfiguration())
		if time.Since(begun) < playEnd && p.alive() {
			p.life.Ready()
		}
	})
	time.Sleep(drainAt)
	if p.alive() {
		p.life.Drain()
	}
	time.Sleep(playEnd - drainAt)
	cancel()
	p.calls.Wait()
	return p.outcome()
}

func (p *drainPlay) outcome() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	require.True(p.t, p.taken, "nothing led to the step")
	if !p.killed {
		require.Zero(p.t, p.cut, "a planned stop cut a request off")
		require.False(p.t, p.stoppedAt.IsZero(), "it never stopped")
		require.Less(p.t, p.lastTaken.Sub(p.drainedAt), drainLead+balancerLooks, "new work after it left")
	}
	switch {
	case p.answered+p.refused+p.cut == 0:
		return "nothing was sent"
	case p.cut > 0:
		return "answered; unknown in flight"
	case p.refused > 0:
		return "answered; no"
	}
	return "answered"
}

func (p *drainPlay) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killed
}

// server keeps the order of the daemons' stop: lead, refuse, wait, drained.
func (p *drainPlay) server(ctx context.Context) {
	select {
	case <-p.life.Draining():
	case <-ctx.Done():
		return
	}
	p.life.Lead(ctx) // time that a pause takes is part of it
	p.whilePaused()
	p.calls.Wait()
	if p.alive() {
		p.life.Drained()
	}
}

func (p *drainPlay) whilePaused() {
	p.mu.Lock()
	wait := time.Until(p.pausedTo)
	p.mu.Unlock()
	time.Sleep(max(0, wait))
}

// balancer sends while its last look found the daemon ready.
func (p *drainPlay) balancer(begun time.Time) {
	ready, looked := false, time.Time{}
	for time.Since(begun) < playEnd-6*time.Second {
		time.Sleep(requestEvery)
		if time.Since(looked) >= balancerLooks {
			looked = time.Now()
			ready, _ = p.life.IsReady()
			ready = ready && p.alive()
		}
		if ready {
			p.request()
		}
	}
}

func (p *drainPlay) request() {
	if !p.alive() {
		return // the balancer's connection fails; it sends elsewhere
	}
	p.whilePaused()
	if !p.life.Serving() {
		p.mu.Lock()
		p.refused++
		p.mu.Unlock()
		return
	}
	p.mu.Lock()
	p.inFlight++
	p.lastTaken = time.Now()
	work := p.work
	p.mu.Unlock()
	p.calls.Go(func() {
		time.Sleep(work)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight--
		if p.killed {
			p.cut++
			return
		}
		p.answered++
	})
}

func (p *drainPlay) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

func (p *drainPlay) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedTo = time.Now().Add(d)
}

func (p *drainPlay) slow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = d
}

func (p *drainPlay) lateConfiguration() { p.configureAfter(2 * time.Second) }

func (p *drainPlay) configureAfter(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configured = d
}

func (p *drainPlay) firstConfiguration() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configured
}

const (
	noneHere   = "a daemon's life holds no lease and depends on none"
	noStep     = "what a target or request does shows in a drain as longer work only: see target frozen and back"
	noNetwork  = "a cut shows in a drain as a configuration that comes late: see agent lost"
	viaAgent   = "a daemon learns of the store through its agent: see agent lost"
	justLosses = "the same as the loss of the process, or of its agent, alone"
)

var drainBreakages = map[faults.Fault]struct {
	impossible string
	inject     func(*drainPlay)
}{
	faults.None:             {inject: func(*drainPlay) {}},
	faults.Partition:        {impossible: noNetwork},
	faults.Pause:            {inject: func(p *drainPlay) { p.pause(2 * time.Second) }},
	faults.EntryLost:        {inject: (*drainPlay).kill},
	faults.DispatchLost:     {inject: (*drainPlay).kill},
	faults.AgentLost:        {inject: (*drainPlay).lateConfiguration},
	faults.TargetFrozen:     {inject: func(p *drainPlay) { p.slow(3 * time.Second) }},
	faults.TargetLost:       {impossible: noStep},
	faults.StoreDown:        {impossible: viaAgent},
	faults.StoreSlow:        {impossible: viaAgent},
	faults.StoreAnswerLost:  {impossible: viaAgent},
	faults.LeaseLapsed:      {impossible: noneHere},
	faults.OperatorsRace:    {inject: func(p *drainPlay) { p.life.Drain(); p.life.Drain() }},
	faults.CrashingRequest:  {impossible: noStep},
	faults.VMLeaves:         {inject: func(p *drainPlay) { p.life.Drain() }},
	faults.TargetLeaves:     {impossible: noStep},
	faults.DataCentreLost:   {impossible: justLosses},
	faults.TargetLostTwice:  {impossible: noStep},
	faults.PartitionTwice:   {impossible: noNetwork},
	faults.TargetAndStore:   {impossible: noStep},
	faults.AgentAndTarget:   {impossible: justLosses},
	faults.PauseInPartition: {impossible: noNetwork},
}

const drainAbout = `The life of one daemon, from start over work to drain, behind a balancer that looks at /readyz every 503 ms,
with a lead of 1 s and a request every 53 ms. Its server is a fake that keeps the order of the daemons' own stop; the
state, readiness and lead are the real ones. Each cell shows what callers received.

Checked in each cell: a stop that was planned cuts off no request in flight, ends, and takes no new work later than the
lead and one look of the balancer; the daemon is stopped only when no request is left.`

// A VM is replaced, and callers see broken connections: its daemon was asked to stop
// while it started, twice, or in the middle of a pause.
// docs/faults/daemon.md shows each fault at each step.
func TestFaultsAtStepsOfDaemon(t *testing.T) {
	chart := charts.MustLoad("daemon")
	m := faults.New(chart, drainAbout)
	for _, step := range faults.Steps(chart) {
		for _, f := range faults.All() {
			b, ok := drainBreakages[f]
			require.True(t, ok, "no entry for %s", f)
			if b.impossible != "" {
				m.Impossible(f, step, b.impossible)
				continue
			}
			t.Run(fmt.Sprintf("%s at %s", f, faults.StepName(step)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newDrainPlay(t, step, b.inject)
					m.Set(f, step, p.run())
					p.duties.Wait()
				})
			})
		}
	}
	require.NoError(t, m.Compare("../.."))
}
