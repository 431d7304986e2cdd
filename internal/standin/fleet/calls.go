package fleet

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch s.nextFault(r.Method != http.MethodGet) {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case RequestLost:
		panic(http.ErrAbortHandler)
	case ResponseLost:
		s.serve(&discardingWriter{}, r)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r)
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

func respond(w http.ResponseWriter, status int, body any) {
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
	respond(w, http.StatusOK, o)
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
	respond(w, http.StatusOK, struct {
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
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, events, revision, changed := from < s.compactedRevision || from > s.revision, s.eventsSince(kind, from), s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respondEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			respondEvents(w, nil, revision)
			return
		}
	}
}

func respondEvents(w http.ResponseWriter, events []event, revision uint64) {
	respond(w, http.StatusOK, struct {
		Events []event `json:"events"`
		AsOf   uint64
	}{events, revision})
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
		respond(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPost:
		old = &Object{Metadata: Metadata{Name: name}}
	case old == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case expected != 0 && expected != old.Metadata.Revision:
		respond(w, http.StatusConflict, old)
		return
	}
	next := *old
	if status {
		next.Status = in.Status
	} else {
		next.Spec, next.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	}
	s.update(kind, old, &next)
	respond(w, http.StatusOK, next)
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
		respond(w, http.StatusConflict, o)
		return
	case len(o.Metadata.Finalizers) > 0:
		marked := *o
		marked.Metadata.Deleting = true
		s.put(kind, &marked)
	default:
		s.remove(kind, o)
	}
	respond(w, http.StatusOK, o)
}

// discardingWriter discards the response of a call.
type discardingWriter struct{ header http.Header }

func (d *discardingWriter) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}

func (d *discardingWriter) Write(b []byte) (int, error) { return len(b), nil }

func (d *discardingWriter) WriteHeader(int) {}
