package dispatch

import (
	"context"
	"sync"
	"time"

	"hemlockquay/internal/decide/quarantine"
	"hemlockquay/internal/wire"
)

// crashGossip is one round with all other dispatchers: a notice, or the question for a
// permit.
type crashGossip struct {
	notice quarantine.Case
	// pool is set where a permit is asked for, asked is when it was wanted.
	pool  string
	asked time.Duration
}

// enqueue queues a round. A round that finds no room is lost like a message: a permit
// is asked for again, and a notice goes along with the next permit. The caller
// holds mu.
func (w *crashWatch) enqueue(g crashGossip) {
	if w.gossip.Push(context.Background(), g) == nil {
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
func (w *crashWatch) Permit(args *PermitArgs, reply *PermitReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.merge(args.Case, now)
	if args.Pool != "" {
		reply.Granted = w.watch.MayPermit(args.Case.Fingerprint, args.Pool, args.From, now)
	}
	reply.Case = w.watch.Case(args.Case.Fingerprint, now)
	return nil
}

// Cases implements the RPC for dispatchers that have just started.
func (w *crashWatch) Cases(_ *wire.Empty, reply *CaseList) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply.Cases = w.watch.Cases(w.clock.Now())
	return nil
}

func (w *crashWatch) merge(c quarantine.Case, now time.Duration) {
	if len(c.Deaths) == 0 {
		return
	}
	w.watch.MergeCase(c, now)
	merged := w.watch.Case(c.Fingerprint, now)
	w.noteQuarantine(&merged)
}

// run is the duty that talks to the other dispatchers.
func (w *crashWatch) run(ctx context.Context) {
	tick := time.NewTicker(catchUpEvery)
	defer tick.Stop()
	changed := w.feed.Changed()
	began := w.clock.Now()
	join := func() {
		if w.join(ctx, w.clock.Now()-began) {
			tick.Stop()
			changed = nil
		}
	}
	for {
		select {
		case g := <-w.gossip.Entries():
			w.round(ctx, g)
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

// join fetches what the others know and then lets requests come. It returns true
// once one of them answered.
// A dispatcher that does not know the quarantines would run what the others refuse, so entries get its
// address only once it is ready. A first view that names no other dispatcher leaves nothing to fetch; a
// silent one delays the start by catchUpFor at most.
func (w *crashWatch) join(ctx context.Context, waited time.Duration) bool {
	if w.feed.Current().Source == "" {
		return false
	}
	fetched := w.catchUp(ctx)
	if fetched || len(w.others()) == 0 || waited >= catchUpFor {
		w.ready()
	}
	return fetched
}

func (w *crashWatch) others() []wire.Member {
	var out []wire.Member
	for _, m := range w.feed.Current().Members {
		if m.VM != w.vm && m.DispatchAddr != "" {
			out = append(out, m)
		}
	}
	return out
}

// round queries or notifies all other dispatchers at once. A permit needs the consent of
// each that counts as a member: one that does not answer may be running the
// suspect.
func (w *crashWatch) round(ctx context.Context, g crashGossip) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	others := w.others()
	replies := make([]PermitReply, len(others))
	args := &PermitArgs{From: w.vm, Pool: g.pool, Case: g.notice}
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
	w.conclude(g, replies)
}

func (w *crashWatch) conclude(g crashGossip, replies []PermitReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.concluded++
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
	w.watch.PermitDecided(g.notice.Fingerprint, g.asked, granted, now)
	if granted {
		w.counts.permits.Inc(1)
		return
	}
	w.counts.denied.Inc(1)
}

// catchUp fetches the cases that others know. It returns true once one answered.
func (w *crashWatch) catchUp(ctx context.Context) bool {
	for _, m := range w.others() {
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
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
