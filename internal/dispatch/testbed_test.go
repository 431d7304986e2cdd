package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/caller"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/target"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// testbed runs a real queue in virtual time against simulated targets. Tests check what
// callers receive.
type testbed struct {
	t       *testing.T
	mu      sync.Mutex
	view    *view.View
	changed chan struct{}
	service *model.Service
	random  *rand.Rand
	targets map[string]*fakeTarget
	runs    map[string]int
	sends   int
	tallies map[string]*tally
	queue   *queue
	callers sync.WaitGroup
}

// fakeTarget simulates a target with a number of slots.
type fakeTarget struct {
	slots, running, served, most int
	factor                       float64
	// loseShare is the share of answers that are lost after the request has run.
	loseShare   float64
	down        bool
	refuseAfter time.Duration
	refusal     target.Refusal
	health      target.Health
	load        target.Load
}

// tally counts the answers that one customer received.
type tally struct {
	answered, refused, unknown, late int
	latencies, refusals              []time.Duration
	kinds                            map[problem.Kind]int
}

func (y *tally) sent() int { return y.answered + y.refused + y.unknown }

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

// withTestbed runs a scenario on the given number of targets with 2 slots each. If keyed is
// set, the queue is that of master-1.
func withTestbed(t *testing.T, targets int, keyed bool, scenario func(b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testbed{
			t: t, changed: make(chan struct{}), random: rand.New(rand.NewPCG(1, 2)),
			targets: make(map[string]*fakeTarget), runs: make(map[string]int), tallies: make(map[string]*tally),
		}
		b.service = &model.Service{Name: "master", Keyed: keyed, Slots: 2, Connections: 110, BackgroundFloor: 0.2}
		for i := range targets {
			name := fmt.Sprintf("master-%d", i+1)
			b.service.Targets = append(b.service.Targets, model.Target{Name: name, Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i), DataCentre: "khomas-a"})
			b.targets[name] = &fakeTarget{slots: 2, factor: 1}
		}
		b.own("master-1")
		id := queueID{Service: "master"}
		if keyed {
			id.Target = "master-1"
		}
		registry := metrics.NewRegistry()
		b.queue = newQueue(id, &queueDeps{
			vm: "vm1", limit: 1024, feed: b, sender: b, prober: b, quarantine: noQuarantine{},
			journal: journal.New("vm1", processName, 100), registry: registry, counters: newCounters(registry),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		loops.Go(func() { b.queue.run(ctx) })
		loops.Go(func() { b.queue.pollHints(ctx) })
		scenario(b)
		b.callers.Wait()
		cancel()
		loops.Wait()
		b.checkGuarantees()
	})
}

// own publishes a view in which the target owns all keys, or nobody for "".
func (b *testbed) own(name string) { b.publish(b.t, name) }

func (b *testbed) publish(t testing.TB, name string) {
	spec, err := json.Marshal(b.service)
	require.NoError(t, err)
	var grants []wire.Grant
	if name != "" {
		grants = []wire.Grant{{Service: "master", Group: 1, Slices: []keyspace.Slice{{First: 0, Last: ^keyspace.Point(0)}}, Target: model.TargetRef{Name: name}}}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = view.Build([]platform.Object{{Kind: model.KindService, Name: "master", Spec: spec}}, nil, grants)
	require.Empty(t, b.view.Problems)
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *testbed) Current() *view.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

func (b *testbed) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *testbed) set(name string, do func(f *fakeTarget)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do(b.targets[name])
}

// sent returns the number of attempts so far.
func (b *testbed) sent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sends
}

var errBroken = errors.New("connection broke")

// workHeader is the header that holds the service time of a request.
const workHeader = "Work"

// Send simulates the target.
func (b *testbed) Send(ctx context.Context, a *target.Attempt) (*wire.Answer, error) {
	if err := caller.Check(ctx); err != nil {
		return nil, errors.Join(target.ErrUnsent, target.ErrWithheld, err)
	}
	f := b.targets[a.Target.Name]
	work, _ := time.ParseDuration(a.Request.Header.Get(workHeader))
	if err := b.begin(f, a, &work); err != nil {
		time.Sleep(f.refuseAfter)
		return nil, err
	}
	defer func() {
		b.mu.Lock()
		f.running--
		b.mu.Unlock()
	}()
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.down || b.random.Float64() < f.loseShare {
		return nil, errBroken
	}
	f.served++
	return &wire.Answer{ID: a.Request.ID, Status: 200, Sum: wire.Sum(nil), Target: a.Target.Name}, nil
}

func (b *testbed) begin(f *fakeTarget, a *target.Attempt, work *time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sends++
	switch {
	case f.down:
		return target.ErrUnsent
	case f.refusal != "":
		return &target.RefusedError{Reason: f.refusal}
	case f.running >= f.slots:
		return &target.RefusedError{Reason: target.RefusedShed}
	}
	f.running++
	f.most = max(f.most, f.running)
	b.runs[a.Request.ID]++
	*work = time.Duration(float64(*work) * f.factor)
	return nil
}

func (b *testbed) at(addr string) *fakeTarget {
	for _, t := range b.service.Targets {
		if t.Addr == addr {
			return b.targets[t.Name]
		}
	}
	return nil
}

func (b *testbed) Health(_ context.Context, addr string) (target.Health, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.at(addr)
	if f.down {
		return target.Health{}, target.ErrUnsent
	}
	return f.health, nil
}

func (b *testbed) Load(_ context.Context, addr string) (target.Load, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at(addr).load, nil
}

// stream describes the requests of one customer.
type stream struct {
	customer   string
	class      model.Class
	rate       float64
	lasts      time.Duration
	deadline   time.Duration
	work       time.Duration
	path       string
	idempotent bool
}

// offer starts a stream with Poisson arrivals and exponential service times.
func (b *testbed) offer(s stream) {
	if s.deadline == 0 {
		s.deadline = 2 * time.Second
	}
	if s.work == 0 {
		s.work = meanWork
	}
	random := rand.New(rand.NewPCG(7, uint64(len(s.customer))+uint64(s.rate)))
	b.callers.Go(func() {
		begin := time.Now()
		for n := 0; ; n++ {
			time.Sleep(time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)))
			if time.Since(begin) > s.lasts {
				return
			}
			work := time.Duration(random.ExpFloat64() * float64(s.work))
			b.callers.Go(func() { b.call(s, fmt.Sprintf("%s%s-%d", s.customer, s.path, n), work) })
		}
	})
}

// burst sends n requests at once.
func (b *testbed) burst(s stream, n int) {
	random := rand.New(rand.NewPCG(9, uint64(n)))
	for i := range n {
		work := time.Duration(random.ExpFloat64() * float64(meanWork))
		b.callers.Go(func() { b.call(s, fmt.Sprintf("%s-burst-%d", s.customer, i), work) })
	}
}

func (b *testbed) request(s stream, id string, work time.Duration) *wire.Request {
	r := &wire.Request{
		ID: id, Service: "master", Customer: s.customer, Class: s.class, Weight: 1, Key: "k",
		Method: "GET", Path: "/" + s.path, Budget: s.deadline, Idempotent: s.idempotent,
		Header: make(map[string][]string),
	}
	r.Header.Set(workHeader, work.String())
	return r
}

func (b *testbed) call(s stream, id string, work time.Duration) wire.Answer {
	start := time.Now()
	j := newJob(b.request(s, id, work), start)
	_ = b.queue.inbox.Push(b.t.Context(), message{arrive: j})
	a := <-j.done
	b.note(s, id, a, time.Since(start))
	return a
}

func (b *testbed) note(s stream, id string, a wire.Answer, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	y := b.tallies[s.customer]
	if y == nil {
		y = &tally{kinds: make(map[problem.Kind]int)}
		b.tallies[s.customer] = y
	}
	if took > s.deadline+time.Millisecond {
		y.late++
	}
	if a.Problem == nil {
		y.answered++
		y.latencies = append(y.latencies, took)
		return
	}
	y.kinds[a.Problem.Kind]++
	if a.Problem.Ran == problem.RanUnknown {
		if status := a.Problem.Status(); status != http.StatusBadGateway && status != http.StatusGatewayTimeout || a.Problem.RetryAfter > 0 {
			b.t.Errorf("%s may have run, and its caller is told %d and to come back after %v", id, status, a.Problem.RetryAfter)
		}
		y.unknown++
		return
	}
	y.refused++
	y.refusals = append(y.refusals, took)
	if b.runs[id] > 0 {
		b.t.Errorf("%s was refused as not run, but has run", id)
	}
}

// checkGuarantees checks that no answer came after its deadline, and that the queue holds
// no job any more.
func (b *testbed) checkGuarantees() {
	for customer, y := range b.tallies {
		require.Zero(b.t, y.late, customer)
	}
	require.Empty(b.t, b.queue.jobs)
	require.Zero(b.t, b.queue.waiting.Len())
	require.Empty(b.t, b.queue.unsent)
}
