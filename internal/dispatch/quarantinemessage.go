package dispatch

import (
	"context"
	"sync"
	"time"

	"hemlockquay/internal/decide/quarantine"
	"hemlockquay/internal/wire"
)

// quarantineMessage is a message to all other dispatchers: a notice of a case, or a request
// for the permit to run a suspect.
type quarantineMessage struct {
	crashCase quarantine.Case
	// pool is the pool for which a permit is requested, "" for a notice; requestedAt
	// is the time of the request.
	pool        string
	requestedAt time.Duration
}

// enqueue puts a message into outbox. If outbox is full, the message is dropped, which has
// the same effect as its loss on the network: a permit is requested again, and a case is
// sent again with the next permit request. The caller must hold mu.
func (w *crashWatcher) enqueue(g quarantineMessage) {
	if w.outbox.Push(context.Background(), g) == nil {
		w.queued++
	}
}

// PermitArgs asks another dispatcher to permit the run of a suspect. If Pool is "", it only
// reports a case.
type PermitArgs struct {
	From string
	Pool string
	Case quarantine.Case
}

// PermitReply is the reply to PermitArgs, with the case as the other dispatcher knows it.
type PermitReply struct {
	Granted bool
	Case    quarantine.Case
}

// CaseList holds all cases of a dispatcher.
type CaseList struct{ Cases []quarantine.Case }

// Permit implements the RPC with which other dispatchers report cases and request permits.
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

// Cases implements the RPC with which a dispatcher that has just started fetches the cases.
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

// run sends the messages in outbox and fetches the cases of the other dispatchers, until the
// context ends.
func (w *crashWatcher) run(ctx context.Context) {
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	changed := w.feed.Changed()
	start := w.clock.Now()
	prepare := func() {
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
			prepare()
		case <-tick.C:
			prepare()
		case <-ctx.Done():
			return
		}
	}
}

// prepareReady fetches the cases of the other dispatchers and then reports this one as ready.
// It returns whether one of the others answered.
// A dispatcher that does not know the quarantines would run requests that the others refuse,
// so entries get its address only once it is ready. If the view lists no other dispatcher,
// there is nothing to fetch. Dispatchers that do not answer delay the start by maxReadyDelay
// at most.
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

// broadcast sends a message to all other dispatchers at once. A permit must be granted by
// every dispatcher that is a member, since one that does not answer may be running the
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
				w.log.Debug().Err(err).Str("step", stepQuarantine).Str("peer", m.VM).Msg("dispatcher did not answer")
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

// fetchCases fetches the cases from the first other dispatcher that answers, and returns
// whether one did.
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
