// Package memstore is an in-memory implementation of the platform's store, for tests
// and for the stand-in. It keeps a bounded history for watches.
package memstore

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"hemlockquay/internal/platform"
)

// maxHistory is how many changes a watch may lag behind before it gets ErrGone.
const maxHistory = 4096

// Store implements platform.Store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	objects  map[platform.ID]platform.Object
	vms      []platform.VM
	revision uint64
	history  []platform.Event
	changed  chan struct{}
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[platform.ID]platform.Object), changed: make(chan struct{})}
}

// SetVMs replaces the platform's list of VMs.
func (s *Store) SetVMs(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.Clone(vms)
}

// VMs implements platform.Store.
func (s *Store) VMs(context.Context) ([]platform.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.vms), nil
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, id platform.ID) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[id]
	if !ok {
		return platform.Object{}, fmt.Errorf("get %s %s: %w", id.Kind, id.Name, platform.ErrNotFound)
	}
	return o, nil
}

// List implements platform.Store. Objects are sorted by kind and name.
func (s *Store) List(context.Context) (platform.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.Listing{Revision: s.revision, Objects: make([]platform.Object, 0, len(s.objects))}
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	slices.SortFunc(l.Objects, func(a, b platform.Object) int {
		if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return l, nil
}

// Put implements platform.Store.
func (s *Store) Put(_ context.Context, o platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.objects[o.ID()]; current.Version != o.Version {
		return current, fmt.Errorf("put %s %s: have version %d, expected %d: %w", o.Kind, o.Name, current.Version, o.Version, platform.ErrConflict)
	}
	o.Spec = bytes.Clone(o.Spec)
	s.revision++
	o.Version = s.revision
	s.objects[o.ID()] = o
	s.appendEvent(platform.Event{Type: platform.EventPut, Object: o, Revision: s.revision})
	return o, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, o platform.Object) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[o.ID()]
	if !ok {
		return fmt.Errorf("delete %s %s: %w", o.Kind, o.Name, platform.ErrNotFound)
	}
	if current.Version != o.Version {
		return fmt.Errorf("delete %s %s: have version %d, expected %d: %w", o.Kind, o.Name, current.Version, o.Version, platform.ErrConflict)
	}
	s.revision++
	delete(s.objects, o.ID())
	s.appendEvent(platform.Event{Type: platform.EventDelete, Object: current, Revision: s.revision})
	return nil
}

func (s *Store) appendEvent(e platform.Event) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxHistory)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, from uint64, handle func(platform.Event) error) error {
	for {
		events, changed, err := s.eventsAfter(from)
		if err != nil {
			return err
		}
		for _, e := range events {
			if err := handle(e); err != nil {
				return err
			}
			from = e.Revision
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// eventsAfter returns the changes after the revision, and a channel that is closed at
// the next change.
func (s *Store) eventsAfter(from uint64) ([]platform.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from > s.revision || (len(s.history) > 0 && from+1 < s.history[0].Revision) {
		return nil, nil, fmt.Errorf("watch from %d at revision %d: %w", from, s.revision, platform.ErrGone)
	}
	i, _ := slices.BinarySearchFunc(s.history, from+1, func(e platform.Event, r uint64) int {
		return int(int64(e.Revision) - int64(r))
	})
	return slices.Clone(s.history[i:]), s.changed, nil
}

// CheckRevision returns ErrGone if a watch cannot start at the revision.
func (s *Store) CheckRevision(from uint64) error {
	_, _, err := s.eventsAfter(from)
	return err
}
