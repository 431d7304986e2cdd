package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hemlockquay/internal/pause"
)

// Backoff between attempts to resolve a lost answer. The first delay is about ten
// times the store's usual response time of a few milliseconds.
const (
	resolveBackoffMin = 50 * time.Millisecond
	resolveBackoffMax = time.Second
)

// ReadWriter holds the store methods that Write needs.
type ReadWriter interface {
	Get(ctx context.Context, id ID) (Object, error)
	Put(ctx context.Context, o Object) (Object, error)
}

// Write is a conditional write that resolves a lost answer.
//
// If the store's answer is lost, the write may have taken effect and its error is
// ErrAmbiguous. A blind retry would then fail with ErrConflict because of the first
// attempt, and a success would be reported as a failure. Each write therefore carries
// a unique tag, and reading the object shows which write produced it. If the object
// is still at the expected version, a delayed copy of the write may yet arrive, so the
// retry is the same conditional write: whichever copy arrives first makes the other
// fail. A conflict of the retry may thus be caused by the delayed copy, and the tag
// resolves it too.
//
// A create whose answer is lost is not retried while the object is absent, and
// ErrAmbiguous is returned: the create may have taken effect and an operator may have
// deleted the object since, and a retry would restore it. Updates do not have this
// problem, because the store never reuses a version.
//
// ErrConflict after a lost answer means that the object now holds another write. This
// write may have taken effect before it.
func Write(ctx context.Context, s ReadWriter, o Object) (Object, error) {
	written, err := s.Put(ctx, o)
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = resolveBackoffMin, resolveBackoffMax
	for errors.Is(err, ErrAmbiguous) {
		again := false
		if written, again, err = resolve(ctx, s, o, err); !again {
			return written, err
		}
		if !pause.For(ctx, pauses.NextBackOff()) {
			return Object{}, fmt.Errorf("write %s %s: %w", o.Kind, o.Name, err)
		}
	}
	return written, err
}

// resolve reads the object and retries the write if that is safe. again reports that
// the outcome is still unknown.
func resolve(ctx context.Context, s ReadWriter, o Object, lost error) (written Object, again bool, err error) {
	current, err := s.Get(ctx, o.ID())
	switch {
	case err == nil && current.Writer == o.Writer:
		return current, false, nil
	case err == nil && current.Version != o.Version:
		return current, false, fmt.Errorf("resolve write of %s %s: %w", o.Kind, o.Name, ErrConflict)
	case errors.Is(err, ErrNotFound) && o.Version != 0:
		return Object{}, false, fmt.Errorf("resolve write of %s %s: object deleted: %w", o.Kind, o.Name, ErrConflict)
	case errors.Is(err, ErrNotFound):
		return Object{}, false, fmt.Errorf("resolve write of %s %s: object does not exist: %w", o.Kind, o.Name, lost)
	case err != nil:
		return Object{}, true, fmt.Errorf("resolve write of %s %s: %w", o.Kind, o.Name, errors.Join(ErrAmbiguous, err))
	}
	written, err = s.Put(ctx, o)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable) {
		// The delayed copy of this write may have taken effect, or may still do; read the
		// object again.
		return Object{}, true, fmt.Errorf("retry write of %s %s: %w", o.Kind, o.Name, ErrAmbiguous)
	}
	return written, errors.Is(err, ErrAmbiguous), err
}
