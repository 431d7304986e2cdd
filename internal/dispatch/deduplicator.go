package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/idempotency"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/wire"
)

// stepIntent is the step of what concerns an Idempotency-Key.
const stepIntent = "intent"

// Times of the protocol between coordinators and holders.
const (
	// claimTimeout bounds one round of claims; data centres are 1 to 2 ms apart.
	claimTimeout = 300 * time.Millisecond
	// settleTimeout bounds the wait for holders to store an answer.
	settleTimeout = 100 * time.Millisecond
	// claimRetryDelay is the pause before claims are made again, while lists of VMs
	// differ or copies are on their way; both take less than doubtPatience.
	claimRetryDelay   = 100 * time.Millisecond
	claimRetryTimeout = time.Second
	// syncInterval is how often missing records are asked for, resyncEvery where
	// the VM answered but had forgotten its own.
	syncInterval   = 250 * time.Millisecond
	resyncInterval = 5 * time.Second
	// handoffTimeout bounds the handing over of records in a planned stop; all
	// records with their answers are 90 MB at most.
	handoffTimeout = 2 * time.Second
	// sweepInterval is how often old records are dropped.
	sweepInterval = 10 * time.Second
)

// maxKeptAnswer bounds the body of an answer that is kept for repeats.
const maxKeptAnswer = 256 << 10

// deduplicator runs requests with an Idempotency-Key at most once: as coordinator of
// those that came here and as holder of records. It is safe for concurrent use.
//
// Lock order: mu is held for no call to another process.
type deduplicator struct {
	vm          string
	incarnation int64
	clock       boottime.Clock
	feed        viewSource
	peers       *peer.Pool
	log         *log.Logger
	// journal records takeovers and doubts.
	journal  *journal.Journal
	counters dedupCounters

	mu      sync.Mutex
	records *idempotency.RecordStore
	// claims are the claims that this dispatcher coordinates or has ended.
	claims map[string]*localClaim
	seq    uint64
	// copiedAt is when a VM's records were last asked for.
	copiedAt map[string]time.Duration
}

// localClaim is a claim of this dispatcher; ended is closed with its outcome set.
type localClaim struct {
	ended    chan struct{}
	answer   *wire.Answer
	released bool
	endedAt  time.Duration
}

type dedupCounters struct{ run, repeated, doubted, released metrics.Counter }

func newDeduplicator(vm string, f viewSource, j *journal.Journal, logger *log.Logger, registry metrics.Registry) *deduplicator {
	clock := boottime.System{}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("intent."+name, registry) }
	return &deduplicator{
		vm: vm, incarnation: time.Now().UnixNano(), clock: clock, feed: f, peers: peer.NewPool(2), log: logger, journal: j,
		counters: dedupCounters{counter("run"), counter("repeated"), counter("doubted"), counter("released")},
		records:  idempotency.NewRecordStore(vm, clock.Now()),
		claims:   make(map[string]*localClaim),
		copiedAt: make(map[string]time.Duration),
	}
}

// runOnce answers a request with an Idempotency-Key: by running it, or by the first
// answer, or by a problem that says whether it ran.
func (d *deduplicator) runOnce(ctx context.Context, r *wire.Request, run func(*wire.Request) wire.Answer) wire.Answer {
	deadline := time.Now().Add(r.Budget)
	retryUntil := time.Now().Add(min(r.Budget, claimRetryTimeout))
	for {
		answer, retryable := d.tryRun(ctx, r, deadline, run)
		if !retryable {
			return answer
		}
		if ctx.Err() != nil || time.Now().Add(claimRetryDelay).After(retryUntil) {
			d.counters.doubted.Inc(1)
			return answer
		}
		time.Sleep(claimRetryDelay)
	}
}

// tryRun makes one claim and acts on the vote. again says that the problem in the
// answer may pass.
func (d *deduplicator) tryRun(ctx context.Context, r *wire.Request, deadline time.Time, run func(*wire.Request) wire.Answer) (answer wire.Answer, retryable bool) {
	key := idempotency.Key{Customer: r.Customer, Service: r.Service, Name: r.IdempotencyKey}
	record, holders, claim := d.newClaim(key, idempotencyFingerprint(r))
	action, existing := d.claim(ctx, record, holders)
	if action == idempotency.Run {
		return d.run(ctx, r, deadline, record, holders, claim, run), false
	}
	d.release(ctx, record, holders, claim)
	switch action {
	case idempotency.Follow:
		return d.follow(ctx, r, deadline, existing, holders)
	case idempotency.Mismatched:
		return refuseFinally(r, problem.Refuse(problem.BadRequest, stepIntent, d.vm, "the Idempotency-Key was used for a different request"))
	case idempotency.Refuse:
		return refuseFinally(r, problem.Refuse(problem.Full, stepIntent, d.vm, "no room for a record of the request").After(time.Second))
	}
	p := problem.Lost(problem.AnswerLost, stepIntent, d.vm, "a record of an earlier run may be lost; this attempt was not sent")
	return wire.Refused(r.ID, p.After(time.Second)), true
}

func refuseFinally(r *wire.Request, p *problem.Error) (wire.Answer, bool) {
	return wire.Refused(r.ID, p), false
}

func (d *deduplicator) newClaim(key idempotency.Key, fingerprint uint64) (idempotency.Record, []string, *localClaim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	id := fmt.Sprintf("%s-%d-%d", d.vm, d.incarnation, d.seq)
	claim := &localClaim{ended: make(chan struct{})}
	d.claims[id] = claim
	record := idempotency.Record{Key: key, Fingerprint: fingerprint, Claim: idempotency.Claim{ID: id, Coordinator: d.vm, Life: d.incarnation}}
	return record, idempotency.Holders(d.records.Places(), key), claim
}

// ClaimArgs asks a holder to record a claim. By are the holders in the eyes of
// the coordinator.
type ClaimArgs struct {
	Record idempotency.Record
	By     []string
}

// claim asks all holders at once and stops at the first votes that decide.
func (d *deduplicator) claim(ctx context.Context, record idempotency.Record, holders []string) (idempotency.Action, *idempotency.Record) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	args := &ClaimArgs{Record: record, By: holders}
	votes := make(chan idempotency.Vote, len(holders))
	var calls sync.WaitGroup
	for _, vm := range holders {
		calls.Go(func() {
			var vote idempotency.Vote
			if err := d.callHolder(ctx, vm, wire.MethodClaim, args, &vote); err != nil {
				d.log.Debug().Err(err).Str("step", stepIntent).Str("peer", vm).Msg("no vote")
			}
			votes <- vote
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	var received []idempotency.Vote
	for len(received) < len(holders) {
		received = append(received, <-votes)
		if action, existing := idempotency.Decide(received, len(holders), len(received) == len(holders)); action != idempotency.Wait {
			return action, existing
		}
	}
	return idempotency.Decide(received, len(holders), true)
}

// callHolder calls a holder, or this dispatcher's own book.
func (d *deduplicator) callHolder(ctx context.Context, vm, method string, args, reply any) error {
	if vm == d.vm {
		return d.callLocal(method, args, reply)
	}
	for _, m := range d.feed.Current().Members {
		if m.VM == vm && m.DispatchAddr != "" {
			return d.peers.Get(m.DispatchAddr).Call(ctx, method, args, reply)
		}
	}
	return fmt.Errorf("%s at %s: %w", method, vm, peer.ErrNotSent)
}

func (d *deduplicator) callLocal(method string, args, reply any) error {
	switch method {
	case wire.MethodClaim:
		return d.Claim(args.(*ClaimArgs), reply.(*idempotency.Vote))
	case wire.MethodSettle:
		return d.Settle(args.(*idempotency.Record), reply.(*wire.Empty))
	case wire.MethodRelease:
		return d.Release(args.(*idempotency.Record), reply.(*wire.Empty))
	}
	return d.Await(args.(*wire.AwaitArgs), reply.(*wire.AwaitReply))
}

// replicate sends a record to all holders and waits until a quorum has it.
func (d *deduplicator) replicate(ctx context.Context, method string, record *idempotency.Record, holders []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	done := make(chan error, len(holders))
	var calls sync.WaitGroup
	for _, vm := range holders {
		calls.Go(func() { done <- d.callHolder(ctx, vm, method, record, &wire.Empty{}) })
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	timeout := time.NewTimer(settleTimeout)
	defer timeout.Stop()
	for range idempotency.Quorum(len(holders)) {
		select {
		case <-done:
		case <-timeout.C:
			return
		}
	}
}

func (d *deduplicator) run(ctx context.Context, r *wire.Request, deadline time.Time, record idempotency.Record, holders []string, claim *localClaim, run func(*wire.Request) wire.Answer) wire.Answer {
	sent := *r
	sent.Budget = time.Until(deadline)
	answer := run(&sent)
	if p := answer.Problem; p != nil && p.Ran == problem.RanNo {
		d.release(ctx, record, holders, claim)
		return answer
	}
	d.counters.run.Inc(1)
	record.Done, record.Answer = true, &answer
	if len(answer.Body) > maxKeptAnswer {
		record.Answer = nil
	}
	d.endClaim(claim, &answer, false)
	d.replicate(ctx, wire.MethodSettle, &record, holders)
	return answer
}

// release ends a claim whose request surely was not run here, so that the caller
// can try again.
func (d *deduplicator) release(ctx context.Context, record idempotency.Record, holders []string, claim *localClaim) {
	d.counters.released.Inc(1)
	d.endClaim(claim, nil, true)
	d.replicate(ctx, wire.MethodRelease, &record, holders)
}

func (d *deduplicator) endClaim(claim *localClaim, answer *wire.Answer, released bool) {
	d.mu.Lock()
	claim.answer, claim.released, claim.endedAt = answer, released, d.clock.Now()
	d.mu.Unlock()
	close(claim.ended)
}

// follow answers a repeat from the record of the first request.
func (d *deduplicator) follow(ctx context.Context, r *wire.Request, deadline time.Time, record *idempotency.Record, holders []string) (answer wire.Answer, retryable bool) {
	d.counters.repeated.Inc(1)
	if record.Done && record.Answer != nil {
		return answerForRepeat(r, *record.Answer), false
	}
	if record.Done {
		return refuseFinally(r, problem.Lost(problem.AnswerLost, stepIntent, d.vm, "the request ran; its answer is no longer kept"))
	}
	wait := max(time.Until(deadline), 0)
	ctx, cancel := context.WithTimeout(ctx, wait+claimTimeout)
	defer cancel()
	var reply wire.AwaitReply
	err := d.callHolder(ctx, record.Claim.Coordinator, wire.MethodAwait, &wire.AwaitArgs{Claim: record.Claim.ID, Wait: wait}, &reply)
	switch {
	case err != nil || !reply.Known:
		d.journal.Add(stepIntent, "a repeat is in doubt: its first request was at "+record.Claim.Coordinator+", which is gone", r.Customer, r.Service, r.ID)
		p := problem.Lost(problem.AnswerLost, stepIntent, record.Claim.Coordinator, "the dispatcher that had the request is gone; it may have run")
		return wire.Refused(r.ID, p), true
	case reply.Released:
		d.replicate(ctx, wire.MethodRelease, record, holders)
		p := problem.Refuse(problem.Full, stepIntent, d.vm, "the first request was not run; try again")
		return wire.Refused(r.ID, p.After(time.Second)), true
	case reply.Answer == nil:
		return refuseFinally(r, problem.Lost(problem.Deadline, stepIntent, record.Claim.Coordinator, "the first request still runs"))
	}
	return answerForRepeat(r, *reply.Answer), false
}

// answerForRepeat makes the first answer the answer of a repeat.
func answerForRepeat(r *wire.Request, first wire.Answer) wire.Answer {
	first.ID = r.ID
	return first
}
