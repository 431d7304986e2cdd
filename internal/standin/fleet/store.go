// Package fleet plays the users' platform for tests and demos: its object store
// and the targets that hold keys. It was written from the platform's published
// protocol and knows its names.
package fleet

import (
	"encoding/json"
	"slices"
	"sync"
)

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

// event is a change of an object.
type event struct {
	kind    string
	Object  Object
	Removed bool
}

// Fault is how the store treats a call.
type Fault int

// The faults.
const (
	// NoFault: none.
	NoFault Fault = iota
	// Unavailable: 503, nothing was done.
	Unavailable
	// RateLimited: 429, nothing was done.
	RateLimited
	// RequestLost: the connection is closed before anything was done.
	RequestLost
	// ResponseLost: the call is done and its connection closed.
	ResponseLost
)

// Store is the object store. It serves HTTP.
type Store struct {
	// PageSize is how many objects a page holds.
	PageSize int

	mu                sync.Mutex
	revision          uint64
	objects           map[string]map[string]*Object
	history           []event
	compactedRevision uint64
	changed           chan struct{}
	faults            []Fault
	// writeFaults are met by writes only.
	writeFaults []Fault
	calls       int
}

// historyMost is how many changes are kept for watches.
const maxHistory = 4096

// defaultPage is the platform's page.
const defaultPageSize = 500

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{PageSize: defaultPageSize, revision: 1, objects: make(map[string]map[string]*Object), changed: make(chan struct{})}
}

// FailCalls lets the next calls meet these faults, one each.
func (s *Store) FailCalls(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// FailWrites lets the next n writes meet a fault.
func (s *Store) FailWrites(n int, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.writeFaults = append(s.writeFaults, f)
	}
}

// Compact drops the history: watches from before get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notify()
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes an object as another writer does.
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

// Remove removes an object whatever its finalizers are.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		s.remove(kind, o)
	}
}

// put, drop and notify need s.mu.
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

// notify wakes watches after a change, and forgets the oldest changes. It needs s.mu.
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

// since needs s.mu.
func (s *Store) eventsSince(kind string, from uint64) []event {
	var out []event
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > from {
			out = append(out, e)
		}
	}
	return out
}

// settle needs s.mu. A write that changes nothing makes no revision.
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
