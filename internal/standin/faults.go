package standin

import (
	"context"
	"time"
)

// TargetFaults are the faults injected into one target.
type TargetFaults struct {
	// ServiceTimeFactor multiplies service times; 0 counts as 1.
	ServiceTimeFactor float64 `json:"factor"`
	// Frozen blocks every request and order until it is set to false.
	Frozen bool `json:"frozen"`
	// Leaving makes the target announce that it is leaving and refuse new requests.
	Leaving bool `json:"leaving"`
	// FailPercent is the percentage of requests whose connection is closed without a response after they ran.
	FailPercent float64 `json:"failPercent"`
	// ReportHealthy makes the health endpoint answer while the target is frozen; ReportIdle makes the load
	// endpoint do so, and report no running requests.
	ReportHealthy bool `json:"lieHealthy"`
	ReportIdle    bool `json:"lieIdle"`
	// AnswerFault is the defect of every response: one of the constants below, or "" for none.
	AnswerFault string `json:"broken"`
}

// Values of TargetFaults.AnswerFault.
const (
	AnswerTruncated = "short" // the body has fewer bytes than Content-Length
	AnswerOversized = "huge"  // the body exceeds every body limit
	AnswerMissing   = "empty" // the connection is closed without a response
)

// SetFaults replaces the faults of the target.
func (s *Server) SetFaults(f TargetFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen && !f.Frozen {
		close(s.unfrozen)
		s.unfrozen = make(chan struct{})
	}
	s.faults = f
}

func (s *Server) currentFaults() (TargetFaults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.unfrozen
}

// waitWhileFrozen blocks while the target is frozen. It returns false if the process
// was killed or the context was cancelled meanwhile.
func (s *Server) waitWhileFrozen(ctx context.Context, process *targetProcess) bool {
	for {
		f, unfrozen := s.currentFaults()
		if !f.Frozen {
			return true
		}
		select {
		case <-unfrozen:
		case <-process.stopped:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// crashDowntime is the time between a crash and the restart.
const crashDowntime = 500 * time.Millisecond

func (s *Server) crash() {
	s.Kill()
	time.AfterFunc(crashDowntime, func() { _ = s.Restart() })
}
