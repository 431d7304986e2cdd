package standin

import (
	"context"
	"time"
)

// TargetFaults are the faults of one target.
type TargetFaults struct {
	// Factor multiplies service times; 0 counts as 1.
	Factor float64 `json:"factor"`
	// Frozen holds every request and order until it is lifted.
	Frozen bool `json:"frozen"`
	// Leaving makes the target drain.
	Leaving bool `json:"leaving"`
	// FailPercent of requests lose their answer after they ran.
	FailPercent float64 `json:"failPercent"`
	// LieHealthy and LieIdle make the hint endpoints lie.
	LieHealthy bool `json:"lieHealthy"`
	LieIdle    bool `json:"lieIdle"`
	// Broken is a kind of broken answer; see the Broken constants.
	Broken string `json:"broken"`
}

// Kinds of broken answers.
const (
	BrokenShort = "short" // fewer bytes than announced
	BrokenHuge  = "huge"  // far more than any limit
	BrokenEmpty = "empty" // the connection closes without an answer
)

// SetFaults puts the faults in force.
func (s *Server) SetFaults(f TargetFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen && !f.Frozen {
		close(s.thawed)
		s.thawed = make(chan struct{})
	}
	s.faults = f
}

func (s *Server) current() (TargetFaults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.thawed
}

// stall holds a call while the target is frozen. It returns false if the life
// ended or the caller left.
func (s *Server) stall(ctx context.Context, life *targetLife) bool {
	for {
		f, thawed := s.current()
		if !f.Frozen {
			return true
		}
		select {
		case <-thawed:
		case <-life.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// crashFor is how long a crashed target is away.
const crashFor = 500 * time.Millisecond

func (s *Server) crash() {
	s.Kill()
	time.AfterFunc(crashFor, func() { _ = s.Restart() })
}
