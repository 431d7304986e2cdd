package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlockquay/internal/target"
)

// hint is what a target reports about itself.
type hint struct {
	target string
	health target.Health
	load   target.Load
}

const (
	// hintInterval is how often the targets of a queue in use are polled. A target
	// that is leaving must get no new work after 3 s, even if it does not refuse
	// any.
	hintInterval = time.Second
	// hintTimeout bounds one poll of all targets.
	hintTimeout = 500 * time.Millisecond
	// hintActivePeriod is how long a queue counts as in use after its last request.
	hintActivePeriod = 10 * time.Second
	// deathCheckTimeout bounds the check whether a target died. The caller of the
	// request waits for it; a target that is up answers in milliseconds.
	deathCheckTimeout = 100 * time.Millisecond
	// maxConcurrentPolls bounds the number of targets that are polled at once.
	maxConcurrentPolls = 16
)

// pollHints polls the targets of the queue for hints while the queue is in use.
func (q *queue) pollHints(ctx context.Context) {
	ticker := time.NewTicker(hintInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if now.UnixNano()-q.active.Load() < int64(hintActivePeriod) {
				_ = q.inbox.Push(ctx, message{hints: q.probeTargets(ctx)})
			}
		case <-ctx.Done():
			return
		}
	}
}

func (q *queue) probeTargets(ctx context.Context) []hint {
	s := q.feed.Current().Service(q.id.Service)
	if s == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	var (
		mu     sync.Mutex
		probes sync.WaitGroup
		hints  []hint
	)
	semaphore := make(chan struct{}, maxConcurrentPolls)
	for _, t := range s.Targets {
		if q.id.Target != "" && t.Name != q.id.Target {
			continue
		}
		semaphore <- struct{}{}
		probes.Go(func() {
			defer func() { <-semaphore }()
			h := hint{target: t.Name}
			var err error
			if h.health, err = q.prober.Health(ctx, t.Addr); err != nil {
				return
			}
			h.load, _ = q.prober.Load(ctx, t.Addr)
			mu.Lock()
			defer mu.Unlock()
			hints = append(hints, h)
		})
	}
	probes.Wait()
	return hints
}

// applyHints applies the hints. They never make a target more attractive than its
// measured answers; see package balance.
func (q *queue) applyHints(hints []hint, now time.Time) {
	for _, h := range hints {
		t := q.pool.find(h.target)
		if t == nil {
			continue
		}
		t.incarnation = h.health.Incarnation
		t.measured.Hint = h.load.Running
		if h.health.Leaving != t.measured.HintLeaving {
			t.measured.HintLeaving = h.health.Leaving
			text := "reports that it is leaving: gets no new work while others serve"
			if !h.health.Leaving {
				text = "reports that it is no longer leaving: gets work again"
				t.measured.Returned()
			}
			q.journal.Add("hint", text, q.id.String(), h.target)
		}
	}
}

// targetDied reports whether a target whose connection broke has ended: nothing listens
// at its address any more, or another incarnation does. A broken connection alone does
// not count, since all requests that run on the target would become suspects.
func (q *queue) targetDied(addr, incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deathCheckTimeout)
	defer cancel()
	h, err := q.prober.Health(ctx, addr)
	if err != nil {
		return errors.Is(err, target.ErrUnsent)
	}
	return incarnation != "" && h.Incarnation != incarnation
}
