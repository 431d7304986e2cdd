package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a server. It answers in the order of the requests of a connection.
type server struct {
	id, service string
	sharded     bool
	slots       int
	queue       int
	// work is the mean time of work.
	work time.Duration

	lab      *lab
	listener net.Listener
	born     int64
	// slot holds a value for each running request.
	slot chan struct{}

	mu sync.Mutex
	// faults of the server.
	shedShare float64
	copyShare float64

	waiting  int
	draining bool
	seq      int
	fences   [1 << 16]uint64
	held     [1 << 16]time.Time
	running  [1 << 16]int
	changed  *sync.Cond
	// ran holds the times at which requests began to run, by id.
	ran map[string][]time.Time
	// seen holds the requests that the server ran.
	seen  []seenRequest
	conns map[net.Conn]bool
	gone  chan struct{}
}

// seenRequest is a request as it arrived at a server.
type seenRequest struct{ id, method, path, body string }

// startServer starts a server and registers it.
func (l *lab) startServer(s *server) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.lab, s.listener, s.born = l, listener, time.Now().UnixMilli()
	s.slot, s.ran, s.conns, s.gone = make(chan struct{}, s.slots), make(map[string][]time.Time), make(map[net.Conn]bool), make(chan struct{})
	s.changed = sync.NewCond(&s.mu)
	l.servers = append(l.servers, s)
	go s.accept()
	l.wait.Add(1)
	go s.beat()
	return nil
}

// beat writes the entry of the server at intervals.
func (s *server) beat() {
	defer s.lab.wait.Done()
	for {
		s.register()
		select {
		case <-s.gone:
			return
		case <-s.lab.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) register() {
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": s.service, "Addr": s.listener.Addr().String(), "Zone": "zone-a", "Version": "v1", "Slots": s.slots,
		"State": state, "WarmupLeftS": 0, "Seq": s.seq, "born": s.born,
	}
	s.mu.Unlock()
	s.lab.store.Set("servers", s.id, entry)
}

// end ends the server with its connections.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.gone:
		return
	default:
	}
	close(s.gone)
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// setFaults makes the server reject a share of the requests, and send a share of its answers a second time.
func (s *server) setFaults(shed, copied float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedShare, s.copyShare = shed, copied
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var second []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if second != nil {
			// The second copy of the last answer comes late, where the answer to this request is expected.
			if _, err := c.Write(second); err != nil {
				return
			}
			second = nil
		}
		a := s.answer(r, body)
		text := a.text(r.Header.Get("X-Request-Id"))
		if _, err := c.Write(text); err != nil {
			return
		}
		s.mu.Lock()
		if a.request && rand.Float64() < s.copyShare {
			second = text
			s.lab.record.printf("server %s will send the answer %d to %s a second time", s.id, a.status, r.Header.Get("X-Request-Id"))
		}
		s.mu.Unlock()
	}
}

// answer is an answer of a server. request reports whether it answers a request of a consumer.
type answer struct {
	status  int
	header  map[string]string
	body    string
	request bool
}

func (a answer) text(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", id)
	}
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.Bytes()
}

func notRun(status int) answer {
	return answer{status: status, header: map[string]string{"X-Not-Run": "1"}, request: true}
}

func (s *server) answer(r *http.Request, body []byte) answer {
	if meant := r.Header.Get("X-Target-Instance"); meant != "" && meant != s.id {
		return answer{status: http.StatusMisdirectedRequest, header: map[string]string{"X-Not-Run": "1", "X-Instance-Id": s.id}, request: true}
	}
	switch r.URL.Path {
	case "/health":
		return answer{status: http.StatusOK, header: map[string]string{"X-Instance-Id": s.id}}
	case "/grant":
		return s.grant(body)
	case "/release":
		return s.release(body)
	}
	return s.run(r, body)
}

type order struct {
	From, To uint16
	Fence    uint64 `json:"fence"`
	HoldS    float64
	Handover string
}

func (s *server) grant(body []byte) answer {
	var o order
	if json.Unmarshal(body, &o) != nil || !s.sharded {
		return answer{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := int(o.From); k <= int(o.To); k++ {
		if s.fences[k] > o.Fence {
			return answer{status: http.StatusConflict}
		}
	}
	until := time.Now().Add(time.Duration(o.HoldS * float64(time.Second)))
	for k := int(o.From); k <= int(o.To); k++ {
		s.fences[k], s.held[k] = o.Fence, until
	}
	return answer{status: http.StatusOK}
}

func (s *server) release(body []byte) answer {
	var o order
	if json.Unmarshal(body, &o) != nil || !s.sharded {
		return answer{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := int(o.From); k <= int(o.To); k++ {
		s.fences[k], s.held[k] = max(s.fences[k], o.Fence), time.Time{}
	}
	for s.busy(o.From, o.To) {
		s.changed.Wait()
	}
	return answer{status: http.StatusOK, header: map[string]string{"X-Handover": "5c0e7a21d94b36f8"}}
}

// busy reports whether work runs on a range of keys. It needs s.mu.
func (s *server) busy(from, to uint16) bool {
	for k := int(from); k <= int(to); k++ {
		if s.running[k] > 0 {
			return true
		}
	}
	return false
}

// run runs a request of a consumer, or rejects it.
func (s *server) run(r *http.Request, body []byte) answer {
	id := r.Header.Get("X-Request-Id")
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		ms = 5000
	}
	deadline := time.After(time.Duration(ms * float64(time.Millisecond)))
	key, err := strconv.ParseUint(r.Header.Get("X-Shard-Key"), 10, 16)
	if s.sharded && err != nil {
		return notRun(http.StatusMisdirectedRequest)
	}
	s.mu.Lock()
	switch {
	case rand.Float64() < s.shedShare, s.waiting >= s.queue:
		s.mu.Unlock()
		s.lab.record.printf("server %s rejects %s with 503", s.id, id)
		return notRun(http.StatusServiceUnavailable)
	}
	s.waiting++
	s.mu.Unlock()
	queued := true
	select {
	case s.slot <- struct{}{}:
	case <-deadline:
		queued = false
	}
	s.mu.Lock()
	s.waiting--
	if !queued {
		s.mu.Unlock()
		return notRun(http.StatusServiceUnavailable)
	}
	if s.sharded && !time.Now().Before(s.held[key]) {
		s.mu.Unlock()
		<-s.slot
		s.lab.record.printf("server %s rejects %s with 421", s.id, id)
		return notRun(http.StatusMisdirectedRequest)
	}
	s.ran[id] = append(s.ran[id], time.Now())
	s.seen = append(s.seen, seenRequest{id, r.Method, r.URL.Path, string(body)})
	s.running[key]++
	s.mu.Unlock()
	s.lab.record.printf("server %s runs %s", s.id, id)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(s.work)))
	s.mu.Lock()
	s.running[key]--
	s.changed.Broadcast()
	s.mu.Unlock()
	<-s.slot
	return answer{
		status: http.StatusOK, header: map[string]string{"X-Server-Stamp": s.id + "." + id}, request: true,
		body: s.id + " " + r.URL.Path + " " + id,
	}
}
