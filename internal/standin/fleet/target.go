package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target is a server that runs requests, and holds keys where it is keyed.
type Target struct {
	ID      string
	Service string
	Zone    string
	Keyed   bool
	Slots   int

	mu sync.Mutex
	// work is how long a request takes.
	work     time.Duration
	born     int64
	draining bool
	fences   [1 << 16]uint64
	holds    [1 << 16]time.Time
	ran      map[string]int
	seq      int

	slots    chan struct{}
	listener net.Listener
	server   *http.Server
}

// Start begins a life of the target at a free loopback port and lists it.
func (t *Target) Start(s *Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start target %s: %w", t.ID, err)
	}
	t.listener, t.born, t.ran = listener, time.Now().UnixMilli(), make(map[string]int)
	t.slots = make(chan struct{}, t.Slots)
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }()
	t.list(s)
	return nil
}

// Addr returns the target's address.
func (t *Target) Addr() string { return t.listener.Addr().String() }

func (t *Target) list(s *Store) {
	t.mu.Lock()
	t.seq++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": t.Service, "Addr": t.Addr(), "Zone": t.Zone, "Version": "v1", "Slots": t.Slots,
		"State": state, "WarmupLeftS": 0, "Seq": t.seq, "born": t.born,
	}
	t.mu.Unlock()
	s.Set("servers", t.ID, entry)
}

// Drain says that the target leaves.
func (t *Target) Drain(s *Store) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.list(s)
}

// SetWork sets how long a request takes.
func (t *Target) SetWork(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = d
}

// Kill ends the life at once.
func (t *Target) Kill() { _ = t.server.Close() }

// Holds tells whether the target holds a key now.
func (t *Target) Holds(key uint16) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.holds[key])
}

// Ran returns how often a request ran here.
func (t *Target) Ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}

// Requests returns how many requests ran here.
func (t *Target) Requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ran)
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", t.ID)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != t.ID {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case "/grant":
		t.grant(w, r)
	case "/release":
		t.release(w, r)
	default:
		t.run(w, r)
	}
}

type order struct {
	From, To uint16
	Fence    uint64 `json:"fence"`
	HoldS    float64
}

func (t *Target) grant(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || !t.Keyed {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := int(o.From); key <= int(o.To); key++ {
		if t.fences[key] > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := time.Now().Add(time.Duration(o.HoldS * float64(time.Second)))
	for key := int(o.From); key <= int(o.To); key++ {
		t.fences[key], t.holds[key] = o.Fence, until
	}
}

func (t *Target) release(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || !t.Keyed {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := int(o.From); key <= int(o.To); key++ {
		t.fences[key], t.holds[key] = max(t.fences[key], o.Fence), time.Time{}
	}
	w.Header().Set("X-Handover", t.ID+"-state")
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	if t.Keyed {
		key, err := strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 16)
		if err != nil || !t.Holds(uint16(key)) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	t.mu.Lock()
	t.ran[r.Header.Get("X-Request-Id")]++
	work := t.work
	t.mu.Unlock()
	time.Sleep(work)
	w.Header().Set("X-Server-Stamp", t.ID)
	_, _ = fmt.Fprintf(w, "%s %s", t.ID, r.URL.Path)
}
