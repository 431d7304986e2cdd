// Package fleet plays the users' platform for tests and demos: its object store
// and the targets that hold keys. It was written from the platform's published
// protocol and knows its names.
package fleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
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
	// Works: none.
	Works Fault = iota
	// Busy: 503, nothing was done.
	Busy
	// Limited: 429, nothing was done.
	Limited
	// Resets: the connection is closed before anything was done.
	Resets
	// LosesAnswer: the call is done and its connection closed.
	LosesAnswer
)

// Store is the object store. It serves HTTP.
type Store struct {
	// PageSize is how many objects a page holds.
	PageSize int

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*Object
	history  []event
	kept     uint64
	changed  chan struct{}
	faults   []Fault
	calls    int
}

// defaultPage is the platform's page.
const defaultPage = 500

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{PageSize: defaultPage, revision: 1, objects: make(map[string]map[string]*Object), changed: make(chan struct{})}
}

// Fail lets the next calls meet these faults, one each.
func (s *Store) Fail(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Compact drops the history: watches from before get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.kept = nil, s.revision
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
		s.drop(kind, o)
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

func (s *Store) drop(kind string, o *Object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.history = append(s.history, event{kind: kind, Object: gone, Removed: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch s.nextFault() {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Limited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Resets:
		panic(http.ErrAbortHandler)
	case LosesAnswer:
		s.serve(&discard{}, r)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r)
}

func (s *Store) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if len(s.faults) == 0 {
		return Works
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, status := parts[1], "", false
	if len(parts) > 2 {
		name = parts[2]
	}
	status = len(parts) > 3 && parts[3] == "status"
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodDelete:
		s.delete(w, kind, name, queryRevision(r))
	default:
		s.write(w, r, kind, name, status)
	}
}

func queryRevision(r *http.Request) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get("Revision"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > s.PageSize
	names = names[:min(len(names), s.PageSize)]
	items := make([]Object, len(names))
	for i, name := range names {
		items[i] = *s.objects[kind][name]
	}
	answer(w, http.StatusOK, struct {
		Items   []Object `json:"items"`
		HasMore bool
		AsOf    uint64
	}{items, more, s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil {
		wait = 0
	}
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, events, revision, changed := from < s.kept, s.since(kind, from), s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answerEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-over:
			answerEvents(w, nil, revision)
			return
		}
	}
}

func answerEvents(w http.ResponseWriter, events []event, revision uint64) {
	answer(w, http.StatusOK, struct {
		Events []event `json:"events"`
		AsOf   uint64
	}{events, revision})
}

// since needs s.mu.
func (s *Store) since(kind string, from uint64) []event {
	var out []event
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > from {
			out = append(out, e)
		}
	}
	return out
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var in Object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = in.Metadata.Name
	}
	old := s.objects[kind][name]
	expected := max(in.Metadata.Revision, queryRevision(r))
	switch {
	case r.Method == http.MethodPost && old != nil:
		answer(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPost:
		old = &Object{Metadata: Metadata{Name: name}}
	case old == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case expected != 0 && expected != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
		return
	}
	next := *old
	if status {
		next.Status = in.Status
	} else {
		next.Spec, next.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	}
	s.settle(kind, old, &next)
	answer(w, http.StatusOK, next)
}

// settle needs s.mu. A write that changes nothing makes no revision.
func (s *Store) settle(kind string, old, next *Object) {
	same := string(old.Spec) == string(next.Spec) && string(old.Status) == string(next.Status) &&
		slices.Equal(old.Metadata.Finalizers, next.Metadata.Finalizers)
	switch {
	case next.Metadata.Deleting && len(next.Metadata.Finalizers) == 0:
		s.drop(kind, next)
	case !same || old.Metadata.Revision == 0:
		s.put(kind, next)
	}
}

func (s *Store) delete(w http.ResponseWriter, kind, name string, expected uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	switch {
	case o == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case expected != 0 && expected != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
		return
	case len(o.Metadata.Finalizers) > 0:
		marked := *o
		marked.Metadata.Deleting = true
		s.put(kind, &marked)
	default:
		s.drop(kind, o)
	}
	answer(w, http.StatusOK, o)
}

// discard is an answer that nobody gets.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
