package dispatch

import (
	"context"
	"sync"
	"time"

	"hemlockquay/internal/decide/quarantine"
	"hemlockquay/internal/wire"
)

// quarantineMessage is one round with all other dispatchers: a notice, or the question for a
// permit.
type quarantineMessage struct {
	crashCase quarantine.Case
	// pool is set where a permit is asked for, asked is when it was wanted.
	pool        string
	requestedAt time.Duration
}

// enqueue queues a round. A round that finds no room is lost like a message: a permit
// is asked for again, and a notice goes along with the next permit. The caller
// holds mu.
func (w *crashWatcher) enqueue(g quarantineMessage) {
	if w.outbox.Push(context.Background(), g) == nil {
		w.queued++
	}
}

// PermitArgs requests the consent of another dispatcher to the run of a suspect, or reports
// a case where Pool is "".
type PermitArgs struct {
	From string
	Pool string
	Case quarantine.Case
}

// PermitReply answers PermitArgs with what the other knows.
type PermitReply struct {
	Granted bool
	Case    quarantine.Case
}

// CaseList is all cases of a dispatcher.
type CaseList struct{ Cases []quarantine.Case }

// Permit implements the RPC for other dispatchers.
func (w *crashWatcher) Permit(args *PermitArgs, reply *PermitReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.merge(args.Case, now)
	if args.Pool != "" {
		reply.Granted = w.tracker.MayPermit(args.Case.Fingerprint, args.Pool, args.From, now)
	}
	reply.Case = w.tracker.Case(args.Case.Fingerprint, now)
	return nil
}

// Cases implements the RPC for dispatchers that have just started.
func (w *crashWatcher) Cases(_ *wire.Empty, reply *CaseList) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply.Cases = w.tracker.Cases(w.clock.Now())
	return nil
}

func (w *crashWatcher) merge(c quarantine.Case, now time.Duration) {
	if len(c.Deaths) == 0 {
		return
	}
	w.tracker.MergeCase(c, now)
	merged := w.tracker.Case(c.Fingerprint, now)
	w.journalQuarantine(&merged)
}

// run is the duty that talks to the other dispatchers.
func (w *crashWatcher) run(ctx context.Context) {
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	changed := w.feed.Changed()
	start := w.clock.Now()
	join := func() {
		if w.prepareReady(ctx, w.clock.Now()-start) {
			tick.Stop()
			changed = nil
		}
	}
	for {
		select {
		case g := <-w.outbox.Entries():
			w.broadcast(ctx, g)
		case <-changed:
			changed = w.feed.Changed()
			join()
		case <-tick.C:
			join()
		case <-ctx.Done():
			return
		}
	}
}

// prepareReady fetches what the others know and then lets requests come. It returns true
// once one of them answered.
// A dispatcher that does not know the quarantines would run what the others refuse, so entries get its
// address only once it is ready. A first view that names no other dispatcher leaves nothing to fetch; a
// silent one delays the start by catchUpFor at most.
func (w *crashWatcher) prepareReady(ctx context.Context, waited time.Duration) bool {
	if w.feed.Current().Source == "" {
		return false
	}
	fetched := w.fetchCases(ctx)
	if fetched || len(w.otherDispatchers()) == 0 || waited >= maxReadyDelay {
		w.ready()
	}
	return fetched
}

func (w *crashWatcher) otherDispatchers() []wire.Member {
	var out []wire.Member
	for _, m := range w.feed.Current().Members {
		if m.VM != w.vm && m.DispatchAddr != "" {
			out = append(out, m)
		}
	}
	return out
}

// broadcast queries or notifies all other dispatchers at once. A permit needs the consent of
// each that counts as a member: one that does not answer may be running the
// suspect.
func (w *crashWatcher) broadcast(ctx context.Context, g quarantineMessage) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	others := w.otherDispatchers()
	replies := make([]PermitReply, len(others))
	args := &PermitArgs{From: w.vm, Pool: g.pool, Case: g.crashCase}
	var calls sync.WaitGroup
	for i, m := range others {
		calls.Go(func() {
			var reply PermitReply
			if err := w.peers.Get(m.DispatchAddr).Call(ctx, wire.MethodPermit, args, &reply); err != nil {
				w.log.Debug().Err(err).Str("step", stepQuarantine).Str("peer", m.VM).Msg("no answer")
				return
			}
			replies[i] = reply
		})
	}
	calls.Wait()
	w.handleReplies(g, replies)
}

func (w *crashWatcher) handleReplies(g quarantineMessage, replies []PermitReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed++
	close(w.progress)
	w.progress = make(chan struct{})
	now := w.clock.Now()
	granted := true
	for _, r := range replies {
		w.merge(r.Case, now)
		granted = granted && r.Granted
	}
	if g.pool == "" {
		return
	}
	w.tracker.PermitDecided(g.crashCase.Fingerprint, g.requestedAt, granted, now)
	if granted {
		w.counters.permits.Inc(1)
		return
	}
	w.counters.denied.Inc(1)
}

// fetchCases fetches the cases that others know. It returns true once one answered.
func (w *crashWatcher) fetchCases(ctx context.Context) bool {
	for _, m := range w.otherDispatchers() {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		var list CaseList
		err := w.peers.Get(m.DispatchAddr).Call(callCtx, wire.MethodCases, &wire.Empty{}, &list)
		cancel()
		if err != nil {
			continue
		}
		w.mu.Lock()
		for _, c := range list.Cases {
			w.merge(c, w.clock.Now())
		}
		w.mu.Unlock()
		return true
	}
	return false
}
