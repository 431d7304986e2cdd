package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"hemlockquay/internal/decide/idempotency"
	"hemlockquay/internal/wire"
)

// Claim votes on another coordinator's claim.
func (t *intents) Claim(args *ClaimArgs, vote *idempotency.Vote) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	*vote = t.book.Claim(args.Record, args.By, t.clock.Now())
	return nil
}

// Settle records the end of a request.
func (t *intents) Settle(r *idempotency.Record, _ *wire.Empty) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Settle(*r, t.clock.Now())
	return nil
}

// Release forgets a claim whose request was not run.
func (t *intents) Release(r *idempotency.Record, _ *wire.Empty) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Release(r.Key, r.Claim.ID)
	return nil
}

// Await waits for the end of a claim of this dispatcher.
func (t *intents) Await(args *wire.AwaitArgs, reply *wire.AwaitReply) error {
	t.mu.Lock()
	claim := t.mine[args.Claim]
	t.mu.Unlock()
	if claim == nil {
		return nil
	}
	reply.Known = true
	patience := time.NewTimer(args.Wait)
	defer patience.Stop()
	select {
	case <-claim.ended:
		reply.Answer, reply.Released = claim.answer, claim.released
	case <-patience.C:
	}
	return nil
}

// CopyArgs names the dispatcher that asks for its records.
type CopyArgs struct{ VM string }

// CopyIntents gives the records of which the asking VM is a holder.
func (t *intents) CopyIntents(args *CopyArgs, reply *idempotency.Copy) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	*reply = t.book.CopyFor(args.VM, t.clock.Now())
	return nil
}

// HandoffArgs hands over the records of a dispatcher that leaves.
type HandoffArgs struct {
	VM      string
	Records idempotency.Copy
}

// Handoff takes over the records of a dispatcher that leaves.
func (t *intents) Handoff(args *HandoffArgs, _ *wire.Empty) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Handoff(args.VM, args.Records, t.clock.Now())
	t.journal.Add(stepIntent, "took over the records of a dispatcher that leaves", args.VM)
	return nil
}

// leave hands the records over in a planned stop. One that does not arrive makes
// the stop count like a loss at the VM that it was for.
func (t *intents) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	t.mu.Lock()
	args := &HandoffArgs{VM: t.vm, Records: t.book.Leave(t.clock.Now())}
	t.mu.Unlock()
	var calls sync.WaitGroup
	for _, m := range t.feed.Current().Members {
		if m.VM == t.vm || m.DispatchAddr == "" {
			continue
		}
		calls.Go(func() {
			if err := t.peers.Get(m.DispatchAddr).Call(ctx, wire.MethodHandoff, args, &wire.Empty{}); err != nil {
				t.log.Debug().Err(err).Str("step", stepIntent).Str("peer", m.VM).Msg("records not handed over")
			}
		})
	}
	calls.Wait()
}

// keep is the duty that follows the list of VMs and fetches missing records.
func (t *intents) keep(ctx context.Context) {
	tick := time.NewTicker(syncEvery)
	defer tick.Stop()
	swept := t.clock.Now()
	for {
		for _, m := range t.toCopy() {
			t.copyFrom(ctx, m)
		}
		if now := t.clock.Now(); now-swept > sweepIntents {
			swept = now
			t.sweep(now)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// toCopy returns the members whose records are to be asked for now.
func (t *intents) toCopy() []wire.Member {
	v := t.feed.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	before := t.book.Places()
	t.book.SetPlaces(v.Listed, now)
	if !slices.Equal(before, t.book.Places()) {
		clear(t.tried)
		t.journal.Add(stepIntent, "holders of intents follow a new list of VMs", t.vm)
	}
	var out []wire.Member
	for _, vm := range t.book.Missing() {
		for _, m := range v.Members {
			if m.VM == vm && m.DispatchAddr != "" && (t.tried[vm] == 0 || now-t.tried[vm] > resyncEvery) {
				out = append(out, m)
			}
		}
	}
	return out
}

func (t *intents) copyFrom(ctx context.Context, m wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var reply idempotency.Copy
	if err := t.peers.Get(m.DispatchAddr).Call(ctx, wire.MethodCopy, &CopyArgs{VM: t.vm}, &reply); err != nil {
		t.log.Debug().Err(err).Str("step", stepIntent).Str("peer", m.VM).Msg("no copy of records")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.book.MergeCopy(m.VM, reply, now)
	if slices.Equal(reply.Places, t.book.Places()) {
		t.tried[m.VM] = now
	}
}

func (t *intents) sweep(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.Expire(now)
	for id, claim := range t.mine {
		if claim.endedAt != 0 && now-claim.endedAt > idempotency.Retention {
			delete(t.mine, id)
		}
	}
}

// intentState is the section of the dump.
type intentState struct {
	Records int      `json:"records"`
	Bytes   int      `json:"answerBytes"`
	Claims  int      `json:"claims"`
	Forgot  bool     `json:"forgot"`
	Missing []string `json:"missing"`
}

func (t *intents) dump() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	records, bytes := t.book.Size()
	return intentState{Records: records, Bytes: bytes, Claims: len(t.mine), Forgot: t.book.Forgot(t.clock.Now()), Missing: t.book.Missing()}
}
