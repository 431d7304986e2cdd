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

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/feed"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/target"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// processName is the daemon's name in reports and logs.
const processName = "hq-dispatch"

// needsCases is why a dispatcher that has just started is not ready.
const needsCases = "the crashing requests that other dispatchers know are not fetched yet"

// Module wires the dispatcher.
var Module = fx.Options(fx.Invoke(start))

// dispatcher owns the queues and answers the entries' calls.
type dispatcher struct {
	*daemon.Deps[*Settings]
	server *peer.Server
	feed   *feed.Feed
	sender *target.Sender
	prober *target.Prober
	loads  *loads
	parts  *parts
	// intents keeps requests with an Idempotency-Key to one run.
	intents *intents
	// crashes watches for requests that crash targets.
	crashes *crashWatch
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	queues   map[queueID]*queue
	owners   map[string]*queue
	draining bool
	calls    sync.WaitGroup
	duties   sync.WaitGroup
}

func start(k *daemon.Deps[*Settings]) error {
	server, err := peer.Listen(k.Settings.Listen)
	if err != nil {
		return err
	}
	counted := newLoads()
	endpoint := feed.Endpoint{Agent: k.Settings.Agent, Process: processName, Data: server.Addr(), Loads: counted.hottest}
	ctx, cancel := context.WithCancel(context.Background())
	d := &dispatcher{
		Deps:   k,
		server: server,
		feed:   feed.New(k.LC, endpoint, k.Lifecycle, k.Log, k.Registry),
		sender: target.NewSender(k.Settings.TargetConnections),
		prober: target.NewProber(),
		loads:  counted,
		ctx:    ctx,
		cancel: cancel,
		queues: make(map[queueID]*queue),
		owners: make(map[string]*queue),
	}
	d.crashes = newCrashWatch(k.Settings.VM, d.feed, k.Lifecycle.Require(needsCases), k.Journal, k.Log, k.Registry)
	d.parts = &parts{
		vm: k.Settings.VM, limit: k.Settings.QueueLength, fifo: k.Settings.Order == OrderFIFO,
		feed: d.feed, sender: d.sender, prober: d.prober, suspects: d.crashes,
		journal: k.Journal, registry: k.Registry, counts: newCounts(k.Registry),
	}
	d.intents = newIntents(k.Settings.VM, d.feed, k.Journal, k.Log, k.Registry)
	if err := server.Register("Dispatch", &rpcReceiver{intents: d.intents, crashes: d.crashes, d: d}); err != nil {
		return err
	}
	k.Lifecycle.AddDumpSection("dispatch", d.dump)
	k.Lifecycle.AddDumpSection("intents", d.intents.dump)
	k.Lifecycle.AddDumpSection("quarantine", d.crashes.dump)
	k.LC.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return nil
}

func (d *dispatcher) start(context.Context) error {
	d.duties.Go(func() { d.intents.keep(d.ctx) })
	d.duties.Go(func() { d.crashes.run(d.ctx) })
	go func() {
		if err := d.server.Serve(); err != nil {
			d.Log.Error().Err(err).Str("step", "serve").Msg("peer server ended")
		}
	}()
	return nil
}

// stop drains: requests are taken until the entries have been notified; then what is
// sent is answered, and all else is refused as not run at once, so that entries
// send it to the next dispatcher.
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
	d.intents.leave(ctx)
	d.cancel()
	d.duties.Wait()
	d.server.Close()
	d.intents.peers.Close()
	d.crashes.peers.Close()
	d.sender.Close()
	d.prober.Close()
	d.Lifecycle.Drained()
	return nil
}

// rpcReceiver holds the methods that net/rpc publishes.
type rpcReceiver struct {
	*intents
	crashes *crashWatch
	d       *dispatcher
}

// Do runs a request and returns its one answer.
func (r *rpcReceiver) Do(request *wire.Request, answer *wire.Answer) error {
	if request.IdempotencyKey == "" {
		*answer = r.d.do(request)
		return nil
	}
	*answer = r.d.doOnce(request)
	return nil
}

// Permit answers another dispatcher about a crashing request.
func (r *rpcReceiver) Permit(args *PermitArgs, reply *PermitReply) error {
	return r.crashes.Permit(args, reply)
}

// Cases gives all crashing requests that are known here.
func (r *rpcReceiver) Cases(args *wire.Empty, reply *CaseList) error {
	return r.crashes.Cases(args, reply)
}

// Cancel drops a request whose caller went away.
func (r *rpcReceiver) Cancel(args *wire.CancelArgs, _ *wire.Empty) error {
	r.d.mu.Lock()
	q := r.d.owners[args.ID]
	r.d.mu.Unlock()
	if q != nil {
		_ = q.inbox.Push(r.d.ctx, message{cancel: args.ID})
	}
	return nil
}

// doOnce answers a request with an Idempotency-Key. It counts as a call until its
// record is settled: a planned stop waits for that.
func (d *dispatcher) doOnce(r *wire.Request) wire.Answer {
	d.mu.Lock()
	if d.draining {
		d.mu.Unlock()
		return wire.Refused(r.ID, problem.Refuse(problem.Leaving, stepIntent, d.Settings.VM, "the dispatcher is leaving"))
	}
	d.calls.Add(1)
	d.mu.Unlock()
	defer d.calls.Done()
	return d.intents.once(d.ctx, r, d.do)
}

func (d *dispatcher) do(r *wire.Request) wire.Answer {
	if r.Sum != wire.Sum(r.Body) {
		return wire.Refused(r.ID, problem.Refuse(problem.BadRequest, "receive", d.Settings.VM, "the body's checksum does not match"))
	}
	j := newJob(r, time.Now())
	q, p := d.enter(j)
	if p != nil {
		return wire.Refused(r.ID, p)
	}
	defer d.leave(j)
	if err := q.inbox.Push(d.ctx, message{arrive: j}); err != nil {
		return wire.Refused(r.ID, problem.Refuse(problem.Leaving, "queue", d.Settings.VM, err.Error()))
	}
	answer := <-j.done
	if p := answer.Problem; p != nil && p.Kind == problem.AnswerLost {
		d.crashes.settled(d.ctx, r)
	}
	return answer
}

// enter finds the job's queue and counts the call, or refuses it.
func (d *dispatcher) enter(j *job) (*queue, *problem.Error) {
	id, p := d.queueOf(d.feed.Current(), j.request)
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
		q = newQueue(id, d.parts)
		d.queues[id] = q
		d.duties.Go(func() { q.run(d.ctx) })
		d.duties.Go(func() { q.watch(d.ctx) })
	}
	d.owners[j.request.ID] = q
	d.calls.Add(1)
	return q, nil
}

func (d *dispatcher) leave(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.owners, j.request.ID)
	d.calls.Done()
}

func (d *dispatcher) queueOf(v *view.View, r *wire.Request) (queueID, *problem.Error) {
	s := v.Service(r.Service)
	if s == nil {
		return queueID{}, problem.Refuse(problem.UnknownService, "queue", d.Settings.VM, fmt.Sprintf("no service %q", r.Service))
	}
	if !s.Keyed {
		return queueID{Service: s.Name}, nil
	}
	grant := v.Owner(s.Name, keyspace.PointOf(r.Key))
	if grant == nil {
		return queueID{}, problem.Refuse(problem.NoOwner, "queue", d.Settings.VM, "the key has no owner now").After(time.Second)
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
