package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/boottime"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/feed"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/stall"
	"hemlockquay/internal/target"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// processName is the name of the daemon in reports and logs.
const processName = "hq-dispatch"

// casesNotFetched is the reason for which a dispatcher that has just started is not ready.
const casesNotFetched = "the cases of crashing requests have not been fetched from the other dispatchers yet"

// Module is the fx module of hq-dispatch.
var Module = fx.Options(fx.Invoke(start))

// dispatcher owns the queues and serves the calls of entries and other dispatchers.
type dispatcher struct {
	*daemon.Deps[*Settings]
	server *peer.Server
	feed   *feed.Feed
	sender *target.Sender
	prober *target.Prober
	loads  *groupLoads
	deps   *queueDeps
	// dedup runs requests with an Idempotency-Key at most once.
	dedup *deduplicator
	// quarantine detects requests that crash targets.
	quarantine *crashWatcher
	ctx        context.Context
	cancel     context.CancelFunc

	mu             sync.Mutex
	queues         map[queueID]*queue
	queueByRequest map[string]*queue
	draining       bool
	calls          sync.WaitGroup
	loops          sync.WaitGroup
}

func start(k *daemon.Deps[*Settings]) error {
	server, err := peer.Listen(k.Settings.Listen)
	if err != nil {
		return err
	}
	bounds := k.Settings.PeerBounds(k.Registry)
	server.Bound(bounds)
	server.Stalls = stall.NewMeter(boottime.System{})
	loads := newGroupLoads()
	endpoint := feed.Endpoint{Agent: k.Settings.Agent, Process: processName, Data: server.Addr(), Loads: loads.hottest, Replies: bounds.Replies()}
	ctx, cancel := context.WithCancel(context.Background())
	broken := answers.NewLog(k.Registry, k.Log)
	d := &dispatcher{
		Deps:           k,
		server:         server,
		feed:           feed.New(k.LC, endpoint, k.Lifecycle, k.Log, k.Registry),
		sender:         target.NewSender(k.Settings.TargetConnections).Within(bounds.Memory).ReportTo(broken),
		prober:         target.NewProber().ReportTo(broken),
		loads:          loads,
		ctx:            ctx,
		cancel:         cancel,
		queues:         make(map[queueID]*queue),
		queueByRequest: make(map[string]*queue),
	}
	d.quarantine = newCrashWatcher(k.Settings.VM, d.feed, k.Lifecycle.Require(casesNotFetched), k.Journal, k.Log, k.Registry)
	d.deps = &queueDeps{
		vm: k.Settings.VM, limit: k.Settings.QueueLength, fifo: k.Settings.Order == OrderFIFO,
		feed: d.feed, sender: d.sender, prober: d.prober, quarantine: d.quarantine,
		journal: k.Journal, registry: k.Registry, counters: newCounters(k.Registry),
	}
	d.dedup = newDeduplicator(k.Settings.VM, d.feed, k.Journal, k.Log, k.Registry)
	d.quarantine.peers.Within(bounds.Replies())
	d.dedup.peers.Within(bounds.Replies())
	if err := server.Register("Dispatch", &rpcReceiver{deduplicator: d.dedup, crashes: d.quarantine, d: d}); err != nil {
		return err
	}
	k.Lifecycle.AddDumpSection("dispatch", d.dump)
	k.Lifecycle.AddDumpSection("intents", d.dedup.dump)
	k.Lifecycle.AddDumpSection("quarantine", d.quarantine.dump)
	k.LC.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return nil
}

func (d *dispatcher) start(context.Context) error {
	d.loops.Go(func() { d.dedup.runSync(d.ctx) })
	d.loops.Go(func() { d.quarantine.run(d.ctx) })
	d.loops.Go(func() { d.server.Stalls.Run(d.ctx, nil) })
	d.server.OnAcceptError = func(err error) {
		d.Log.Warn().Err(err).Str("step", "accept").Msg("no connection of a peer accepted, trying again")
	}
	go d.server.Serve()
	return nil
}

// stop drains the dispatcher. It admits requests until the entries have been notified.
// After that, requests that are not sent are refused as not run at once, so that entries
// send them to another dispatcher, and those that were sent are awaited.
func (d *dispatcher) stop(ctx context.Context) error {
	d.Lifecycle.BeginDrain()
	d.Lifecycle.WaitLeaveLead(ctx)
	d.mu.Lock()
	d.draining = true
	queues := slices.Collect(maps.Values(d.queues))
	d.mu.Unlock()
	for _, q := range queues {
		_ = q.inbox.Push(d.ctx, message{drain: true})
	}
	d.calls.Wait()
	d.dedup.handOverRecords(ctx)
	d.cancel()
	d.loops.Wait()
	d.server.Close()
	d.dedup.peers.Close()
	d.quarantine.peers.Close()
	d.sender.Close()
	d.prober.Close()
	d.Lifecycle.MarkDrained()
	return nil
}

// rpcReceiver has the methods that net/rpc publishes.
type rpcReceiver struct {
	*deduplicator
	crashes *crashWatcher
	d       *dispatcher
}

// Do runs a request and returns its answer.
func (r *rpcReceiver) Do(request *wire.Request, answer *wire.Answer) error {
	if request.IdempotencyKey == "" {
		*answer = r.d.do(request)
		return nil
	}
	*answer = r.d.doIdempotent(request)
	return nil
}

// Permit handles the notice or permit request of another dispatcher about a suspect.
func (r *rpcReceiver) Permit(args *PermitArgs, reply *PermitReply) error {
	return r.crashes.Permit(args, reply)
}

// Cases returns all cases of crashing requests that this dispatcher knows.
func (r *rpcReceiver) Cases(args *wire.Empty, reply *CaseList) error {
	return r.crashes.Cases(args, reply)
}

// Cancel cancels a request whose caller went away.
func (r *rpcReceiver) Cancel(args *wire.CancelArgs, _ *wire.Empty) error {
	r.d.mu.Lock()
	q := r.d.queueByRequest[args.ID]
	r.d.mu.Unlock()
	if q != nil {
		_ = q.inbox.Push(r.d.ctx, message{cancel: args.ID})
	}
	return nil
}

// doIdempotent answers a request with an Idempotency-Key. It counts as a call in progress
// until its record is settled, so that a planned stop waits for the record.
func (d *dispatcher) doIdempotent(r *wire.Request) wire.Answer {
	d.mu.Lock()
	if d.draining {
		d.mu.Unlock()
		return wire.ProblemAnswer(r.ID, problem.Refuse(problem.Leaving, stepIntent, d.Settings.VM, "the dispatcher is leaving"))
	}
	d.calls.Add(1)
	d.mu.Unlock()
	defer d.calls.Done()
	return d.dedup.runOnce(d.ctx, r, d.do)
}

func (d *dispatcher) do(r *wire.Request) wire.Answer {
	if r.Sum != wire.Sum(r.Body) {
		return wire.ProblemAnswer(r.ID, problem.Refuse(problem.BadRequest, "receive", d.Settings.VM, "the body's checksum does not match"))
	}
	if r.WaitedTooLong() {
		d.deps.counters.unread.Inc(1)
		return wire.ProblemAnswer(r.ID, problem.Refuse(problem.Leaving, "receive", d.Settings.VM, "the process did not run, and the request may have waited too long").WithRetryAfter(time.Second))
	}
	j := newJob(r, time.Now())
	q, p := d.register(j)
	if p != nil {
		return wire.ProblemAnswer(r.ID, p)
	}
	defer d.unregister(j)
	if err := q.inbox.Push(d.ctx, message{arrive: j}); err != nil {
		return wire.ProblemAnswer(r.ID, problem.Refuse(problem.Leaving, "queue", d.Settings.VM, err.Error()))
	}
	answer := <-j.done
	if p := answer.Problem; p != nil && p.Kind == problem.AnswerLost {
		d.quarantine.awaitNotices(d.ctx, r)
	}
	return answer
}

// register returns the queue for the job and counts the call as in progress, or returns the
// problem with which the job is refused. It creates and starts the queue if necessary.
func (d *dispatcher) register(j *job) (*queue, *problem.Error) {
	id, p := d.queueIDFor(d.feed.Current(), j.request)
	if p != nil {
		return nil, p
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil, problem.Refuse(problem.Leaving, "queue", d.Settings.VM, "the dispatcher is leaving")
	}
	q := d.queues[id]
	if q == nil {
		q = newQueue(id, d.deps)
		d.queues[id] = q
		d.loops.Go(func() { q.run(d.ctx) })
		d.loops.Go(func() { q.pollHints(d.ctx) })
	}
	d.queueByRequest[j.request.ID] = q
	d.calls.Add(1)
	return q, nil
}

func (d *dispatcher) unregister(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.queueByRequest, j.request.ID)
	d.calls.Done()
}

func (d *dispatcher) queueIDFor(v *view.View, r *wire.Request) (queueID, *problem.Error) {
	s := v.Service(r.Service)
	if s == nil {
		return queueID{}, problem.Refuse(problem.UnknownService, "queue", d.Settings.VM, fmt.Sprintf("no service %q", r.Service))
	}
	if !s.Keyed {
		return queueID{Service: s.Name}, nil
	}
	grant := v.Owner(s.Name, keyspace.PointOf(r.Key))
	if grant == nil {
		return queueID{}, problem.Refuse(problem.NoOwner, "queue", d.Settings.VM, "the key has no owner now").WithRetryAfter(time.Second)
	}
	d.loads.count(s.Name, grant.Group)
	return queueID{Service: s.Name, Target: grant.Target.Name}, nil
}

func (d *dispatcher) dump() any {
	d.mu.Lock()
	queues := slices.Collect(maps.Values(d.queues))
	d.mu.Unlock()
	slices.SortFunc(queues, func(a, b *queue) int { return cmp.Compare(a.id.String(), b.id.String()) })
	out := make([]QueueState, 0, len(queues))
	for _, q := range queues {
		out = append(out, q.state(d.ctx))
	}
	return out
}
