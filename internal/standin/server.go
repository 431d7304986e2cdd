package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hemlockquay/internal/keyspace"
)

// TargetConfig is the configuration of one simulated target.
type TargetConfig struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Slots   int    `json:"slots"`
	Keyed   bool   `json:"keyed"`
	// MeanWorkUS is the mean service time in microseconds.
	MeanWorkUS int `json:"meanWorkUs"`
	// Seed seeds the random service times and failures.
	Seed uint64 `json:"seed"`
}

// Server is one simulated target. Each Restart starts a new incarnation.
type Server struct {
	config TargetConfig
	ledger *Ledger

	mu       sync.Mutex
	process  *targetProcess
	starts   int
	faults   TargetFaults
	unfrozen chan struct{}
	random   *rand.Rand
	started  time.Time
}

// targetProcess is the state of one incarnation. It is lost when the target is killed.
type targetProcess struct {
	incarnation string
	fences      *Fences
	running     map[string]keyspace.Point
	listener    net.Listener
	http        *http.Server
	stopped     chan struct{}
}

// NewServer starts a target on its address; ":0" picks a free port.
func NewServer(config TargetConfig, ledger *Ledger) (*Server, error) {
	s := &Server{
		config:   config,
		ledger:   ledger,
		unfrozen: make(chan struct{}),
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		started:  time.Now(),
	}
	if err := s.Restart(); err != nil {
		return nil, err
	}
	return s, nil
}

// Config returns the target's configuration with the address at which it listens.
func (s *Server) Config() TargetConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Restart starts a new incarnation with empty state. A running one is killed first.
func (s *Server) Restart() error {
	s.Kill()
	listener, err := net.Listen("tcp", s.Config().Addr)
	if err != nil {
		return fmt.Errorf("start target %s: %w", s.config.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	incarnation := fmt.Sprintf("%s-%d", s.config.Name, s.starts)
	s.config.Addr = listener.Addr().String()
	process := &targetProcess{
		incarnation: incarnation,
		fences:      NewFences(incarnation),
		running:     make(map[string]keyspace.Point),
		listener:    listener,
		stopped:     make(chan struct{}),
	}
	process.http = &http.Server{Handler: s.handler(process)}
	s.process = process
	go func() { _ = process.http.Serve(listener) }()
	return nil
}

// Kill ends the current incarnation at once: its connections are closed and its state is lost.
func (s *Server) Kill() {
	s.mu.Lock()
	process := s.process
	s.process = nil
	s.mu.Unlock()
	if process == nil {
		return
	}
	close(process.stopped)
	process.http.Close()
}

// clock returns the target's own time in nanoseconds. Restarts do not reset it.
func (s *Server) clock() int64 { return int64(time.Since(s.started)) + 1 }
