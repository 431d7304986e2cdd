package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// Timings of the watch.
const (
	// watchBackoffMin and watchBackoffMax bound the retry delay after a watch fails.
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 5 * time.Second
	// watchSilenceTimeout is how long a watch may deliver neither event nor bookmark. Bookmarks
	// arrive every second, so this is three missing ones.
	watchSilenceTimeout = 3500 * time.Millisecond
)

// errWatchSilent reports a watch that no longer delivers bookmarks.
var errWatchSilent = errors.New("watch timed out: no event or bookmark")

// errNotElected reports that enough other agents of the data centre watch the store.
var errNotElected = errors.New("enough other agents watch the store")

// electionInterval is the longest time between two checks by which an agent that does not watch
// finds out whether it should.
const electionInterval = 500 * time.Millisecond

// watcher keeps the configuration up to date from the store.
type watcher struct {
	store        platform.Store
	config       *configuration
	members      *members
	timeout      time.Duration
	log          *log.Logger
	registry     metrics.Registry
	olderRefused metrics.Counter

	// broken is set when a watch fails and cleared by the next event.
	broken atomic.Bool
	// relist requires a listing before the next watch.
	relist bool
}

// working reports whether the next change can be expected from the store.
func (w *watcher) working() bool {
	return !w.broken.Load() && (w.members.selfMember().Watching || !w.ready())
}

func (w *watcher) ready() bool {
	_, ready := w.config.heldRevision()
	return ready
}

func (w *watcher) elected() bool { return shouldWatch(w.members.selfMember(), w.members.live()) }

func (w *watcher) setWatching(on bool) {
	w.members.updateSelf(func(m *wire.Member) { m.Watching = on })
}

// run lists and watches until the context is cancelled. It runs in one goroutine.
func (w *watcher) run(ctx context.Context) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = watchBackoffMin, watchBackoffMax
	for ctx.Err() == nil {
		if w.ready() && !w.elected() {
			pause.For(ctx, electionInterval/2+rand.N(electionInterval/2))
			continue
		}
		before, _ := w.config.heldRevision()
		err := w.listAndWatch(ctx)
		w.setWatching(false)
		if after, _ := w.config.heldRevision(); after > before {
			retryBackoff.Reset()
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errNotElected) {
			continue
		}
		w.broken.Store(true)
		w.log.Warn().Err(err).Str("step", "watch").Str("peer", "store").Msg("watch of the store failed; it will be retried")
		pause.For(ctx, retryBackoff.NextBackOff())
	}
}

// listAndWatch watches from the current revision. It lists first if there is no configuration
// yet, or if relist is set.
func (w *watcher) listAndWatch(ctx context.Context) error {
	if !w.ready() || w.relist {
		if err := w.list(ctx); err != nil {
			return err
		}
	}
	revision, _ := w.config.heldRevision()
	err := w.watch(ctx, revision)
	if errors.Is(err, platform.ErrGone) {
		return w.list(ctx)
	}
	return err
}

// list replaces the configuration by a listing.
//
// A listing below the current revision means that the store was restored from a backup. The
// restored store reuses revision numbers, so listings are requested until one has reached the
// current revision.
func (w *watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	l, err := w.store.List(ctx)
	if err != nil {
		return err
	}
	for _, r := range l.Refused {
		recordRefused(w.log, w.registry, r)
	}
	err = w.config.replace(l)
	w.relist = err != nil
	if err != nil {
		w.olderRefused.Inc(1)
	}
	return err
}

// watch applies events from the given revision on. A store that accepts a watch and sends
// nothing, or a half-open connection, causes no error, so a watch without events or bookmarks is
// cancelled after watchSilenceTimeout.
func (w *watcher) watch(ctx context.Context, from uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(watchSilenceTimeout, func() { cancel(errWatchSilent) })
	defer silenceTimer.Stop()
	err := w.store.Watch(ctx, from, func(e platform.Event) error {
		silenceTimer.Reset(watchSilenceTimeout)
		w.markWorking()
		if !w.elected() {
			return errNotElected
		}
		if e.Type != platform.EventBookmark {
			w.config.apply(e)
		}
		return nil
	})
	if cause := context.Cause(ctx); errors.Is(cause, errWatchSilent) {
		return fmt.Errorf("watch from revision %d: %w", from, cause)
	}
	return err
}

// markWorking records that the watch delivers events.
func (w *watcher) markWorking() {
	w.broken.Store(false)
	w.setWatching(true)
}

// recordRefused counts and logs an entry of the store that could not be decoded.
func recordRefused(logger *log.Logger, registry metrics.Registry, r platform.Refused) {
	metrics.GetOrRegisterCounter("store.entries.refused", registry).Inc(1)
	logger.Warn().Str("step", "store").Str("name", r.Name).Str("reason", r.Reason).Msg("entry of the store could not be decoded")
}
