package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hemlockquay/internal/pause"
)

// Pauses between two attempts to settle a lost answer: the first after about
// ten times the store's usual answer of a few milliseconds.
const (
	resolveBackoffMin = 50 * time.Millisecond
	resolveBackoffMax = time.Second
)

// ReadWriter is the part of a store that Write needs.
type ReadWriter interface {
	Get(ctx context.Context, id ID) (Object, error)
	Put(ctx context.Context, o Object) (Object, error)
}

// Write is a conditional write that settles a lost answer.
//
// Failure: the store's answer is lost after the write took effect. It shows as
// ErrAmbiguous. A blind repeat would fail with ErrConflict against our own
// write, and reporting that conflict would call a success a failure. Each write
// carries a tag of its own; reading the object shows whose write it holds. An
// object still at the expected version may yet be changed by a delayed copy of
// this write, so the repeat is the same conditional write: whichever of the two
// arrives first makes the other fail. A conflict of a repeat may therefore be
// with our own delayed copy, and is settled by the tag too.
//
// A create whose answer is lost is not repeated while the object is absent: it
// may have taken effect and have been deleted since, and the repeat would bring
// back what an operator removed. ErrAmbiguous is returned then. Versions of the
// store never repeat, so an update has no such gap.
//
// ErrConflict after a lost answer says that another's write stands now; ours
// may have stood before it for a moment.
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

// resolve reads the object and repeats the write if that is safe. again says that
// the outcome is still open.
func resolve(ctx context.Context, s ReadWriter, o Object, lost error) (written Object, again bool, err error) {
	current, err := s.Get(ctx, o.ID())
	switch {
	case err == nil && current.Writer == o.Writer:
		return current, false, nil
	case err == nil && current.Version != o.Version:
		return current, false, fmt.Errorf("settle %s %s: %w", o.Kind, o.Name, ErrConflict)
	case errors.Is(err, ErrNotFound) && o.Version != 0:
		return Object{}, false, fmt.Errorf("settle %s %s: deleted meanwhile: %w", o.Kind, o.Name, ErrConflict)
	case errors.Is(err, ErrNotFound):
		return Object{}, false, fmt.Errorf("settle %s %s: not there: %w", o.Kind, o.Name, lost)
	case err != nil:
		return Object{}, true, fmt.Errorf("settle %s %s: %w", o.Kind, o.Name, errors.Join(ErrAmbiguous, err))
	}
	written, err = s.Put(ctx, o)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrUnavailable) {
		// Perhaps our own delayed copy won, or may still; read once more.
		return Object{}, true, fmt.Errorf("repeat %s %s: %w", o.Kind, o.Name, ErrAmbiguous)
	}
	return written, errors.Is(err, ErrAmbiguous), err
}
