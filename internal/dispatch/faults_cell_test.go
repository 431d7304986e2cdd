package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/faults"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

const (
	victim         = "victim"
	victimWork     = 47 * time.Millisecond
	victimDeadline = 2 * time.Second
	// The times of faults are odd numbers, so that no two events fall on one
	// instant, where their order would be open.
	//
	// pauseLength is over the victim's deadline.
	pauseLength = 3 * time.Second
)

// cell is one run: a fault at a step, for one kind of request.
type cell struct {
	*testbed
	script    script
	step      statechart.Transition
	injection injection

	// mu guards what follows; it is never held with bench.mu.
	cellMu       sync.Mutex
	ends         []string
	stepReached  bool
	injectOnSend bool
	last         string
	incarnations map[string]int
	frozen       map[string]chan struct{}
	cutUntil     time.Time
	dead         chan struct{}
	crashes      bool
	deaths       int
	left         map[string]time.Time
}

// virtualBoot is the boot clock of virtual time.
type virtualBoot struct{ begun time.Time }

func (v virtualBoot) Now() time.Duration { return time.Since(v.begun) }

// Send plays the network and the target, and ends the victim's attempts as the
// script says.
func (c *cell) Send(ctx context.Context, a *target.Attempt) (*wire.Answer, error) {
	name := a.Target.Name
	end, inject, life, err := c.beginAttempt(a)
	if inject {
		time.AfterFunc(victimWork/2, func() { c.injection.inject(c) })
	}
	if errors.Is(err, target.ErrUnsent) {
		time.Sleep(connectTimeout)
	}
	if err != nil {
		return nil, err
	}
	if err := c.waitWhileFrozen(ctx, name, a.Request.ID); err != nil {
		return nil, err
	}
	answer, err := c.testbed.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	if a.Request.ID == victim && c.crash(name) {
		return nil, errBroken
	}
	if err := c.waitWhileFrozen(ctx, name, ""); err != nil {
		return nil, err
	}
	c.cellMu.Lock()
	defer c.cellMu.Unlock()
	if end == endLost || c.incarnations[name] != life || c.unreachable() {
		return nil, errBroken
	}
	return answer, nil
}

// beginAttempt returns how the attempt shall end, and whether the fault comes
// while it runs.
func (c *cell) beginAttempt(a *target.Attempt) (end string, inject bool, life int, err error) {
	c.cellMu.Lock()
	defer c.cellMu.Unlock()
	if at, ok := c.left[a.Target.Name]; ok && time.Since(at) > leavingNoticed {
		c.t.Errorf("%s was sent to %s, which leaves", a.Request.ID, a.Target.Name)
	}
	end, life = endAnswer, c.incarnations[a.Target.Name]
	if a.Request.ID == victim {
		c.last = a.Target.Name
		inject, c.injectOnSend = c.injectOnSend, false
		if len(c.ends) > 0 {
			end, c.ends = c.ends[0], c.ends[1:]
		}
	}
	switch {
	case c.unreachable(), end == endUnsent:
		err = target.ErrUnsent
	case end == endShed:
		err = &target.RefusedError{Reason: target.RefusedShed}
	}
	return end, inject, life, err
}

// unreachable reports whether the network or the dispatcher is down. cellMu is held.
func (c *cell) unreachable() bool {
	return c.isDead() || time.Now().Before(c.cutUntil)
}

// isDead reports whether the dispatcher is lost.
func (c *cell) isDead() bool {
	select {
	case <-c.dead:
		return true
	default:
		return false
	}
}

// connectTimeout is how long a connection into a partition takes to fail.
const connectTimeout = 23 * time.Millisecond

// leavingNoticed is how long a target that leaves may still be tried.
const leavingNoticed = 3 * time.Second

// waitWhileFrozen waits while the target is frozen. It runs what it was given when it is
// back, though nobody waits for it any more.
func (c *cell) waitWhileFrozen(ctx context.Context, name, id string) error {
	c.cellMu.Lock()
	frozen := c.frozen[name]
	c.cellMu.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
	}
	if id != "" {
		c.callers.Go(func() {
			<-frozen
			c.mu.Lock()
			defer c.mu.Unlock()
			c.runs[id]++
		})
	}
	return ctx.Err()
}

func (c *cell) freeze(name string, d time.Duration) {
	thawed := make(chan struct{})
	c.cellMu.Lock()
	c.frozen[name] = thawed
	c.cellMu.Unlock()
	time.AfterFunc(d, func() {
		c.cellMu.Lock()
		delete(c.frozen, name)
		c.cellMu.Unlock()
		close(thawed)
	})
}

func (c *cell) cutFor(d time.Duration) {
	c.cellMu.Lock()
	defer c.cellMu.Unlock()
	c.cutUntil = time.Now().Add(d)
}

// pause stops the queue's goroutine.
func (c *cell) pause() { c.push(message{inspect: func() { time.Sleep(pauseLength) }}) }

func (c *cell) push(m message) { _ = c.queue.inbox.Push(context.Background(), m) }

// loseDispatcher takes the dispatcher away: its connections break, and it sends no more.
func (c *cell) loseDispatcher() {
	close(c.dead)
	c.push(message{drain: true})
}

// refuseGrantFor has the target refuse the grant until the grantor has granted anew.
func (c *cell) refuseGrantFor(d time.Duration) {
	c.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedFence })
	time.AfterFunc(d, func() {
		c.set("master-1", func(f *fakeTarget) { f.refusal = "" })
		c.own("master-1")
	})
}

// victimTarget is the target that the victim was sent to last.
func (c *cell) victimTarget() string {
	c.cellMu.Lock()
	defer c.cellMu.Unlock()
	if c.last == "" {
		return "master-1"
	}
	return c.last
}

func (c *cell) otherTarget() string {
	if c.victimTarget() == "master-2" {
		return "master-1"
	}
	return "master-2"
}

func (c *cell) lose(name string) {
	c.cellMu.Lock()
	c.incarnations[name]++
	c.cellMu.Unlock()
	c.set(name, func(f *fakeTarget) { f.down = true })
}

func (c *cell) leave(name string) {
	c.cellMu.Lock()
	c.left[name] = time.Now()
	c.cellMu.Unlock()
	c.set(name, func(f *fakeTarget) { f.refusal, f.health.Leaving = target.RefusedLeaving, true })
}

// race publishes what two operators wrote one after the other: fewer slots, and a
// service with one target less.
func (c *cell) race() {
	first, second := *c.service, *c.service
	first.Slots = 1
	second.Slots, second.Targets = 1, c.service.Targets[:2]
	for _, s := range []*model.Service{&first, &second} {
		c.mu.Lock()
		c.service = s
		c.mu.Unlock()
		c.own("master-1")
	}
}

func (c *cell) beginCrashing() {
	c.cellMu.Lock()
	defer c.cellMu.Unlock()
	c.crashes = true
}

// crash ends the target under the victim; it restarts after 311 ms.
func (c *cell) crash(name string) bool {
	c.cellMu.Lock()
	crashes := c.crashes
	if crashes {
		c.deaths++
	}
	c.cellMu.Unlock()
	if crashes {
		c.lose(name)
		time.AfterFunc(311*time.Millisecond, func() { c.set(name, func(f *fakeTarget) { f.down = false }) })
	}
	return crashes
}

// onStep is called at each step of the victim.
func (c *cell) onStep(s statechart.Transition) {
	if s.Event == c.script.drainAt {
		c.push(message{drain: true})
	}
	if s != c.step || c.stepReached {
		return
	}
	c.stepReached = true
	if s.Event == eventSend {
		c.cellMu.Lock()
		c.injectOnSend = true
		c.cellMu.Unlock()
		return
	}
	c.injection.inject(c)
}

// send sends a request and checks its answer against what ran.
func (c *cell) send(id string, idempotent bool, budget, work time.Duration) (received string) {
	s := stream{customer: "listeners", class: model.Interactive, deadline: budget, path: id, idempotent: idempotent}
	j := newJob(c.request(s, id, work), time.Now())
	if id == victim {
		j.state.Watch(c.onStep)
	}
	c.push(message{arrive: j})
	a := <-j.done
	if c.isDead() {
		return "unknown"
	}
	require.Equal(c.t, id, a.ID, "whole answer")
	require.Equal(c.t, wire.Sum(a.Body), a.Sum, "whole answer")
	if a.Problem == nil {
		return "answered"
	}
	if a.Problem.Ran == problem.RanNo {
		c.mu.Lock()
		defer c.mu.Unlock()
		require.Zero(c.t, c.runs[id], "%s was refused as not run", id)
		return "no"
	}
	return "unknown"
}

// playCell returns what the victim's caller received.
func playCell(t *testing.T, step statechart.Transition, b injection, idempotent bool) (received string) {
	targets := 3
	if b.keyed {
		targets = 1
	}
	withTestbed(t, targets, b.keyed, func(bench *testbed) {
		s := scripts[step]
		c := &cell{
			testbed: bench, script: s, step: step, injection: b, ends: s.ends, dead: make(chan struct{}),
			incarnations: make(map[string]int), frozen: make(map[string]chan struct{}), left: make(map[string]time.Time),
		}
		bench.queue.sender = c
		stop := c.watchCrashes()
		defer stop()
		received = c.play(idempotent)
	})
	return received
}

// watchCrashes puts the real watch over crashing requests in place.
func (c *cell) watchCrashes() func() {
	w := newCrashWatcher("vm1", c.testbed, func() {}, journal.New("vm1", processName, 100), &log.Logger{Level: log.PanicLevel}, metrics.NewRegistry())
	w.clock = virtualBoot{time.Now()}
	c.queue.quarantine = w
	ctx, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	duty.Go(func() { w.run(ctx) })
	return func() { cancel(); duty.Wait(); w.peers.Close() }
}

func (c *cell) play(idempotent bool) string {
	sendAsync := func(id string, idem bool, work time.Duration) {
		c.callers.Go(func() { c.send(id, idem, victimDeadline, work) })
	}
	sendAsync("bystander-1", true, 41*time.Millisecond)
	time.Sleep(time.Millisecond)
	sendAsync("bystander-2", false, 37*time.Millisecond)
	budget := victimDeadline
	if c.script.busy {
		budget = 100 * time.Millisecond
		for i := range 6 {
			c.callers.Go(func() { c.send(fmt.Sprint("blocker-", i), false, victimDeadline, 313*time.Millisecond) })
		}
	}
	time.Sleep(5 * time.Millisecond)
	if c.step.Event == "" {
		c.stepReached = true
		c.injection.inject(c)
	}
	received := c.send(victim, idempotent, budget, victimWork)
	c.callers.Wait()
	time.Sleep(5 * time.Second)
	c.checkAfter(idempotent)
	return received
}

// checkAfter checks what must hold once all is over, and that the queue serves on.
func (c *cell) checkAfter(idempotent bool) {
	c.mu.Lock()
	for id, n := range c.runs {
		if id == victim && idempotent || id == "bystander-1" {
			continue
		}
		require.LessOrEqual(c.t, n, 1, "%s ran more than once", id)
	}
	c.mu.Unlock()
	if c.injection.name == faults.None {
		require.True(c.t, c.stepReached, "the script does not lead to the step")
	}
	require.LessOrEqual(c.t, c.deaths, 2, "targets that the request crashed")
	if !c.injection.stopsDispatcher && c.script.drainAt == "" {
		require.Equal(c.t, "answered", c.send("later", false, victimDeadline, time.Millisecond), "the queue serves on")
	}
}
