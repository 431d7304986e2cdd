package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlockquay/internal/target"
)

// hint is what a target said of itself.
type hint struct {
	target string
	health target.Health
	load   target.Load
}

const (
	// hintInterval is how often targets of a queue in use are asked. A target
	// that leaves is to get no new work after 3 s, also where it does not
	// refuse it.
	hintInterval = time.Second
	// hintTimeout bounds the question.
	hintTimeout = 500 * time.Millisecond
	// hintActivePeriod is how long after its last request a queue counts as in use.
	hintActivePeriod = 10 * time.Second
	// deathCheckTimeout bounds the question whether a target died. Its caller waits
	// meanwhile; a target that lives answers in milliseconds.
	deathCheckTimeout = 100 * time.Millisecond
	// maxConcurrentHints bounds the questions on their way.
	maxConcurrentHints = 16
)

// pollHints asks the targets of the queue for hints while it is in use.
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
	semaphore := make(chan struct{}, maxConcurrentHints)
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

// applyHints takes hints over. They never make a target more attractive than its
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
			text := "says that it leaves: no new work while others serve"
			if !h.health.Leaving {
				text = "says that it stays: takes part again"
				t.measured.Returned()
			}
			q.journal.Add("hint", text, q.id.String(), h.target)
		}
	}
}

// targetDied reports whether the target behind a broken connection died: nothing listens
// at its address, or another incarnation does.
// A broken connection alone is no death: all that runs there would become suspect.
func (q *queue) targetDied(addr, incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deathCheckTimeout)
	defer cancel()
	h, err := q.prober.Health(ctx, addr)
	if err != nil {
		return errors.Is(err, target.ErrUnsent)
	}
	return incarnation != "" && h.Incarnation != incarnation
}
