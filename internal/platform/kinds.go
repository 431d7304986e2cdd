package platform

import (
	"context"
	"time"

	"hemlockquay/internal/model"
)

// Changes is the result of a watch of one kind. The next watch starts from Revision.
type Changes struct {
	Events   []Event
	Revision uint64
	// Refused are the events that could not be decoded.
	Refused []Refused
}

// ObjectStore is a store that lists and watches by kind. A watch returns with the first
// changes (long polling). Every call counts against the store's rate limits, so callers
// should watch few kinds with long waits. Errors are those of Store.
type ObjectStore interface {
	// Get returns the current state of one object, or ErrNotFound.
	Get(ctx context.Context, id ID) (Object, error)
	// Put writes the object if its stored version is o.Version, or creates it
	// if o.Version is 0, and returns it with its new version.
	Put(ctx context.Context, o Object) (Object, error)
	// ListKind returns all objects of a kind.
	ListKind(ctx context.Context, kind model.Kind) (Listing, error)
	// WatchKind waits for changes of a kind after the revision from. If there are
	// none, it returns without events after wait. It returns ErrGone if from is too
	// old.
	WatchKind(ctx context.Context, kind model.Kind, from uint64, wait time.Duration) (Changes, error)
}
