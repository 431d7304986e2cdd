package platform

import (
	"context"
	"errors"
	"fmt"
)

// Write is a conditional write that settles a lost answer.
//
// Failure: the store's answer is lost after the write took effect. It shows as
// ErrAmbiguous. A blind repeat would fail with ErrConflict against our own
// write, and reporting that conflict would call a success a failure. Each write
// carries a tag of its own; reading the object tells whose write it holds. An
// object still at the expected version may yet be changed by a delayed copy of
// this write, so the repeat is the same conditional write: whichever of the two
// arrives first makes the other fail.
func Write(ctx context.Context, s Store, o Object) (Object, error) {
	written, err := s.Put(ctx, o)
	for errors.Is(err, ErrAmbiguous) {
		if ctx.Err() != nil {
			return Object{}, fmt.Errorf("write %s %s: %w", o.Kind, o.Name, err)
		}
		written, err = settle(ctx, s, o)
	}
	return written, err
}

func settle(ctx context.Context, s Store, o Object) (Object, error) {
	current, err := s.Get(ctx, o.ID())
	switch {
	case err == nil && current.Writer == o.Writer:
		return current, nil
	case err == nil && current.Version != o.Version:
		return current, fmt.Errorf("settle %s %s: %w", o.Kind, o.Name, ErrConflict)
	case errors.Is(err, ErrNotFound) && o.Version != 0:
		return Object{}, fmt.Errorf("settle %s %s: deleted meanwhile: %w", o.Kind, o.Name, ErrConflict)
	case err != nil && !errors.Is(err, ErrNotFound):
		return Object{}, fmt.Errorf("settle %s %s: %w", o.Kind, o.Name, errors.Join(ErrAmbiguous, err))
	}
	return s.Put(ctx, o)
}
