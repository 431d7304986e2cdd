// Package fleet simulates the users' platform for tests and demos: its object store and
// its targets, which hold keys. It implements the platform's published protocol with the
// names used there.
package fleet

import (
	"encoding/json"
	"slices"
	"sync"
)

// EvacuationKind is the kind of the objects by which operators evacuate the zones that they are named after.
const EvacuationKind = "evacuations"

// Metadata is an object's metadata.
type Metadata struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

// Object is one stored object.
type Object struct {
	Metadata Metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

// event is one change of an object.
type event struct {
	kind    string
	Object  Object
	Removed bool
}

// Fault is a fault that the store injects into a call.
type Fault int

// The faults.
const (
	// NoFault handles the call normally.
	NoFault Fault = iota
	// Unavailable responds 503; the call has no effect.
	Unavailable
	// RateLimited responds 429; the call has no effect.
	RateLimited
	// RequestLost closes the connection; the call has no effect.
	RequestLost
	// ResponseLost closes the connection after the call has taken effect.
	ResponseLost
)

// Store is the platform's object store, served over HTTP.
type Store struct {
	// PageSize is the maximum number of objects in a page of a list.
	PageSize int

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*Object
	history  []event
	// compactedRevision is the last revision that is no longer in the history.
	compactedRevision uint64
	changed           chan struct{}
	faults            []Fault
	// writeFaults are injected into writes only, before those in faults.
	writeFaults []Fault
	calls       int
}

// maxHistory is the number of changes that are kept for watches.
const maxHistory = 4096

// defaultPageSize is the platform's page size.
const defaultPageSize = 500

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{PageSize: defaultPageSize, revision: 1, objects: make(map[string]map[string]*Object), changed: make(chan struct{})}
}

// FailCalls injects the faults into the next calls, one each.
func (s *Store) FailCalls(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// FailWrites injects a fault into the next n writes.
func (s *Store) FailWrites(n int, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.writeFaults = append(s.writeFaults, f)
	}
}

// Compact drops the history. Watches from an earlier revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notify()
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set creates or replaces the spec of an object without a revision check, as another
// writer would.
func (s *Store) Set(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		o = &Object{Metadata: Metadata{Name: name}}
	}
	o.Spec = text
	s.put(kind, o)
}

// Remove removes an object regardless of its finalizers.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		s.remove(kind, o)
	}
}

// put stores an object at a new revision. put, remove and notify require s.mu.
func (s *Store) put(kind string, o *Object) {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*Object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{kind: kind, Object: *o})
	s.notify()
}

func (s *Store) remove(kind string, o *Object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.history = append(s.history, event{kind: kind, Object: gone, Removed: true})
	s.notify()
}

// notify wakes the watches after a change and trims the history to maxHistory. It requires
// s.mu.
func (s *Store) notify() {
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.compactedRevision = s.history[excess-1].Object.Metadata.Revision
		s.history = slices.Delete(s.history, 0, excess)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) nextFault(write bool) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	queue := &s.faults
	if write && len(s.writeFaults) > 0 {
		queue = &s.writeFaults
	}
	if len(*queue) == 0 {
		return NoFault
	}
	f := (*queue)[0]
	*queue = (*queue)[1:]
	return f
}

// eventsSince returns the changes of a kind after a revision. It requires s.mu.
func (s *Store) eventsSince(kind string, from uint64) []event {
	var out []event
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > from {
			out = append(out, e)
		}
	}
	return out
}

// update stores the result of a write. A write that changes nothing makes no new revision,
// and an object marked as deleted is removed with its last finalizer. It requires s.mu.
func (s *Store) update(kind string, old, next *Object) {
	same := string(old.Spec) == string(next.Spec) && string(old.Status) == string(next.Status) &&
		slices.Equal(old.Metadata.Finalizers, next.Metadata.Finalizers)
	switch {
	case next.Metadata.Deleting && len(next.Metadata.Finalizers) == 0:
		s.remove(kind, next)
	case !same || old.Metadata.Revision == 0:
		s.put(kind, next)
	}
}
