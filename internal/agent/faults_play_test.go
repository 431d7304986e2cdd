package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/ctl"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/memstore"
	"hemlockquay/internal/statechart"
	"hemlockquay/internal/wire"
)

// changePlay is one change of a contract being put in force.
type changePlay struct {
	t      *testing.T
	chart  *statechart.Chart
	step   statechart.Transition
	inject func(*changePlay)
	lasts  time.Duration
	store  *memstore.Store

	// mu guards what follows: operators and fleet are goroutines. It is held in
	// each beat and in each call at the store, and never while time passes.
	mu             sync.Mutex
	machine        *statechart.Machine
	taken          bool
	faultAt        time.Time
	downTo, slowTo time.Time
	cutTo          time.Time
	loseAnswer     bool
	operators      sync.WaitGroup

	nodes [3]*changeNode
	// accepted is the rate that was accepted last, refused those that were not.
	accepted float64
	refused  []float64
	raced    bool
	endedAt  time.Time
}

// changeNode is a VM with its agent and one daemon.
type changeNode struct {
	agent, daemon                *configuration
	revision, version            uint64
	deadTo, pausedTo, daemonGone time.Time
	dead                         bool
}

const (
	changeBeat = 100 * time.Millisecond
	changeFor  = 40 * time.Second
	// inForceWithin is the bound that the capacity page takes from the users.
	inForceWithin = 11 * time.Second
)

func newChangePlay(t *testing.T, c *statechart.Chart, step statechart.Transition, inject func(*changePlay), lasts time.Duration) *changePlay {
	p := &changePlay{t: t, chart: c, step: step, inject: inject, lasts: lasts, store: memstore.New(), machine: c.Start()}
	_, err := p.store.Put(t.Context(), contract("a", 0, 1))
	require.NoError(t, err)
	for i := range p.nodes {
		p.nodes[i] = &changeNode{}
		p.revive(i)
	}
	for range 3 {
		p.beat()
	}
	return p
}

func (p *changePlay) revive(i int) {
	n := p.nodes[i]
	n.agent, n.daemon = newConfiguration(func() {}), newConfiguration(func() {})
	n.revision, n.version, n.dead = 0, 0, false
}

// did notes a call on the way of the change. The first call of each kind is its
// step. It needs p.mu.
func (p *changePlay) did(e statechart.Event) {
	before := p.machine.State()
	err := p.machine.Fire(e)
	due := err == nil && !p.taken && p.step.Event == e && p.step.From == before
	p.taken = p.taken || due
	if due {
		p.begin()
	}
}

func (p *changePlay) begin() {
	p.faultAt = time.Now()
	p.inject(p)
}

// run plays the change and returns what its operator received.
func (p *changePlay) run() string {
	p.mu.Lock()
	if p.step.Event == "" {
		p.taken = true
		p.begin()
	}
	p.mu.Unlock()
	var received string
	p.operators.Go(func() { received = p.apply(2) })
	inForce := time.Time{}
	for end := time.Now().Add(changeFor); time.Now().Before(end); time.Sleep(changeBeat) {
		switch done := p.beat(); {
		case !done:
			inForce = time.Time{}
		case inForce.IsZero():
			inForce = time.Now()
		}
	}
	p.operators.Wait()
	p.checkEnd(inForce)
	from := p.faultAt.Add(p.lasts)
	if p.endedAt.After(from) {
		from = p.endedAt
	}
	took := max(0, inForce.Sub(from))
	require.Less(p.t, took, inForceWithin, "in force everywhere")
	return fmt.Sprintf("%s, %.0f", received, math.Ceil(took.Seconds()))
}

func (p *changePlay) checkEnd(inForce time.Time) {
	require.True(p.t, p.taken, "nothing led to the step")
	require.False(p.t, inForce.IsZero(), "the stored version is not in force everywhere")
	stored := rateOf(p.t, p.object())
	if p.accepted != 0 {
		require.Equal(p.t, p.accepted, stored, "an accepted change was lost")
	}
	require.NotContains(p.t, p.refused, stored, "a refused change was written")
	if p.raced {
		require.Len(p.t, p.refused, 1, "one of two that read the same version gets a conflict")
	}
}

func (p *changePlay) object() platform.Object {
	o, err := p.store.Get(context.Background(), contract("a", 0, 0).ID())
	require.NoError(p.t, err)
	return o
}

func rateOf(t *testing.T, o platform.Object) float64 {
	var c model.Contract
	require.NoError(t, json.Unmarshal(o.Spec, &c))
	return c.Services[0].Rate
}

// apply is an operator that read version 1.
func (p *changePlay) apply(rate float64) string {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := ctl.Apply(ctx, &faultyStore{Store: p.store, play: p}, contract("a", 1, rate))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedAt = time.Now()
	switch {
	case err == nil:
		p.accepted = rate
		return "accepted"
	case errors.Is(err, platform.ErrConflict):
		p.refused = append(p.refused, rate)
		return "conflict"
	}
	require.ErrorIs(p.t, err, platform.ErrUnavailable)
	p.refused = append(p.refused, rate)
	return "unavailable"
}

// rival is another operator who read the same version.
func (p *changePlay) rival() {
	p.raced = true
	p.operators.Go(func() {
		time.Sleep(time.Millisecond)
		p.apply(3)
	})
}

// faultyStore is the store as operators reach it.
type faultyStore struct {
	platform.Store
	play *changePlay
}

// travel is the way to the store or back.
func (s *faultyStore) travel() error {
	time.Sleep(5 * time.Millisecond)
	if s.play.until(&s.play.slowTo) {
		time.Sleep(1500 * time.Millisecond)
	}
	if s.play.until(&s.play.downTo) {
		return platform.ErrUnavailable
	}
	return nil
}

func (p *changePlay) until(end *time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(*end)
}

func (s *faultyStore) Get(ctx context.Context, id platform.ID) (platform.Object, error) {
	if err := s.travel(); err != nil {
		return platform.Object{}, err
	}
	s.play.mu.Lock()
	defer s.play.mu.Unlock()
	o, err := s.Store.Get(ctx, id)
	s.play.did("get")
	return o, err
}

// Put loses its answer where the store goes down or a loss is due.
func (s *faultyStore) Put(ctx context.Context, o platform.Object) (platform.Object, error) {
	if err := s.travel(); err != nil {
		return platform.Object{}, err
	}
	written, lost, err := s.put(ctx, o)
	if err == nil && (s.travel() != nil || lost) {
		return platform.Object{}, platform.ErrAmbiguous
	}
	return written, err
}

func (s *faultyStore) put(ctx context.Context, o platform.Object) (written platform.Object, lost bool, err error) {
	s.play.mu.Lock()
	defer s.play.mu.Unlock()
	written, err = s.Store.Put(ctx, o)
	s.play.did("put")
	lost, s.play.loseAnswer = s.play.loseAnswer, false
	return written, lost, err
}

// beat lets the fleet do what it does in 100 ms, and checks that nothing falls. It
// reports whether the change has ended and is in force.
func (p *changePlay) beat() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	watching := -1
	for i, n := range p.nodes {
		if n.dead && !now.Before(n.deadTo) {
			p.revive(i)
		}
		if watching < 0 && !n.dead && (i == len(p.nodes)-1 || !now.Before(n.pausedTo)) {
			watching = i
		}
	}
	for i, n := range p.nodes {
		if n.dead || now.Before(n.pausedTo) {
			continue
		}
		p.follow(i, i == watching, now)
		p.load(n, now)
		p.checkNode(n)
	}
	return !p.endedAt.IsZero() && p.everywhere()
}

// follow brings one agent up to date: from the store where it watches or holds
// nothing, else from a peer that is ahead.
func (p *changePlay) follow(i int, watching bool, now time.Time) {
	n := p.nodes[i]
	revision, ready := n.agent.state()
	if (watching || !ready) && !now.Before(p.downTo) && !now.Before(p.slowTo) {
		p.fromStore(n.agent)
	}
	for j, peer := range p.nodes {
		ahead, peerReady := peer.agent.state()
		if i == j || peer.dead || now.Before(peer.pausedTo) || now.Before(p.cutTo) || !peerReady || ahead <= revision {
			continue
		}
		var reply wire.PullReply
		peer.agent.since(revision, everyKind, &reply)
		if n.agent.take(revision, &reply) == nil {
			p.didIfNew("pull")
		}
		return
	}
}

func (p *changePlay) fromStore(c *configuration) {
	revision, ready := c.state()
	if !ready {
		l, err := p.store.List(context.Background())
		require.NoError(p.t, err)
		_ = c.replace(l)
	} else {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = p.store.Watch(ctx, revision, func(e platform.Event) error { c.apply(e); return nil })
	}
	if after, _ := c.state(); after > revision {
		p.didIfNew("watch")
	}
}

// didIfNew notes a step of the fleet once the change is stored.
func (p *changePlay) didIfNew(e statechart.Event) {
	if p.object().Version > 1 {
		p.did(e)
	}
}

func (p *changePlay) load(n *changeNode, now time.Time) {
	if now.Before(n.daemonGone) {
		return
	}
	revision, _ := n.daemon.state()
	var reply wire.PullReply
	n.agent.since(revision, daemonKind, &reply)
	if !reply.Ready || reply.Revision <= revision {
		return
	}
	if n.daemon.take(revision, &reply) == nil {
		p.didIfNew("load")
	}
}

func (p *changePlay) checkNode(n *changeNode) {
	revision, _ := n.agent.state()
	require.GreaterOrEqual(p.t, revision, n.revision, "an agent's revision fell")
	n.revision = revision
	for _, o := range n.daemon.list() {
		require.GreaterOrEqual(p.t, o.Version, n.version, "a daemon's contract fell back")
		n.version = o.Version
	}
}

// everywhere reports whether the stored version is in force on every VM that runs.
func (p *changePlay) everywhere() bool {
	want := p.object().Version
	for _, n := range p.nodes {
		if !n.dead && n.version != want {
			return false
		}
	}
	return true
}

func (p *changePlay) cut(d time.Duration)          { p.cutTo = time.Now().Add(d) }
func (p *changePlay) pause(i int, d time.Duration) { p.nodes[i].pausedTo = time.Now().Add(d) }

func (p *changePlay) lose(i int, d time.Duration) {
	p.nodes[i].dead, p.nodes[i].deadTo = true, time.Now().Add(d)
}

func (p *changePlay) loseDaemon(i int) {
	n := p.nodes[i]
	n.daemon, n.version, n.daemonGone = newConfiguration(func() {}), 0, time.Now().Add(time.Second)
}
