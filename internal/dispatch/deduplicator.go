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

// stepIntent is the step that is named in problems, logs and journal entries about requests
// with an Idempotency-Key.
const stepIntent = "intent"

// Timeouts and intervals of the protocol between coordinators and holders.
const (
	// claimTimeout bounds the calls to all holders of a key; the latency between
	// data centres is 1 to 2 ms.
	claimTimeout = 300 * time.Millisecond
	// settleTimeout bounds the wait for holders to store an answer.
	settleTimeout = 100 * time.Millisecond
	// claimRetryDelay is the delay before a claim is repeated while the VMs have
	// different lists of VMs or are copying records. Both last less than
	// claimRetryTimeout.
	claimRetryDelay   = 100 * time.Millisecond
	claimRetryTimeout = time.Second
	// syncInterval is how often missing records are requested, resyncInterval how
	// often if the VM has answered but may have lost records itself.
	syncInterval   = 250 * time.Millisecond
	resyncInterval = 5 * time.Second
	// handoffTimeout bounds the handoff of records in a planned stop; all records
	// with their answers are 90 MB at most.
	handoffTimeout = 2 * time.Second
	// sweepInterval is how often expired records are removed.
	sweepInterval = 10 * time.Second
)

// maxKeptAnswer bounds the size of the body of an answer that is kept for repeats.
const maxKeptAnswer = 256 << 10

// deduplicator runs requests with an Idempotency-Key at most once. It is the coordinator of
// the requests that arrive here, and a holder of the records of other coordinators too. It
// is safe for concurrent use.
//
// mu is not held during calls to other processes.
type deduplicator struct {
	vm          string
	incarnation int64
	clock       boottime.Clock
	feed        viewSource
	peers       *peer.Pool
	log         *log.Logger
	// journal records handoffs, changes of holders and repeats of unknown outcome.
	journal  *journal.Journal
	counters dedupCounters

	mu      sync.Mutex
	records *idempotency.RecordStore
	// claims holds the claims of this coordinator by id, also those that ended less
	// than idempotency.Retention ago.
	claims map[string]*localClaim
	seq    uint64
	// copiedAt is when the records of a VM were last copied under the same list of
	// VMs.
	copiedAt map[string]time.Duration
}

// localClaim is a claim of this dispatcher. ended is closed once the other fields are set.
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

// runOnce answers a request with an Idempotency-Key. The answer is that of its run, or that
// of the first request with the key, or a problem that says whether the request ran.
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

// tryRun makes one claim and acts on the votes. retryable reports whether the answer is a
// problem that may be temporary.
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
		return refuseFinally(r, problem.Refuse(problem.Full, stepIntent, d.vm, "no room for a record of the request").WithRetryAfter(time.Second))
	}
	p := problem.Lost(problem.AnswerLost, stepIntent, d.vm, "a record of an earlier run may be lost; this attempt was not sent")
	return wire.ProblemAnswer(r.ID, p.WithRetryAfter(time.Second)), true
}

func refuseFinally(r *wire.Request, p *problem.Error) (wire.Answer, bool) {
	return wire.ProblemAnswer(r.ID, p), false
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

// ClaimArgs asks a holder to store a claim. By lists the holders as the coordinator computed
// them.
type ClaimArgs struct {
	Record idempotency.Record
	By     []string
}

// claim sends the claim to all holders at once, and returns as soon as the votes are
// sufficient for a decision.
func (d *deduplicator) claim(ctx context.Context, record idempotency.Record, holders []string) (idempotency.Action, *idempotency.Record) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	args := &ClaimArgs{Record: record, By: holders}
	votes := make(chan idempotency.Vote, len(holders))
	var calls sync.WaitGroup
	for _, vm := range holders {
		calls.Go(func() {
			var vote idempotency.Vote
			if err := d.callDispatcher(ctx, vm, wire.MethodClaim, args, &vote); err != nil {
				d.log.Debug().Err(err).Str("step", stepIntent).Str("peer", vm).Msg("holder did not vote")
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

// callDispatcher calls the dispatcher of a VM; for this VM it calls the method directly.
func (d *deduplicator) callDispatcher(ctx context.Context, vm, method string, args, reply any) error {
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

// replicate sends a record to all holders and waits until a quorum of the calls have ended,
// for settleTimeout at most.
func (d *deduplicator) replicate(ctx context.Context, method string, record *idempotency.Record, holders []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	done := make(chan error, len(holders))
	var calls sync.WaitGroup
	for _, vm := range holders {
		calls.Go(func() { done <- d.callDispatcher(ctx, vm, method, record, &wire.Empty{}) })
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

// release ends a claim whose request certainly was not run here, so that the caller can send
// it again with the same key.
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

// follow answers a repeat with the answer of the first request, for which it waits if
// necessary.
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
	err := d.callDispatcher(ctx, record.Claim.Coordinator, wire.MethodAwait, &wire.AwaitArgs{Claim: record.Claim.ID, Wait: wait}, &reply)
	switch {
	case err != nil || !reply.Known:
		d.journal.Add(stepIntent, "unknown whether the first request of a repeat ran: its dispatcher at "+record.Claim.Coordinator+" cannot be reached or has no record of it", r.Customer, r.Service, r.ID)
		p := problem.Lost(problem.AnswerLost, stepIntent, record.Claim.Coordinator, "the dispatcher that had the request is gone; it may have run")
		return wire.ProblemAnswer(r.ID, p), true
	case reply.Released:
		d.replicate(ctx, wire.MethodRelease, record, holders)
		p := problem.Refuse(problem.Full, stepIntent, d.vm, "the first request was not run; try again")
		return wire.ProblemAnswer(r.ID, p.WithRetryAfter(time.Second)), true
	case reply.Answer == nil:
		return refuseFinally(r, problem.Lost(problem.Deadline, stepIntent, record.Claim.Coordinator, "the first request still runs"))
	}
	return answerForRepeat(r, *reply.Answer), false
}

// answerForRepeat returns the answer of the first request as the answer to the repeat r.
func answerForRepeat(r *wire.Request, first wire.Answer) wire.Answer {
	first.ID = r.ID
	return first
}
