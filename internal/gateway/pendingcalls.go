package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hemlockquay/internal/model"
)

// pendingCalls are the calls to the store that have no answer yet. It is safe for concurrent use.
type pendingCalls struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]pendingCall
}

// pendingCall is one call to the store without an answer.
type pendingCall struct {
	Operation string     `json:"operation"`
	Kind      model.Kind `json:"kind"`
	// AgeMs is the time since the call was sent, in milliseconds.
	AgeMs int64 `json:"ageMs"`

	sent time.Duration
}

func newPendingCalls() *pendingCalls { return &pendingCalls{calls: make(map[uint64]pendingCall)} }

// add adds a call that was sent at a time. The returned function removes it.
func (p *pendingCalls) add(operation string, kind model.Kind, sent time.Duration) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.next
	p.next++
	p.calls[id] = pendingCall{Operation: operation, Kind: kind, sent: sent}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calls, id)
	}
}

// list returns the pending calls with their ages, oldest first.
func (p *pendingCalls) list(now time.Duration) []pendingCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]pendingCall, 0, len(p.calls))
	for _, c := range p.calls {
		c.AgeMs = (now - c.sent).Milliseconds()
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b pendingCall) int { return cmp.Compare(a.sent, b.sent) })
	return out
}

// oldest returns the age of the oldest pending call, or 0 if there is none.
func (p *pendingCalls) oldest(now time.Duration) time.Duration {
	if calls := p.list(now); len(calls) > 0 {
		return now - calls[0].sent
	}
	return 0
}
