// Package feed keeps a daemon's view current by pulling it from the VM's agent.
//
// The loss of the agent stops nothing: the daemon goes on with the view it
// holds. A view never goes back: a configuration of an older revision is
// refused, whoever sends it.
package feed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// Times of the feed.
const (
	// pullWait is how long the agent may hold a pull without a change.
	pullWait = 2 * time.Second
	// pullTimeout bounds a pull; the margin covers a busy agent.
	pullTimeout = pullWait + time.Second
	// retryPause is the pause after a failed pull.
	retryPause = 200 * time.Millisecond
	// readyPause is the pause while the agent is not ready.
	readyPause = 50 * time.Millisecond
	// reportEvery is how often the daemon reports to the agent that it lives.
	reportEvery = 500 * time.Millisecond
	// reportLeast is the pause before a report of a new revision.
	reportLeast = 20 * time.Millisecond
)

// Endpoint says where the agent is and what to report to it.
type Endpoint struct {
	// Agent is the agent's IP:PORT.
	Agent string
	// Process is the daemon's name.
	Process string
	// Data is the daemon's data address, "" if it takes none.
	Data string
	// Loads returns the daemon's hottest groups; nil where it takes no requests.
	Loads func() []wire.GroupLoad
}

// Feed holds the current view. Current is safe for concurrent use.
type Feed struct {
	endpoint Endpoint
	life     *daemon.Lifecycle
	log      *log.Logger
	client   *peer.Client
	current  atomic.Pointer[view.View]
	lag      metrics.Gauge

	mu      sync.Mutex
	changed chan struct{}
	// inForce are the versions of the objects, for the dump.
	inForce []version
	// revised asks for a report of the revision in force.
	revised chan struct{}

	objects  map[platform.ID]platform.Object
	refused  map[platform.ID]string
	cache    view.Cache
	refusals metrics.Gauge
	older    metrics.Counter
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// New returns a feed that runs for the application's life.
func New(lc fx.Lifecycle, e Endpoint, life *daemon.Lifecycle, logger *log.Logger, registry metrics.Registry) *Feed {
	f := &Feed{
		endpoint: e,
		life:     life,
		log:      logger,
		client:   peer.NewClient(e.Agent, 2),
		lag:      metrics.GetOrRegisterGauge("feed.revision", registry),
		changed:  make(chan struct{}),
		revised:  make(chan struct{}, 1),
		objects:  make(map[platform.ID]platform.Object),
		refused:  make(map[platform.ID]string),
		refusals: metrics.GetOrRegisterGauge("config.refused", registry),
		older:    metrics.GetOrRegisterCounter("config.refused.older", registry),
	}
	f.current.Store(view.Build(nil, nil, nil))
	life.AddDumpSection("view", func() any { return f.dump() })
	lc.Append(fx.Hook{OnStart: f.start, OnStop: f.stop})
	return f
}

// Current returns the view in force.
func (f *Feed) Current() *view.View { return f.current.Load() }

// Changed returns a channel that closes when the next view comes into force.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Feed) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done.Add(2)
	go f.pullLoop(ctx)
	go f.reportLoop(ctx)
	return nil
}

func (f *Feed) stop(context.Context) error {
	f.cancel()
	f.done.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), reportEvery)
	defer cancel()
	f.report(ctx, true)
	f.client.Close()
	return nil
}

func (f *Feed) pullLoop(ctx context.Context) {
	defer f.done.Done()
	for ctx.Err() == nil {
		if err := f.pull(ctx); err != nil {
			f.life.SetNotReadyReason("agent " + f.endpoint.Agent + ": " + err.Error())
			f.log.Debug().Err(err).Str("step", "pull").Str("peer", f.endpoint.Agent).Msg("no news from the agent")
			pause.For(ctx, retryPause)
		}
	}
}

func (f *Feed) pull(ctx context.Context) error {
	v := f.Current()
	args := wire.PullArgs{Process: f.endpoint.Process, Source: v.Source, Revision: v.Revision, State: v.State, Wait: pullWait}
	var reply wire.PullReply
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := f.client.Call(ctx, wire.MethodPull, &args, &reply); err != nil {
		return err
	}
	if !reply.Ready {
		f.life.SetNotReadyReason("agent " + f.endpoint.Agent + " holds no configuration yet or has not heard its peers")
		pause.For(ctx, readyPause)
		return nil
	}
	f.apply(v, &reply)
	f.life.RaiseMaxDeadline(f.Current().LongestDeadline())
	f.life.Ready()
	return nil
}

// apply puts the reply into force.
// Revisions only rise: a restarted agent, or one that relays from a peer that was cut off, may answer
// with an older configuration.
func (f *Feed) apply(old *view.View, reply *wire.PullReply) {
	if reply.Revision < old.Revision {
		f.older.Inc(1)
	}
	config := reply.Revision > old.Revision || (reply.Snapshot && reply.Revision == old.Revision && old.Revision == 0)
	if !config && !reply.Changed {
		return
	}
	if config {
		f.merge(reply)
	}
	members, grants, listed := old.Members, old.Grants, old.Listed
	if reply.Changed {
		members, grants, listed = reply.Members, reply.Grants, reply.Listed
	}
	next := f.cache.Build(f.list(), members, grants)
	next.Listed = listed
	next.Problems = append(f.problems(), next.Problems...)
	next.Source, next.State, next.Revision = reply.Source, reply.State, max(old.Revision, reply.Revision)
	f.lag.Update(int64(next.Revision))
	f.publish(next, config)
	if next.Revision != old.Revision {
		select {
		case f.revised <- struct{}{}:
		default:
		}
	}
}

// merge keeps the last good version of an object that fails its check, and the
// newer of two versions.
func (f *Feed) merge(reply *wire.PullReply) {
	held := f.objects
	if reply.Snapshot {
		f.objects = make(map[platform.ID]platform.Object, len(reply.Objects))
	}
	for _, id := range reply.Deleted {
		delete(f.objects, id)
		delete(f.refused, id)
	}
	for _, o := range reply.Objects {
		f.put(o, held)
	}
	f.refusals.Update(int64(len(f.refused)))
}

func (f *Feed) put(o platform.Object, held map[platform.ID]platform.Object) {
	old, known := held[o.ID()]
	if known && old.Version >= o.Version {
		f.objects[o.ID()] = old
		return
	}
	_, err := model.Decode(o.Kind, o.Name, o.Spec)
	if err == nil {
		f.objects[o.ID()] = o
		delete(f.refused, o.ID())
		f.note(o, known, old.Version)
		return
	}
	f.refused[o.ID()] = fmt.Sprintf("%s %s version %d: %v", o.Kind, o.Name, o.Version, err)
	f.log.Error().Err(err).Str("step", "configure").Msg("object refused, the last good version stays")
	if known {
		f.objects[o.ID()] = old
	}
}

// note records which version came into force, for hqctl explain. A first
// snapshot is one entry.
func (f *Feed) note(o platform.Object, known bool, old uint64) {
	if f.Current().Revision == 0 || (o.Kind != model.KindContract && o.Kind != model.KindService) {
		return
	}
	before := "it is new"
	if known {
		before = fmt.Sprintf("version %d was before", old)
	}
	f.life.Note("configure", fmt.Sprintf("%s %s version %d is in force, %s", o.Kind, o.Name, o.Version, before), o.Name, journal.Version(o.Name, o.Version))
}

// problems returns what is not in force and why, sorted.
func (f *Feed) problems() []string {
	out := make([]string, 0, len(f.refused))
	for _, reason := range f.refused {
		out = append(out, reason)
	}
	slices.Sort(out)
	return out
}

func (f *Feed) list() []platform.Object {
	out := make([]platform.Object, 0, len(f.objects))
	for _, o := range f.objects {
		out = append(out, o)
	}
	return out
}

func (f *Feed) publish(next *view.View, configured bool) {
	f.current.Store(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	if configured {
		f.inForce = f.versions()
	}
	close(f.changed)
	f.changed = make(chan struct{})
}
