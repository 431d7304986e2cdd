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

// Times of the watch.
const (
	// watchBackoffMin and watchPauseMax bound the pause after a broken watch.
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 5 * time.Second
	// watchSilenceTimeout is how long a watch may be without event or bookmark.
	// Bookmarks come each second; three missing ones are no accident.
	watchSilenceTimeout = 3500 * time.Millisecond
)

// errWatchSilent reports a watch without bookmarks.
var errWatchSilent = errors.New("watch went silent")

// errNotElected reports that enough other agents watch.
var errNotElected = errors.New("other agents watch")

// electionInterval is how often an agent that does not watch looks whether it should.
const electionInterval = 500 * time.Millisecond

// watcher keeps the configuration current from the store.
type watcher struct {
	store        platform.Store
	config       *configuration
	members      *members
	timeout      time.Duration
	log          *log.Logger
	olderRefused metrics.Counter

	// broken is set while the store does not answer.
	broken atomic.Bool
	// relist demands a listing before the next watch.
	relist bool
}

// working reports whether the store may be expected to bring the next change.
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

// run lists and watches until the context ends. It is one goroutine.
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
		w.log.Warn().Err(err).Str("step", "watch").Str("peer", "store").Msg("watch broke")
		pause.For(ctx, retryBackoff.NextBackOff())
	}
}

// listAndWatch watches from the revision held, or lists first.
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

// list takes everything.
// A listing below the revision held means that the store was restored. Its new changes reuse the
// numbers, so only a listing above that revision ends this.
func (w *watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	l, err := w.store.List(ctx)
	if err != nil {
		return err
	}
	err = w.config.replace(l)
	w.relist = err != nil
	if err != nil {
		w.olderRefused.Inc(1)
	}
	return err
}

// watch ends a watch that went silent.
// A store that accepts a watch and sends nothing, or a half-open connection, shows no error.
// Bookmarks come once a second, so a longer silence means a dead watch.
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
		return fmt.Errorf("watch from %d: %w", from, cause)
	}
	return err
}

// markWorking notes the first sign of life of a watch.
func (w *watcher) markWorking() {
	w.broken.Store(false)
	w.setWatching(true)
}
