package platform

import (
	"context"
	"time"

	"hemlockquay/internal/model"
)

// Changes are what a watch of one kind returned. To go on, watch from Revision.
type Changes struct {
	Events   []Event
	Revision uint64
}

// ObjectStore is a store that lists and watches by kind and ends each watch with
// its first changes. Every call counts, so callers watch few kinds and wait
// long. Errors are those of Store.
type ObjectStore interface {
	// Get returns one object, current at the time of the call, or ErrNotFound.
	Get(ctx context.Context, id ID) (Object, error)
	// Put writes the object if its stored version is o.Version, creates it
	// where that is 0, and returns it with its new version.
	Put(ctx context.Context, o Object) (Object, error)
	// ListKind returns all objects of a kind.
	ListKind(ctx context.Context, kind model.Kind) (Listing, error)
	// WatchKind waits for changes of a kind after the revision from; with
	// none, it returns without events when the wait is over. ErrGone.
	WatchKind(ctx context.Context, kind model.Kind, from uint64, wait time.Duration) (Changes, error)
}
