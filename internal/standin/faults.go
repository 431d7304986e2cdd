package standin

import (
	"context"
	"time"
)

// TargetFaults are the faults of one target.
type TargetFaults struct {
	// ServiceTimeFactor multiplies service times; 0 counts as 1.
	ServiceTimeFactor float64 `json:"factor"`
	// Frozen holds every request and order until it is lifted.
	Frozen bool `json:"frozen"`
	// Leaving makes the target drain.
	Leaving bool `json:"leaving"`
	// FailPercent of requests lose their answer after they ran.
	FailPercent float64 `json:"failPercent"`
	// ReportHealthy and ReportIdle make the hint endpoints lie.
	ReportHealthy bool `json:"lieHealthy"`
	ReportIdle    bool `json:"lieIdle"`
	// AnswerFault is a kind of broken answer; see the AnswerFault constants.
	AnswerFault string `json:"broken"`
}

// Kinds of broken answers.
const (
	AnswerTruncated = "short" // fewer bytes than announced
	AnswerOversized = "huge"  // far more than any limit
	AnswerMissing   = "empty" // the connection closes without an answer
)

// SetFaults puts the faults in force.
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

// waitWhileFrozen holds a call while the target is frozen. It returns false if the life
// ended or the caller left.
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

// crashDowntime is how long a crashed target is away.
const crashDowntime = 500 * time.Millisecond

func (s *Server) crash() {
	s.Kill()
	time.AfterFunc(crashDowntime, func() { _ = s.Restart() })
}
