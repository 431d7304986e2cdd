// Package ctl implements the operators' actions: reading, checking, comparing and
// writing objects, showing which configuration version is in force on which VM, and
// collecting the VMs' records of their decisions.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// ApplyResult is the result of applying one object.
type ApplyResult struct {
	Kind    model.Kind `json:"kind"`
	Name    string     `json:"name"`
	Version uint64     `json:"version"`
	// Changed is false if the stored object already had the same spec.
	Changed bool `json:"changed"`
}

// ConflictError reports that the stored version is not the one that the operator
// read. Nothing was written.
type ConflictError struct {
	Kind model.Kind `json:"kind"`
	Name string     `json:"name"`
	// Read is the version that the operator read, Stored the version in the
	// store; 0 means that there was no object.
	Read   uint64 `json:"read"`
	Stored uint64 `json:"stored"`
	// Differences are the fields in which the operator's object differs from the stored one.
	Differences []Difference `json:"differences"`
}

// Error returns the cause of the conflict, every difference and how to resolve it.
func (c *ConflictError) Error() string {
	text := fmt.Sprintf("%s %s: conflict: %s; nothing was written", c.Kind, c.Name, c.cause())
	for _, d := range c.Differences {
		text += "\n  " + d.String()
	}
	return text + fmt.Sprintf("\nread the stored object with `hqctl %s get %s`, merge your change into it and apply again", c.Kind, c.Name)
}

func (c *ConflictError) cause() string {
	switch {
	case c.Stored == 0:
		return fmt.Sprintf("you read version %d, which has been deleted", c.Read)
	case c.Read == 0:
		return fmt.Sprintf("version %d is stored, but the file does not name the version that you read", c.Stored)
	}
	return fmt.Sprintf("you read version %d, version %d is stored", c.Read, c.Stored)
}

// Unwrap makes the error match platform.ErrConflict.
func (c *ConflictError) Unwrap() error { return platform.ErrConflict }

var writeCount atomic.Uint64

// newWriterTag returns a tag that is unique to one write. If the answer to the write
// is lost, the tag in the stored object shows whether the write took effect.
func newWriterTag() string {
	return fmt.Sprintf("hqctl-%d-%d-%d", os.Getpid(), time.Now().UnixNano(), writeCount.Add(1))
}

// Apply writes the object if the stored version is still o.Version, the one that the
// operator read; 0 means that the object must not exist yet. If two operators read the
// same version, the second to write gets a *ConflictError with the differences. If the
// answer to a write is lost, the writer tag shows whether the write took effect.
func Apply(ctx context.Context, s platform.Store, o platform.Object) (ApplyResult, error) {
	out := ApplyResult{Kind: o.Kind, Name: o.Name}
	read := o.Version
	current, err := s.Get(ctx, o.ID())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return out, fmt.Errorf("read before apply: %w", err)
	}
	if err == nil && sameSpec(current, o) {
		out.Version = current.Version
		return out, nil
	}
	if current.Version != read {
		return out, newConflictError(current, o, read)
	}
	o.Writer = newWriterTag()
	written, err := platform.Write(ctx, s, o)
	if errors.Is(err, platform.ErrConflict) {
		return resolveLostRace(ctx, s, o, read)
	}
	if errors.Is(err, platform.ErrAmbiguous) {
		return out, fmt.Errorf("cannot tell whether %s %s was written; check with `hqctl %s diff`: %w", o.Kind, o.Name, o.Kind, err)
	}
	if err != nil {
		return out, fmt.Errorf("apply: %w", err)
	}
	out.Version, out.Changed = written.Version, true
	return out, nil
}

// resolveLostRace returns the result of a write that lost a race. It is a success if the
// concurrent writer stored the same spec.
func resolveLostRace(ctx context.Context, s platform.Store, o platform.Object, read uint64) (ApplyResult, error) {
	out := ApplyResult{Kind: o.Kind, Name: o.Name}
	current, err := s.Get(ctx, o.ID())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return out, fmt.Errorf("read after conflict: %w", errors.Join(platform.ErrConflict, err))
	}
	if err == nil && sameSpec(current, o) {
		out.Version = current.Version
		return out, nil
	}
	return out, newConflictError(current, o, read)
}

func newConflictError(current, local platform.Object, read uint64) *ConflictError {
	return &ConflictError{
		Kind: local.Kind, Name: local.Name, Read: read, Stored: current.Version,
		Differences: Diff(current.Spec, local.Spec),
	}
}

func sameSpec(a, b platform.Object) bool { return len(Diff(a.Spec, b.Spec)) == 0 }

// Delete removes the object if its stored version is the one that was read. If the
// answer is lost, an object that no longer exists counts as deleted at that version,
// and the deletion is repeated if the object is still stored at that version.
func Delete(ctx context.Context, s platform.Store, id platform.ID, read uint64) error {
	o := platform.Object{Kind: id.Kind, Name: id.Name, Version: read}
	for {
		err := s.Delete(ctx, o)
		if !errors.Is(err, platform.ErrAmbiguous) && !errors.Is(err, platform.ErrConflict) {
			return err
		}
		current, getErr := s.Get(ctx, id)
		switch {
		case errors.Is(getErr, platform.ErrNotFound):
			return nil
		case getErr != nil:
			return fmt.Errorf("cannot tell whether %s %s was deleted: %w", id.Kind, id.Name, errors.Join(err, getErr))
		case current.Version != read:
			return newConflictError(current, o, read)
		}
	}
}
