package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Observer is notified of what targets do. Each target's calls come in the order of its
// actions.
type Observer interface {
	// Granted: the target has accepted a grant of the keys from..to that expires at until.
	Granted(target string, from, to uint16, fence uint64, until time.Time)
	// Released: the target has released the keys from..to.
	Released(target string, from, to uint16)
	// Ran: the target has begun to run a request.
	Ran(target, id string)
	// Abandoned: the caller of a request disconnected while the target ran it.
	Abandoned(target, id string)
}

// Target is a simulated server that runs requests. If Keyed, it runs only those for keys
// that it has been granted.
type Target struct {
	ID      string
	Service string
	Zone    string
	Keyed   bool
	Slots   int
	// Room is the number of requests that run or wait for a slot. The connections of further ones are reset. Default 0: no
	// bound.
	Room int
	// Pad is the number of padding bytes in a response body; see Body.
	Pad int
	// Via returns the address to register for the target's own address, such as that of a
	// proxy. Default: the target's own.
	Via func(addr string) (string, error)
	// Observer is notified of what the target does. It may be nil.
	Observer Observer
	// Arrived is called for each request with the host that sent it, and whether the response states a limit. It
	// may be nil.
	Arrived func(from string, limited bool)
	// Exchanged is called after each request, before its response is complete. It may be nil.
	Exchanged func(e Exchange)

	mu sync.Mutex
	// registeredAddr is the address in the target's entry.
	registeredAddr string
	// work is the service time of a request.
	work time.Duration
	// dropResponses makes the target close the connection in place of a response.
	dropResponses bool
	// limit is the limit that responses state, or "".
	limit     string
	signals   signals
	startedAt int64
	draining  bool
	fences    [1 << 16]uint64
	heldUntil [1 << 16]time.Time
	ran       map[string]int
	seq       int

	slots chan struct{}
	// inRoom is the number of requests that run or wait for a slot.
	inRoom   int
	listener net.Listener
	server   *http.Server
}

// Start starts the target at a free loopback port and registers it.
func (t *Target) Start(s *Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start target %s: %w", t.ID, err)
	}
	registered := listener.Addr().String()
	if t.Via != nil {
		if registered, err = t.Via(registered); err != nil {
			return fmt.Errorf("start target %s: %w", t.ID, errors.Join(err, listener.Close()))
		}
	}
	server := &http.Server{Handler: t}
	t.mu.Lock()
	t.listener, t.startedAt, t.ran = listener, time.Now().UnixMilli(), make(map[string]int)
	t.slots, t.registeredAddr, t.server = make(chan struct{}, t.Slots), registered, server
	t.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	t.Register(s)
	return nil
}

// Addr returns the target's address.
func (t *Target) Addr() string { return t.listener.Addr().String() }

// Register writes the target's entry to the store.
func (t *Target) Register(s *Store) {
	t.mu.Lock()
	t.seq++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": t.Service, "Addr": t.registeredAddr, "Zone": t.Zone, "Version": "v1", "Slots": t.Slots,
		"State": state, "WarmupLeftS": 0, "Seq": t.seq, "born": t.startedAt,
	}
	t.mu.Unlock()
	s.Set("servers", t.ID, entry)
}

// Drain registers the target as draining.
func (t *Target) Drain(s *Store) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.Register(s)
}

// SetWork sets the service time of a request.
func (t *Target) SetWork(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = d
}

// SetDropResponses sets whether the target closes the connection in place of responding to
// a request that ran.
func (t *Target) SetDropResponses(dropResponses bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropResponses = dropResponses
}

// SetLimit makes the target's responses state how many requests per second it takes. A negative number ends that.
func (t *Target) SetLimit(perSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = ""
	if perSecond >= 0 {
		t.limit = strconv.FormatFloat(perSecond, 'f', -1, 64)
	}
}

// stateLimit sets the header with the limit, if there is one.
func (t *Target) stateLimit(h http.Header) (limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit != "" {
		h.Set("Server-Limit", t.limit)
	}
	return t.limit != ""
}

// Kill stops the target at once and closes its connections.
func (t *Target) Kill() { _ = t.server.Close() }

// Holds reports whether the target holds a key now.
func (t *Target) Holds(key uint16) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.heldUntil[key])
}

// Ran returns how often the target ran a request since its start.
func (t *Target) Ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}

// Requests returns the number of distinct requests that the target ran since its start.
func (t *Target) Requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ran)
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", t.ID)
	w.Header().Set(Headers.RequestID, r.Header.Get(Headers.RequestID))
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != t.ID {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.stateLimit(w.Header())
	leaving := t.setLeavingHeader(w.Header())
	switch r.URL.Path {
	case "/health":
		return
	case "/grant":
		t.grant(w, r)
	case "/release":
		t.release(w, r)
	default:
		t.serve(w, r, leaving)
	}
}

// serve answers a request of a caller, or refuses it.
func (t *Target) serve(w http.ResponseWriter, r *http.Request, leaving bool) {
	e := Exchange{ID: r.Header.Get(Headers.RequestID), Born: t.Born(), Arrived: time.Now(), Leaving: leaving}
	e.From, _, _ = net.SplitHostPort(r.RemoteAddr)
	if t.Exchanged != nil {
		defer func() { t.Exchanged(e) }()
	}
	if rest, refused := t.refuse(w); refused {
		e.Rest = rest
		return
	}
	t.run(w, r)
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
		t.fences[key], t.heldUntil[key] = o.Fence, until
	}
	if t.Observer != nil {
		t.Observer.Granted(t.ID, o.From, o.To, o.Fence, until)
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
		t.fences[key], t.heldUntil[key] = max(t.fences[key], o.Fence), time.Time{}
	}
	if t.Observer != nil {
		t.Observer.Released(t.ID, o.From, o.To)
	}
	w.Header().Set("X-Handover", t.ID+"-state")
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	if t.Arrived != nil {
		from, _, _ := net.SplitHostPort(r.RemoteAddr)
		t.Arrived(from, t.stateLimit(w.Header()))
	}
	if t.Keyed {
		key, err := strconv.ParseUint(r.Header.Get(Headers.Key), 10, 16)
		if err != nil || !t.Holds(uint16(key)) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	if !t.enter() {
		// The connection is reset, which does not say whether the request has run.
		panic(http.ErrAbortHandler)
	}
	defer t.leave()
	t.mu.Lock()
	slots := t.slots
	t.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-slots }()
	t.mu.Lock()
	id, work := r.Header.Get(Headers.RequestID), t.work
	t.ran[id]++
	if t.Observer != nil {
		t.Observer.Ran(t.ID, id)
	}
	t.mu.Unlock()
	t.awaitWork(r.Context(), id, time.After(work))
	t.mu.Lock()
	dropResponses := t.dropResponses
	t.mu.Unlock()
	if dropResponses {
		panic(http.ErrAbortHandler)
	}
	t.answerEndlessly(w)
	w.Header().Set(Headers.Stamp, t.ID)
	_, _ = io.WriteString(w, Body(t.ID, r.URL.Path, t.Pad))
}

// awaitWork waits for the end of the service time. The work goes on after the caller has
// disconnected.
func (t *Target) awaitWork(sender context.Context, id string, done <-chan time.Time) {
	select {
	case <-done:
		return
	case <-sender.Done():
	}
	if t.Observer != nil {
		t.Observer.Abandoned(t.ID, id)
	}
	<-done
}

// Body returns the complete body of a target's response: the target and the path, repeated
// to fill pad further bytes.
func Body(target, path string, pad int) string {
	text := target + " " + path
	return text + strings.Repeat(" "+text, pad/len(text)+1)[:pad]
}
