package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Exchange is a request at a target and what the response said.
type Exchange struct {
	// ID is the id of the request, From the host that sent it.
	ID, From string
	// Born is when the incarnation of the target started that got the request, in Unix milliseconds.
	Born    int64
	Arrived time.Time
	// Leaving reports whether the response said that the target leaves, Rest the rest that it asked for.
	Leaving bool
	Rest    time.Duration
}

// Born returns when the present incarnation of the target started, in Unix milliseconds.
func (t *Target) Born() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAt
}

// Refusals says which part of the requests a target refuses, and for how long it then wants none from the VM.
type Refusals struct {
	Share float64
	Rest  time.Duration
}

// signals is what a target says of itself in its responses. It is guarded by Target.mu.
type signals struct {
	leaving  bool
	refusals Refusals
	// endless is the share of requests that are answered with bytes that do not end.
	endless float64
}

// SetLeaving sets the Server-Leaving header in all responses of the target until it starts again.
func (t *Target) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.signals.leaving = true
}

// SetRefusals makes the target refuse requests, or ends that.
func (t *Target) SetRefusals(r Refusals, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.signals.refusals = Refusals{}
	if on {
		t.signals.refusals = r
	}
}

// SetEndless makes the target answer a share of the requests without end.
func (t *Target) SetEndless(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.signals.endless = share
}

// Restart starts a new incarnation of a target that was killed. It knows nothing of the last one.
func (t *Target) Restart(s *Store) error {
	t.mu.Lock()
	t.signals, t.draining, t.seq = signals{}, false, 0
	t.fences, t.heldUntil = [1 << 16]uint64{}, [1 << 16]time.Time{}
	t.mu.Unlock()
	if err := t.Start(s); err != nil {
		return fmt.Errorf("restart: %w", errors.Join(err))
	}
	return nil
}

// setLeavingHeader sets the Server-Leaving header if the target leaves, and reports whether it does.
func (t *Target) setLeavingHeader(h http.Header) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.signals.leaving {
		h.Set("Server-Leaving", "1")
	}
	return t.signals.leaving
}

// refuse refuses a request if it belongs to the part that is refused, and reports whether it did.
func (t *Target) refuse(w http.ResponseWriter) (rest time.Duration, refused bool) {
	t.mu.Lock()
	r := t.signals.refusals
	t.mu.Unlock()
	if r.Share == 0 || rand.Float64() >= r.Share {
		return 0, false
	}
	if r.Rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.Rest.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return r.Rest, true
}

// endlessBlock is what an endless response repeats, maxEndless when it gives up.
var endlessBlock = make([]byte, 64<<10)

const maxEndless = 1 << 30

// answerEndlessly sends a body until the connection ends, if the request belongs to the part for which it does. The
// request counts as run.
func (t *Target) answerEndlessly(w http.ResponseWriter) bool {
	t.mu.Lock()
	share := t.signals.endless
	t.mu.Unlock()
	if share == 0 || rand.Float64() >= share {
		return false
	}
	w.Header().Set(Headers.Stamp, t.ID)
	for sent := 0; sent < maxEndless; sent += len(endlessBlock) {
		if _, err := w.Write(endlessBlock); err != nil {
			break
		}
	}
	panic(http.ErrAbortHandler)
}
