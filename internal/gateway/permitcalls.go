package gateway

import (
	"sync"
	"time"
)

// holderGoneFor is how long a VM that left a call unanswered is passed over, and holderLiveFor how long one that
// answered is taken for live.
const (
	holderGoneFor = time.Second
	holderLiveFor = 250 * time.Millisecond
)

// permitCalls remembers which VMs have answered calls about permits or places. It is safe for concurrent use.
type permitCalls struct {
	mu               sync.Mutex
	answered, failed map[string]time.Duration
}

func newPermitCalls() *permitCalls {
	return &permitCalls{answered: make(map[string]time.Duration), failed: make(map[string]time.Duration)}
}

func (p *permitCalls) record(vm string, answered bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answered, vm)
	delete(p.failed, vm)
	if answered {
		p.answered[vm] = now
	} else {
		p.failed[vm] = now
	}
}

func (p *permitCalls) answeredLately(vm string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, known := p.answered[vm]
	return known && now-at < holderLiveFor
}

func (p *permitCalls) failedLately(vm string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, known := p.failed[vm]
	return known && now-at < holderGoneFor
}
