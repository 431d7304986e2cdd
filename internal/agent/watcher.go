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
	// watchPauseMin and watchPauseMax bound the pause after a broken watch.
	watchPauseMin = 100 * time.Millisecond
	watchPauseMax = 5 * time.Second
	// watchSilence is how long a watch may be without event or bookmark.
	// Bookmarks come each second; three missing ones are no accident.
	watchSilence = 3500 * time.Millisecond
)

// errSilent reports a watch without bookmarks.
var errSilent = errors.New("watch went silent")

// errRelieved reports that enough other agents watch.
var errRelieved = errors.New("other agents watch")

// electEvery is how often an agent that does not watch looks whether it should.
const electEvery = 500 * time.Millisecond

// watcher keeps the configuration current from the store.
type watcher struct {
	store   platform.Store
	config  *configuration
	members *members
	timeout time.Duration
	log     *log.Logger
	refused metrics.Counter

	// broken is set while the store does not answer.
	broken atomic.Bool
	// relist demands a listing before the next watch.
	relist bool
}

// working reports whether the store may be expected to bring the next change.
func (w *watcher) working() bool {
	return !w.broken.Load() && (w.members.me().Watching || !w.ready())
}

func (w *watcher) ready() bool {
	_, ready := w.config.state()
	return ready
}

func (w *watcher) elected() bool { return shouldWatch(w.members.me(), w.members.live()) }

func (w *watcher) setWatching(on bool) {
	w.members.updateSelf(func(m *wire.Member) { m.Watching = on })
}

// run lists and watches until the context ends. It is one goroutine.
func (w *watcher) run(ctx context.Context) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = watchPauseMin, watchPauseMax
	for ctx.Err() == nil {
		if w.ready() && !w.elected() {
			pause.For(ctx, electEvery/2+rand.N(electEvery/2))
			continue
		}
		before, _ := w.config.state()
		err := w.once(ctx)
		w.setWatching(false)
		if after, _ := w.config.state(); after > before {
			pauses.Reset()
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRelieved) {
			continue
		}
		w.broken.Store(true)
		w.log.Warn().Err(err).Str("step", "watch").Str("peer", "store").Msg("watch broke")
		pause.For(ctx, pauses.NextBackOff())
	}
}

// once watches from the revision held, or lists first.
func (w *watcher) once(ctx context.Context) error {
	if !w.ready() || w.relist {
		if err := w.list(ctx); err != nil {
			return err
		}
	}
	revision, _ := w.config.state()
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
		w.refused.Inc(1)
	}
	return err
}

// watch ends a watch that went silent.
// A store that accepts a watch and sends nothing, or a half-open connection, shows no error.
// Bookmarks come once a second, so a longer silence means a dead watch.
func (w *watcher) watch(ctx context.Context, from uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(watchSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	err := w.store.Watch(ctx, from, func(e platform.Event) error {
		silence.Reset(watchSilence)
		w.alive()
		if !w.elected() {
			return errRelieved
		}
		if e.Type != platform.EventBookmark {
			w.config.apply(e)
		}
		return nil
	})
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return fmt.Errorf("watch from %d: %w", from, cause)
	}
	return err
}

// alive notes the first sign of life of a watch.
func (w *watcher) alive() {
	w.broken.Store(false)
	w.setWatching(true)
}
