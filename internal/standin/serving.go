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

// Headers between the load generator and a simulated target.
const (
	// HeaderLoadID is the request's ID in the ledger. The response repeats it.
	HeaderLoadID = "X-Load-Id"
	// HeaderLoadSize is the size of the response body in bytes.
	HeaderLoadSize = "X-Load-Size"
	// HeaderLoadWork is the service time in microseconds. Without it the service time is
	// exponentially distributed with the target's mean.
	HeaderLoadWork = "X-Load-Work-Us"
	// HeaderLoadCrash set to "1" kills the target that runs the request.
	HeaderLoadCrash = "X-Load-Crash"
	// HeaderServedBy is the name of the target in its response.
	HeaderServedBy = "X-Served-By"
)

func (s *Server) handler(process *targetProcess) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.OrdersPath, func(w http.ResponseWriter, r *http.Request) { s.serveOrders(process, w, r) })
	mux.HandleFunc("GET "+target.HealthPath, func(w http.ResponseWriter, r *http.Request) { s.serveHealth(process, w, r) })
	mux.HandleFunc("GET "+target.LoadPath, func(w http.ResponseWriter, r *http.Request) { s.serveLoad(process, w, r) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serveRequest(process, w, r) })
	return mux
}

func (s *Server) serveOrders(process *targetProcess, w http.ResponseWriter, r *http.Request) {
	var order target.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A frozen process handles what it has received once it resumes, so the order is
	// applied late, whether or not the sender still waits.
	if !s.waitWhileFrozen(context.WithoutCancel(r.Context()), process) {
		return
	}
	s.mu.Lock()
	report := process.fences.Apply(&order, s.clock(), process.countRunning)
	report.Leaving = s.faults.Leaving
	s.mu.Unlock()
	writeJSON(w, report)
}

func (l *targetProcess) countRunning(_ string, slices []keyspace.Slice) int {
	n := 0
	for _, p := range l.running {
		if covers(slices, p) {
			n++
		}
	}
	return n
}

// Health is the response of the health endpoint.
type Health struct {
	Incarnation string `json:"incarnation"`
	Healthy     bool   `json:"healthy"`
	Leaving     bool   `json:"leaving"`
}

// Load is the response of the load endpoint.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
}

func (s *Server) serveHealth(process *targetProcess, w http.ResponseWriter, r *http.Request) {
	f, _ := s.currentFaults()
	if !f.ReportHealthy && !s.waitWhileFrozen(r.Context(), process) {
		return
	}
	writeJSON(w, Health{Incarnation: process.incarnation, Healthy: true, Leaving: f.Leaving})
}

func (s *Server) serveLoad(process *targetProcess, w http.ResponseWriter, r *http.Request) {
	f, _ := s.currentFaults()
	if !f.ReportIdle && !s.waitWhileFrozen(r.Context(), process) {
		return
	}
	s.mu.Lock()
	running := len(process.running)
	s.mu.Unlock()
	if f.ReportIdle {
		running = 0
	}
	writeJSON(w, Load{Slots: s.config.Slots, Running: running})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) serveRequest(process *targetProcess, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.waitWhileFrozen(r.Context(), process) {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(target.HeaderRequestID)
	refusal := s.admit(process, id, r)
	if refusal != "" {
		w.Header().Set(problem.Header, string(problem.RanNo))
		w.Header().Set(target.HeaderRefused, string(refusal))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.finish(process, id)
	s.ledger.record(r.Header.Get(HeaderLoadID), s.config.Name)
	if r.Header.Get(HeaderLoadCrash) == "1" {
		go s.crash()
		<-process.stopped
		panic(http.ErrAbortHandler)
	}
	if !s.awaitServiceTime(r, process) {
		panic(http.ErrAbortHandler)
	}
	s.reply(w, r, body)
}

// admit takes a slot for the request, or returns why the request is refused.
func (s *Server) admit(process *targetProcess, id string, r *http.Request) target.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	point := keyspace.PointOf(r.Header.Get(target.HeaderKey))
	if s.faults.Leaving {
		return target.RefusedLeaving
	}
	if s.config.Keyed {
		group, _ := strconv.ParseUint(r.Header.Get(target.HeaderGroup), 10, 64)
		rank, err := target.ParseRank(r.Header.Get(target.HeaderRank))
		if err != nil {
			return target.RefusedFence
		}
		if refusal := process.fences.Admit(s.config.Service, group, rank, r.Header.Get(target.HeaderIncarnation), point, s.clock()); refusal != "" {
			return refusal
		}
	}
	if len(process.running) >= s.config.Slots {
		return target.RefusedShed
	}
	process.running[id] = point
	return ""
}

func (s *Server) finish(process *targetProcess, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(process.running, id)
}

// awaitServiceTime waits for the service time of the request. It returns false if the
// process was killed or the caller disconnected meanwhile.
func (s *Server) awaitServiceTime(r *http.Request, process *targetProcess) bool {
	timer := time.NewTimer(s.serviceTime(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-process.stopped:
		return false
	case <-r.Context().Done():
		// The caller disconnected; returning frees the slot.
		return false
	}
	return s.waitWhileFrozen(r.Context(), process)
}

func (s *Server) serviceTime(r *http.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := float64(s.config.MeanWorkUS) * s.random.ExpFloat64()
	if us, err := strconv.ParseFloat(r.Header.Get(HeaderLoadWork), 64); err == nil {
		work = us
	}
	if s.faults.ServiceTimeFactor > 0 {
		work *= s.faults.ServiceTimeFactor
	}
	return time.Duration(work * float64(time.Microsecond))
}

// oversizedAnswerBytes exceeds every body limit that a service may set.
const oversizedAnswerBytes = 65 << 20

func (s *Server) reply(w http.ResponseWriter, r *http.Request, body []byte) {
	f, _ := s.currentFaults()
	id := r.Header.Get(HeaderLoadID)
	size, _ := strconv.Atoi(r.Header.Get(HeaderLoadSize))
	if f.FailPercent > 0 && s.randomFloat() < f.FailPercent/100 || f.AnswerFault == AnswerMissing {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderServedBy, s.config.Name)
	w.Header().Set(HeaderLoadID, id)
	if f.AnswerFault == AnswerOversized {
		size = oversizedAnswerBytes
	}
	answer := AnswerBody(id, size, body)
	if f.AnswerFault == AnswerTruncated {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+1))
	}
	_, _ = w.Write(answer)
}

func (s *Server) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
