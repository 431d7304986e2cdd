// Package feed keeps a daemon's view up to date by long-polling the VM's agent.
//
// If the agent is lost, the daemon continues with its current view. A view never goes
// back to an older configuration: an older revision is rejected, whoever sends it.
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

// Intervals and timeouts of the feed.
const (
	// pullWait is how long the agent may hold a pull (long poll) without a change.
	pullWait = 2 * time.Second
	// pullTimeout bounds a pull. The margin over pullWait allows for a busy agent.
	pullTimeout = pullWait + time.Second
	// retryDelay is the delay after a failed pull.
	retryDelay = 200 * time.Millisecond
	// notReadyDelay is the delay between pulls while the agent is not ready.
	notReadyDelay = 50 * time.Millisecond
	// reportInterval is the interval of the daemon's periodic reports to the agent.
	reportInterval = 500 * time.Millisecond
	// reportDebounce is the delay before a report of a new revision.
	reportDebounce = 20 * time.Millisecond
)

// Endpoint holds the agent's address and what the daemon reports to it.
type Endpoint struct {
	// Agent is the agent's IP:PORT.
	Agent string
	// Process is the daemon's name.
	Process string
	// Data is the address on which the daemon accepts requests, "" if there is none.
	Data string
	// Loads returns the daemon's hottest groups. It is nil if the daemon accepts no
	// requests.
	Loads func() []wire.GroupLoad
	// Replies bounds the agent's replies.
	Replies peer.ReplyBounds
}

// Feed holds the current view. Its exported methods are safe for concurrent use.
type Feed struct {
	endpoint      Endpoint
	life          *daemon.Lifecycle
	log           *log.Logger
	client        *peer.Client
	current       atomic.Pointer[view.View]
	revisionGauge metrics.Gauge

	mu      sync.Mutex
	changed chan struct{}
	// inForce holds the versions of the objects in force, for the dump.
	inForce []version
	// revisionChanged triggers a report of the revision in force.
	revisionChanged chan struct{}

	objects      map[platform.ID]platform.Object
	refused      map[platform.ID]string
	cache        view.Cache
	refusedGauge metrics.Gauge
	olderReplies metrics.Counter
	cancel       context.CancelFunc
	done         sync.WaitGroup
}

// New returns a feed that runs for the lifetime of the application.
func New(lc fx.Lifecycle, e Endpoint, life *daemon.Lifecycle, logger *log.Logger, registry metrics.Registry) *Feed {
	f := &Feed{
		endpoint:        e,
		life:            life,
		log:             logger,
		client:          peer.NewClient(e.Agent, 2).Within(e.Replies),
		revisionGauge:   metrics.GetOrRegisterGauge("feed.revision", registry),
		changed:         make(chan struct{}),
		revisionChanged: make(chan struct{}, 1),
		objects:         make(map[platform.ID]platform.Object),
		refused:         make(map[platform.ID]string),
		refusedGauge:    metrics.GetOrRegisterGauge("config.refused", registry),
		olderReplies:    metrics.GetOrRegisterCounter("config.refused.older", registry),
	}
	f.current.Store(view.Build(nil, nil, nil))
	life.AddDumpSection("view", func() any { return f.dump() })
	lc.Append(fx.Hook{OnStart: f.start, OnStop: f.stop})
	return f
}

// Current returns the view in force.
func (f *Feed) Current() *view.View { return f.current.Load() }

// Changed returns a channel that is closed when the next view comes into force.
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
	ctx, cancel := context.WithTimeout(context.Background(), reportInterval)
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
			f.log.Debug().Err(err).Str("step", "pull").Str("peer", f.endpoint.Agent).Msg("pull from the agent failed")
			pause.For(ctx, retryDelay)
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
		pause.For(ctx, notReadyDelay)
		return nil
	}
	f.apply(v, &reply)
	f.life.RaiseMaxDeadline(f.Current().LongestDeadline())
	f.life.MarkConfigured()
	return nil
}

// apply publishes a view with the reply's changes. It ignores a configuration of an older
// revision, which may come from a restarted agent or from one that relays the state of a
// partitioned peer.
func (f *Feed) apply(old *view.View, reply *wire.PullReply) {
	if reply.Revision < old.Revision {
		f.olderReplies.Inc(1)
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
	f.revisionGauge.Update(int64(next.Revision))
	f.publish(next, config)
	if next.Revision != old.Revision {
		select {
		case f.revisionChanged <- struct{}{}:
		default:
		}
	}
}

// merge adds the objects of a reply. It keeps the last valid version of an object that
// fails validation, and the newer one of two versions.
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
		f.mergeObject(o, held)
	}
	f.refusedGauge.Update(int64(len(f.refused)))
}

func (f *Feed) mergeObject(o platform.Object, held map[platform.ID]platform.Object) {
	old, known := held[o.ID()]
	if known && old.Version >= o.Version {
		f.objects[o.ID()] = old
		return
	}
	_, err := model.Decode(o.Kind, o.Name, o.Spec)
	if err == nil {
		f.objects[o.ID()] = o
		delete(f.refused, o.ID())
		f.recordVersion(o, known, old.Version)
		return
	}
	f.refused[o.ID()] = fmt.Sprintf("%s %s version %d: %v", o.Kind, o.Name, o.Version, err)
	f.log.Error().Err(err).Str("step", "configure").Msg("object refused, the last good version stays")
	if known {
		f.objects[o.ID()] = old
	}
}

// recordVersion adds a journal entry, for hqctl explain, when a version of a contract or
// service comes into force. The objects of the first snapshot get no entries of their own.
func (f *Feed) recordVersion(o platform.Object, known bool, old uint64) {
	if f.Current().Revision == 0 || (o.Kind != model.KindContract && o.Kind != model.KindService) {
		return
	}
	before := "the object is new"
	if known {
		before = fmt.Sprintf("previous version %d", old)
	}
	f.life.AddJournalEntry("configure", fmt.Sprintf("%s %s version %d is in force, %s", o.Kind, o.Name, o.Version, before), o.Name, journal.Version(o.Name, o.Version))
}

// problems returns the rejected objects with the reasons, sorted.
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
