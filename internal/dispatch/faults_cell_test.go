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
	// The durations of faults are odd numbers, so that no two events happen at the
	// same time, where their order would be undefined.
	//
	// pauseLength exceeds the victim's deadline.
	pauseLength = 3 * time.Second
)

// cell is one run of the fault matrix: a fault at a transition, for one kind of request, the
// victim.
type cell struct {
	*testbed
	script    script
	step      statechart.Transition
	injection injection

	// cellMu guards the fields below. It is never held together with testbed.mu.
	cellMu           sync.Mutex
	outcomes         []string
	stepReached      bool
	injectOnSend     bool
	lastTarget       string
	incarnations     map[string]int
	frozen           map[string]chan struct{}
	partitionedUntil time.Time
	dead             chan struct{}
	crashes          bool
	deaths           int
	leavingSince     map[string]time.Time
}

// virtualBoot is a boot clock in virtual time.
type virtualBoot struct{ start time.Time }

func (v virtualBoot) Now() time.Duration { return time.Since(v.start) }

// Send simulates the network and the target, and ends the attempts of the victim as the
// script prescribes.
func (c *cell) Send(ctx context.Context, a *target.Attempt) (*wire.Answer, error) {
	name := a.Target.Name
	time.Sleep(sendDelay)
	end, inject, incarnation, err := c.beginAttempt(a)
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
	if end == endLost || c.incarnations[name] != incarnation || c.unreachable() {
		return nil, errBroken
	}
	return answer, nil
}

// beginAttempt returns how the attempt must end, whether the fault is injected while it runs,
// and the incarnation of the target.
func (c *cell) beginAttempt(a *target.Attempt) (end string, inject bool, incarnation int, err error) {
	c.cellMu.Lock()
	defer c.cellMu.Unlock()
	if at, ok := c.leavingSince[a.Target.Name]; ok && time.Since(at) > leavingNoticed {
		c.t.Errorf("%s was sent to %s, which is leaving", a.Request.ID, a.Target.Name)
	}
	end, incarnation = endAnswer, c.incarnations[a.Target.Name]
	if a.Request.ID == victim {
		c.lastTarget = a.Target.Name
		inject, c.injectOnSend = c.injectOnSend, false
		if len(c.outcomes) > 0 {
			end, c.outcomes = c.outcomes[0], c.outcomes[1:]
		}
	}
	switch {
	case c.unreachable(), end == endUnsent:
		err = target.ErrUnsent
	case end == endShed:
		err = &target.RefusedError{Reason: target.RefusedShed}
	}
	return end, inject, incarnation, err
}

// unreachable reports whether the network or the dispatcher is down. The caller must hold
// cellMu.
func (c *cell) unreachable() bool {
	return c.isDead() || time.Now().Before(c.partitionedUntil)
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

// sendDelay is the time from the decision to send to the first byte. A cancellation at the moment of the decision comes before that.
const sendDelay = time.Microsecond

// connectTimeout is how long a connection attempt takes to fail in a partition.
const connectTimeout = 23 * time.Millisecond

// leavingNoticed is how long a leaving target may still get requests.
const leavingNoticed = 3 * time.Second

// waitWhileFrozen waits until the target is not frozen. If ctx ends first and id is not "",
// the target still runs the request when it is back.
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

func (c *cell) partitionFor(d time.Duration) {
	c.cellMu.Lock()
	defer c.cellMu.Unlock()
	c.partitionedUntil = time.Now().Add(d)
}

// pause stops the queue's goroutine.
func (c *cell) pause() { c.push(message{inspect: func() { time.Sleep(pauseLength) }}) }

func (c *cell) push(m message) { _ = c.queue.inbox.Push(context.Background(), m) }

// loseDispatcher simulates the loss of the dispatcher: its connections break, and it sends
// no more requests.
func (c *cell) loseDispatcher() {
	close(c.dead)
	c.push(message{drain: true})
}

// refuseGrantFor makes the target refuse the grant for the given time, after which it has a
// new grant.
func (c *cell) refuseGrantFor(d time.Duration) {
	c.set("master-1", func(f *fakeTarget) { f.refusal = target.RefusedFence })
	time.AfterFunc(d, func() {
		c.set("master-1", func(f *fakeTarget) { f.refusal = "" })
		c.own("master-1")
	})
}

// victimTarget returns the target to which the victim was sent last.
func (c *cell) victimTarget() string {
	c.cellMu.Lock()
	defer c.cellMu.Unlock()
	if c.lastTarget == "" {
		return "master-1"
	}
	return c.lastTarget
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
	c.leavingSince[name] = time.Now()
	c.cellMu.Unlock()
	c.set(name, func(f *fakeTarget) { f.refusal, f.health.Leaving = target.RefusedLeaving, true })
}

// race publishes the updates of two operators in quick succession: fewer slots, and then a
// service without its last target.
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

// crash ends the target that runs the victim if crashes is set; it restarts after 311 ms.
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

// onStep is called for each transition of the victim.
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

// send sends a request and checks that the answer agrees with what ran.
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
	require.Equal(c.t, id, a.ID, "request id of the answer")
	require.Equal(c.t, wire.Sum(a.Body), a.Sum, "checksum of the answer")
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

// playCell runs a cell and returns what the caller of the victim received.
func playCell(t *testing.T, step statechart.Transition, b injection, idempotent bool) (received string) {
	targets := 3
	if b.keyed {
		targets = 1
	}
	withTestbed(t, targets, b.keyed, func(bed *testbed) {
		s := scripts[step]
		c := &cell{
			testbed: bed, script: s, step: step, injection: b, outcomes: s.outcomes, dead: make(chan struct{}),
			incarnations: make(map[string]int), frozen: make(map[string]chan struct{}), leavingSince: make(map[string]time.Time),
		}
		bed.queue.sender = c
		stop := c.watchCrashes()
		defer stop()
		received = c.play(idempotent)
	})
	return received
}

// watchCrashes installs a real crashWatcher in the queue.
func (c *cell) watchCrashes() func() {
	w := newCrashWatcher("vm1", c.testbed, func() {}, journal.New("vm1", processName, 100), &log.Logger{Level: log.PanicLevel}, metrics.NewRegistry())
	w.clock = virtualBoot{time.Now()}
	c.queue.quarantine = w
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { w.run(ctx) })
	return func() { cancel(); loop.Wait(); w.peers.Close() }
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

// checkAfter checks what must hold after all requests have ended, and that the queue still
// serves.
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
		require.True(c.t, c.stepReached, "the script does not lead to the transition")
	}
	require.LessOrEqual(c.t, c.deaths, 2, "targets crashed by the request")
	if !c.injection.stopsDispatcher && c.script.drainAt == "" {
		require.Equal(c.t, "answered", c.send("later", false, victimDeadline, time.Millisecond), "the queue must still serve")
	}
}
