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
	// hintEvery is how often targets of a queue in use are asked. A target
	// that leaves is to get no new work after 3 s, also where it does not
	// refuse it.
	hintEvery = time.Second
	// hintTimeout bounds the question.
	hintTimeout = 500 * time.Millisecond
	// hintWhile is how long after its last request a queue counts as in use.
	hintWhile = 10 * time.Second
	// goneTimeout bounds the question whether a target died. Its caller waits
	// meanwhile; a target that lives answers in milliseconds.
	goneTimeout = 100 * time.Millisecond
	// hintsAtOnce bounds the questions on their way.
	hintsAtOnce = 16
)

// watch asks the targets of the queue for hints while it is in use.
func (q *queue) watch(ctx context.Context) {
	every := time.NewTicker(hintEvery)
	defer every.Stop()
	for {
		select {
		case now := <-every.C:
			if now.UnixNano()-q.active.Load() < int64(hintWhile) {
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
	room := make(chan struct{}, hintsAtOnce)
	for _, t := range s.Targets {
		if q.id.Target != "" && t.Name != q.id.Target {
			continue
		}
		room <- struct{}{}
		probes.Go(func() {
			defer func() { <-room }()
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

// learn takes hints over. They never make a target more attractive than its
// measured answers; see package balance.
func (q *queue) learn(hints []hint, now time.Time) {
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

// gone reports whether the target behind a broken connection died: nothing listens
// at its address, or another incarnation does.
// A broken connection alone is no death: all that runs there would become suspect.
func (q *queue) gone(addr, incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
	defer cancel()
	h, err := q.prober.Health(ctx, addr)
	if err != nil {
		return errors.Is(err, target.ErrUnsent)
	}
	return incarnation != "" && h.Incarnation != incarnation
}
