package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/objectapi"
)

// streamEvents sends events until the client disconnects or the store goes down.
func (s *Store) streamEvents(c *gin.Context, from uint64) {
	ctx, cancel := context.WithCancel(c.Request.Context())
	defer cancel()
	s.mu.Lock()
	wentDown := s.wentDown
	s.mu.Unlock()
	w := &eventWriter{encoder: json.NewEncoder(c.Writer), flush: c.Writer.Flush, revision: from}
	c.Status(http.StatusOK)
	c.Writer.WriteHeaderNow()
	c.Writer.Flush()
	var bookmarks sync.WaitGroup
	bookmarks.Go(func() { s.sendBookmarks(ctx, cancel, wentDown, w) })
	_ = s.mem.Watch(ctx, from, func(e platform.Event) error {
		if s.Faults().SilentWatch {
			<-ctx.Done()
			return ctx.Err()
		}
		return w.sendEvent(e)
	})
	cancel()
	bookmarks.Wait()
}

func (s *Store) sendBookmarks(ctx context.Context, cancel context.CancelFunc, wentDown <-chan struct{}, w *eventWriter) {
	tick := time.NewTicker(bookmarkInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if !s.Faults().SilentWatch && w.sendBookmark() != nil {
				cancel()
				return
			}
		case <-wentDown:
			cancel()
			return
		case <-ctx.Done():
			return
		}
	}
}

type eventWriter struct {
	mu       sync.Mutex
	encoder  *json.Encoder
	flush    func()
	revision uint64
}

func (w *eventWriter) sendEvent(e platform.Event) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := objectapi.WatchEvent{Type: objectapi.Modified, Object: objectapi.ToItem(e.Object)}
	if e.Type == platform.EventDelete {
		line.Type = objectapi.Deleted
		line.Object.Metadata.ResourceVersion = objectapi.FormatVersion(e.Revision)
	}
	w.revision = e.Revision
	return w.send(line)
}

func (w *eventWriter) sendBookmark() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := objectapi.WatchEvent{Type: objectapi.Bookmark}
	line.Object.Metadata.ResourceVersion = objectapi.FormatVersion(w.revision)
	return w.send(line)
}

func (w *eventWriter) send(line objectapi.WatchEvent) error {
	if err := w.encoder.Encode(line); err != nil {
		return err
	}
	w.flush()
	return nil
}
