package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"

	"hemlockquay/internal/platform"
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

// watcher keeps the configuration current from the store.
type watcher struct {
	store   platform.Store
	config  *configuration
	timeout time.Duration
	log     *log.Logger
}

// run lists and watches until the context ends. It is one goroutine.
func (w *watcher) run(ctx context.Context) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = watchPauseMin, watchPauseMax
	for ctx.Err() == nil {
		before, _ := w.config.state()
		err := w.once(ctx)
		if after, _ := w.config.state(); after > before {
			pauses.Reset()
		}
		if ctx.Err() != nil {
			return
		}
		w.log.Warn().Err(err).Str("step", "watch").Str("peer", "store").Msg("watch broke")
		pause(ctx, pauses.NextBackOff())
	}
}

// once watches from the revision held, or lists first.
func (w *watcher) once(ctx context.Context) error {
	if _, ready := w.config.state(); !ready {
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

func (w *watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	l, err := w.store.List(ctx)
	if err != nil {
		return err
	}
	w.config.replace(l)
	return nil
}

// watch ends a watch that went silent.
//
// Failure: the store accepts a watch and then sends nothing more, or a cut
// leaves the connection half open. No error shows; configuration just stops.
// Bookmarks come once a second, so silence for longer means a dead watch.
func (w *watcher) watch(ctx context.Context, from uint64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(watchSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	err := w.store.Watch(ctx, from, func(e platform.Event) error {
		silence.Reset(watchSilence)
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
