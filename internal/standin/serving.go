package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/target"
)

// Headers by which a caller instructs a stand-in target.
const (
	// HeaderLoadID names the caller's request in the ledger and the answer.
	HeaderLoadID = "X-Load-Id"
	// HeaderLoadSize is the size of the answer's body, bytes.
	HeaderLoadSize = "X-Load-Size"
	// HeaderLoadWork is the service time, microseconds; else the target's mean
	// with an exponential distribution.
	HeaderLoadWork = "X-Load-Work-Us"
	// HeaderLoadCrash set to "1" kills the target that runs the request.
	HeaderLoadCrash = "X-Load-Crash"
	// HeaderServedBy names the target in the answer.
	HeaderServedBy = "X-Served-By"
)

func (s *Server) handler(life *targetLife) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.OrdersPath, func(w http.ResponseWriter, r *http.Request) { s.orders(life, w, r) })
	mux.HandleFunc("GET "+target.HealthPath, func(w http.ResponseWriter, r *http.Request) { s.health(life, w, r) })
	mux.HandleFunc("GET "+target.LoadPath, func(w http.ResponseWriter, r *http.Request) { s.load(life, w, r) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(life, w, r) })
	return mux
}

func (s *Server) orders(life *targetLife, w http.ResponseWriter, r *http.Request) {
	var order target.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A frozen process finishes what it received once it goes on: the order is
	// applied late, whether or not the sender still waits.
	if !s.stall(context.WithoutCancel(r.Context()), life) {
		return
	}
	s.mu.Lock()
	report := life.fences.Apply(&order, s.clock(), life.runningOn)
	report.Leaving = s.faults.Leaving
	s.mu.Unlock()
	writeJSON(w, report)
}

func (l *targetLife) runningOn(_ string, slices []keyspace.Slice) int {
	n := 0
	for _, p := range l.running {
		if covers(slices, p) {
			n++
		}
	}
	return n
}

// Health is the answer of the health endpoint.
type Health struct {
	Incarnation string `json:"incarnation"`
	Healthy     bool   `json:"healthy"`
	Leaving     bool   `json:"leaving"`
}

// Load is the answer of the load endpoint.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
}

func (s *Server) health(life *targetLife, w http.ResponseWriter, r *http.Request) {
	f, _ := s.current()
	if !f.LieHealthy && !s.stall(r.Context(), life) {
		return
	}
	writeJSON(w, Health{Incarnation: life.incarnation, Healthy: true, Leaving: f.Leaving})
}

func (s *Server) load(life *targetLife, w http.ResponseWriter, r *http.Request) {
	f, _ := s.current()
	if !f.LieIdle && !s.stall(r.Context(), life) {
		return
	}
	s.mu.Lock()
	running := len(life.running)
	s.mu.Unlock()
	if f.LieIdle {
		running = 0
	}
	writeJSON(w, Load{Slots: s.config.Slots, Running: running})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) serve(life *targetLife, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.stall(r.Context(), life) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(target.HeaderRequestID)
	refusal := s.enter(life, id, r)
	if refusal != "" {
		w.Header().Set(problem.Header, string(problem.RanNo))
		w.Header().Set(target.HeaderRefused, string(refusal))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave(life, id)
	s.ledger.ran(r.Header.Get(HeaderLoadID), s.config.Name)
	if r.Header.Get(HeaderLoadCrash) == "1" {
		go s.crash()
		<-life.ended
		panic(http.ErrAbortHandler)
	}
	if !s.work(r, life) {
		panic(http.ErrAbortHandler)
	}
	s.reply(w, r, body)
}

// enter takes a slot or says why not.
func (s *Server) enter(life *targetLife, id string, r *http.Request) target.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	point := keyspace.Of(r.Header.Get(target.HeaderKey))
	if s.faults.Leaving {
		return target.RefusedLeaving
	}
	if s.config.Keyed {
		group, _ := strconv.ParseUint(r.Header.Get(target.HeaderGroup), 10, 64)
		rank, err := target.ParseRank(r.Header.Get(target.HeaderRank))
		if err != nil {
			return target.RefusedFence
		}
		if refusal := life.fences.Admit(s.config.Service, group, rank, r.Header.Get(target.HeaderIncarnation), point, s.clock()); refusal != "" {
			return refusal
		}
	}
	if len(life.running) >= s.config.Slots {
		return target.RefusedShed
	}
	life.running[id] = point
	return ""
}

func (s *Server) leave(life *targetLife, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(life.running, id)
}

// work takes the service time. It returns false if the life ended meanwhile.
func (s *Server) work(r *http.Request, life *targetLife) bool {
	timer := time.NewTimer(s.serviceTime(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-life.ended:
		return false
	case <-r.Context().Done():
		// Cancelled: the caller went away, the slot is free again.
		return false
	}
	return s.stall(r.Context(), life)
}

func (s *Server) serviceTime(r *http.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := float64(s.config.MeanWorkUS) * s.random.ExpFloat64()
	if us, err := strconv.ParseFloat(r.Header.Get(HeaderLoadWork), 64); err == nil {
		work = us
	}
	if s.faults.Factor > 0 {
		work *= s.faults.Factor
	}
	return time.Duration(work * float64(time.Microsecond))
}

// hugeAnswer is above every body limit that a service may set, bytes.
const hugeAnswer = 65 << 20

func (s *Server) reply(w http.ResponseWriter, r *http.Request, body []byte) {
	f, _ := s.current()
	id := r.Header.Get(HeaderLoadID)
	size, _ := strconv.Atoi(r.Header.Get(HeaderLoadSize))
	if f.FailPercent > 0 && s.chance() < f.FailPercent/100 || f.Broken == BrokenEmpty {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderServedBy, s.config.Name)
	w.Header().Set(HeaderLoadID, id)
	if f.Broken == BrokenHuge {
		size = hugeAnswer
	}
	answer := AnswerBody(id, size, body)
	if f.Broken == BrokenShort {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+1))
	}
	_, _ = w.Write(answer)
}

func (s *Server) chance() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
