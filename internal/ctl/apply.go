// Package ctl is what operators do: read, check, compare and write objects, see
// which version is in force where, and ask the VMs what they did.
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

// ApplyResult is the outcome of writing one object.
type ApplyResult struct {
	Kind    model.Kind `json:"kind"`
	Name    string     `json:"name"`
	Version uint64     `json:"version"`
	// Changed is false where the stored object was the same already.
	Changed bool `json:"changed"`
}

// ConflictError says that the stored object is not the one that the operator read.
// Nothing was written.
type ConflictError struct {
	Kind model.Kind `json:"kind"`
	Name string     `json:"name"`
	// Read is the version that the operator read, Stored the one that the
	// store holds; 0 stands for no object.
	Read   uint64 `json:"read"`
	Stored uint64 `json:"stored"`
	// Differences lead from the stored object to the operator's.
	Differences []Difference `json:"differences"`
}

// Error renders the conflict and every difference.
func (c *ConflictError) Error() string {
	text := fmt.Sprintf("%s %s: conflict: %s; nothing was written", c.Kind, c.Name, c.cause())
	for _, d := range c.Differences {
		text += "\n  " + d.String()
	}
	return text + fmt.Sprintf("\nread the stored one with `hqctl %s get %s`, bring in your change and apply again", c.Kind, c.Name)
}

func (c *ConflictError) cause() string {
	switch {
	case c.Stored == 0:
		return fmt.Sprintf("you read version %d, it is deleted now", c.Read)
	case c.Read == 0:
		return fmt.Sprintf("version %d is stored and the file names no version that you read", c.Stored)
	}
	return fmt.Sprintf("you read version %d, version %d is stored", c.Read, c.Stored)
}

// Unwrap lets errors.Is find platform.ErrConflict.
func (c *ConflictError) Unwrap() error { return platform.ErrConflict }

var writeCount atomic.Uint64

// newWriterTag names one write, so that a lost answer can be settled.
func newWriterTag() string {
	return fmt.Sprintf("hqctl-%d-%d-%d", os.Getpid(), time.Now().UnixNano(), writeCount.Add(1))
}

// Apply writes the object over the version o.Version that the operator read,
// 0 for a new object.
// The write is conditional on the version read: of two operators that read the same one, the second
// gets a *ConflictError with the differences. A lost answer is settled by the tag.
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
		return out, fmt.Errorf("it is not known whether %s %s was written; `hqctl %s diff` tells: %w", o.Kind, o.Name, o.Kind, err)
	}
	if err != nil {
		return out, fmt.Errorf("apply: %w", err)
	}
	out.Version, out.Changed = written.Version, true
	return out, nil
}

// resolveLostRace reports a lost race. Where the winner wrote the same, both have won.
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

// Delete removes the object if its stored version is the one that was read.
// After a lost answer, an object that is gone has been deleted at the version read; one that is still
// at that version is deleted again.
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
			return fmt.Errorf("it is not known whether %s %s was deleted: %w", id.Kind, id.Name, errors.Join(err, getErr))
		case current.Version != read:
			return newConflictError(current, o, read)
		}
	}
}
