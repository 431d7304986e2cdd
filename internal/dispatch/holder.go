package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"hemlockquay/internal/decide/idempotency"
	"hemlockquay/internal/wire"
)

// Claim votes, as a holder, on the claim of a coordinator.
func (d *deduplicator) Claim(args *ClaimArgs, vote *idempotency.Vote) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	*vote = d.records.Claim(args.Record, args.By, d.clock.Now())
	return nil
}

// Settle stores the outcome of a claimed request.
func (d *deduplicator) Settle(r *idempotency.Record, _ *wire.Empty) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.Settle(*r, d.clock.Now())
	return nil
}

// Release removes a claim whose request was not run.
func (d *deduplicator) Release(r *idempotency.Record, _ *wire.Empty) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.Release(r.Key, r.Claim.ID)
	return nil
}

// Await waits for the end of a claim that this dispatcher coordinates.
func (d *deduplicator) Await(args *wire.AwaitArgs, reply *wire.AwaitReply) error {
	d.mu.Lock()
	claim := d.claims[args.Claim]
	d.mu.Unlock()
	if claim == nil {
		return nil
	}
	reply.Known = true
	timeout := time.NewTimer(args.Wait)
	defer timeout.Stop()
	select {
	case <-claim.ended:
		reply.Answer, reply.Released = claim.answer, claim.released
	case <-timeout.C:
	}
	return nil
}

// CopyArgs requests a copy of the records for the dispatcher of a VM.
type CopyArgs struct{ VM string }

// CopyIntents returns the records of which the requesting VM is a holder.
func (d *deduplicator) CopyIntents(args *CopyArgs, reply *idempotency.Copy) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	*reply = d.records.CopyFor(args.VM, d.clock.Now())
	return nil
}

// HandoffArgs holds the records of a dispatcher that is shutting down.
type HandoffArgs struct {
	VM      string
	Records idempotency.Copy
}

// Handoff takes over the records of a dispatcher that is shutting down.
func (d *deduplicator) Handoff(args *HandoffArgs, _ *wire.Empty) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.Handoff(args.VM, args.Records, d.clock.Now())
	d.journal.Add(stepIntent, "took over the records of a dispatcher that is shutting down", args.VM)
	return nil
}

// handOverRecords sends the records to all other dispatchers during a planned stop. A
// dispatcher that does not receive them treats the stop like the loss of this VM.
func (d *deduplicator) handOverRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	d.mu.Lock()
	args := &HandoffArgs{VM: d.vm, Records: d.records.Leave(d.clock.Now())}
	d.mu.Unlock()
	var calls sync.WaitGroup
	for _, m := range d.feed.Current().Members {
		if m.VM == d.vm || m.DispatchAddr == "" {
			continue
		}
		calls.Go(func() {
			if err := d.peers.Get(m.DispatchAddr).Call(ctx, wire.MethodHandoff, args, &wire.Empty{}); err != nil {
				d.log.Debug().Err(err).Str("step", stepIntent).Str("peer", m.VM).Msg("handoff of records failed")
			}
		})
	}
	calls.Wait()
}

// runSync applies changes of the list of VMs, fetches missing records and removes expired
// ones, until the context ends.
func (d *deduplicator) runSync(ctx context.Context) {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	lastSweep := d.clock.Now()
	for {
		for _, m := range d.membersToCopy() {
			d.copyFrom(ctx, m)
		}
		if now := d.clock.Now(); now-lastSweep > sweepInterval {
			lastSweep = now
			d.sweep(now)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// membersToCopy applies the current list of VMs and returns the members from which records
// are to be copied now.
func (d *deduplicator) membersToCopy() []wire.Member {
	v := d.feed.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	previous := d.records.Places()
	d.records.SetPlaces(v.Listed, now)
	if !slices.Equal(previous, d.records.Places()) {
		clear(d.copiedAt)
		d.journal.Add(stepIntent, "holders of records recomputed for a new list of VMs", d.vm)
	}
	var out []wire.Member
	for _, vm := range d.records.Missing() {
		for _, m := range v.Members {
			if m.VM == vm && m.DispatchAddr != "" && (d.copiedAt[vm] == 0 || now-d.copiedAt[vm] > resyncInterval) {
				out = append(out, m)
			}
		}
	}
	return out
}

func (d *deduplicator) copyFrom(ctx context.Context, m wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var reply idempotency.Copy
	if err := d.peers.Get(m.DispatchAddr).Call(ctx, wire.MethodCopy, &CopyArgs{VM: d.vm}, &reply); err != nil {
		d.log.Debug().Err(err).Str("step", stepIntent).Str("peer", m.VM).Msg("copying records failed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.records.MergeCopy(m.VM, reply, now)
	if slices.Equal(reply.Places, d.records.Places()) {
		d.copiedAt[m.VM] = now
	}
}

func (d *deduplicator) sweep(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.Expire(now)
	for id, claim := range d.claims {
		if claim.endedAt != 0 && now-claim.endedAt > idempotency.Retention {
			delete(d.claims, id)
		}
	}
}

// dedupState is the section "intents" of the dump.
type dedupState struct {
	Records int      `json:"records"`
	Bytes   int      `json:"answerBytes"`
	Claims  int      `json:"claims"`
	Forgot  bool     `json:"forgot"`
	Missing []string `json:"missing"`
}

func (d *deduplicator) dump() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	records, bytes := d.records.Size()
	return dedupState{Records: records, Bytes: bytes, Claims: len(d.claims), Forgot: d.records.Forgot(d.clock.Now()), Missing: d.records.Missing()}
}
