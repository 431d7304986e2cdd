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
	// doubtPause is the pause before claims are made again, while lists of VMs
	// differ or copies are on their way; both take less than doubtPatience.
	doubtPause    = 100 * time.Millisecond
	doubtPatience = time.Second
	// syncEvery is how often missing records are asked for, resyncEvery where
	// the VM answered but had forgotten its own.
	syncEvery   = 250 * time.Millisecond
	resyncEvery = 5 * time.Second
	// handoffTimeout bounds the handing over of records in a planned stop; all
	// records with their answers are 90 MB at most.
	handoffTimeout = 2 * time.Second
	// sweepIntents is how often old records are dropped.
	sweepIntents = 10 * time.Second
)

// maxKeptAnswer bounds the body of an answer that is kept for repeats.
const maxKeptAnswer = 256 << 10

// intents runs requests with an Idempotency-Key at most once: as coordinator of
// those that came here and as holder of records. It is safe for concurrent use.
//
// Lock order: mu is held for no call to another process.
type intents struct {
	vm    string
	life  int64
	clock boottime.Clock
	feed  viewSource
	peers *peer.Pool
	log   *log.Logger
	// journal records takeovers and doubts.
	journal *journal.Journal
	counts  intentCounts

	mu   sync.Mutex
	book *idempotency.RecordStore
	// mine are the claims that this dispatcher coordinates or has ended.
	mine map[string]*localClaim
	seq  uint64
	// tried is when a VM's records were last asked for.
	tried map[string]time.Duration
}

// localClaim is a claim of this dispatcher; ended is closed with its outcome set.
type localClaim struct {
	ended    chan struct{}
	answer   *wire.Answer
	released bool
	endedAt  time.Duration
}

type intentCounts struct{ run, repeated, doubted, released metrics.Counter }

func newIntents(vm string, f viewSource, j *journal.Journal, logger *log.Logger, registry metrics.Registry) *intents {
	clock := boottime.System{}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("intent."+name, registry) }
	return &intents{
		vm: vm, life: time.Now().UnixNano(), clock: clock, feed: f, peers: peer.NewPool(2), log: logger, journal: j,
		counts: intentCounts{counter("run"), counter("repeated"), counter("doubted"), counter("released")},
		book:   idempotency.NewRecordStore(vm, clock.Now()),
		mine:   make(map[string]*localClaim),
		tried:  make(map[string]time.Duration),
	}
}

// once answers a request with an Idempotency-Key: by running it, or by the first
// answer, or by a problem that says whether it ran.
func (t *intents) once(ctx context.Context, r *wire.Request, run func(*wire.Request) wire.Answer) wire.Answer {
	deadline := time.Now().Add(r.Budget)
	doubtUntil := time.Now().Add(min(r.Budget, doubtPatience))
	for {
		answer, again := t.try(ctx, r, deadline, run)
		if !again {
			return answer
		}
		if ctx.Err() != nil || time.Now().Add(doubtPause).After(doubtUntil) {
			t.counts.doubted.Inc(1)
			return answer
		}
		time.Sleep(doubtPause)
	}
}

// try makes one claim and acts on the vote. again says that the problem in the
// answer may pass.
func (t *intents) try(ctx context.Context, r *wire.Request, deadline time.Time, run func(*wire.Request) wire.Answer) (answer wire.Answer, again bool) {
	key := idempotency.Key{Customer: r.Customer, Service: r.Service, Name: r.IdempotencyKey}
	record, by, claim := t.open(key, intentPrint(r))
	action, other := t.claim(ctx, record, by)
	if action == idempotency.Run {
		return t.run(ctx, r, deadline, record, by, claim, run), false
	}
	t.release(ctx, record, by, claim)
	switch action {
	case idempotency.Follow:
		return t.follow(ctx, r, deadline, other, by)
	case idempotency.Mismatched:
		return refusedIntent(r, problem.Refuse(problem.BadRequest, stepIntent, t.vm, "the Idempotency-Key was used for a different request"))
	case idempotency.Refuse:
		return refusedIntent(r, problem.Refuse(problem.Full, stepIntent, t.vm, "no room for a record of the request").WithRetryAfter(time.Second))
	}
	p := problem.Lost(problem.AnswerLost, stepIntent, t.vm, "a record of an earlier run may be lost; this attempt was not sent")
	return wire.ProblemAnswer(r.ID, p.WithRetryAfter(time.Second)), true
}

func refusedIntent(r *wire.Request, p *problem.Error) (wire.Answer, bool) {
	return wire.ProblemAnswer(r.ID, p), false
}

func (t *intents) open(key idempotency.Key, print uint64) (idempotency.Record, []string, *localClaim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	id := fmt.Sprintf("%s-%d-%d", t.vm, t.life, t.seq)
	claim := &localClaim{ended: make(chan struct{})}
	t.mine[id] = claim
	record := idempotency.Record{Key: key, Fingerprint: print, Claim: idempotency.Claim{ID: id, Coordinator: t.vm, Life: t.life}}
	return record, idempotency.Holders(t.book.Places(), key), claim
}

// ClaimArgs asks a holder to record a claim. By are the holders in the eyes of
// the coordinator.
type ClaimArgs struct {
	Record idempotency.Record
	By     []string
}

// claim asks all holders at once and stops at the first votes that decide.
func (t *intents) claim(ctx context.Context, record idempotency.Record, by []string) (idempotency.Action, *idempotency.Record) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	args := &ClaimArgs{Record: record, By: by}
	votes := make(chan idempotency.Vote, len(by))
	var calls sync.WaitGroup
	for _, vm := range by {
		calls.Go(func() {
			var vote idempotency.Vote
			if err := t.callHolder(ctx, vm, wire.MethodClaim, args, &vote); err != nil {
				t.log.Debug().Err(err).Str("step", stepIntent).Str("peer", vm).Msg("no vote")
			}
			votes <- vote
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	var got []idempotency.Vote
	for len(got) < len(by) {
		got = append(got, <-votes)
		if action, other := idempotency.Decide(got, len(by), len(got) == len(by)); action != idempotency.Wait {
			return action, other
		}
	}
	return idempotency.Decide(got, len(by), true)
}

// callHolder calls a holder, or this dispatcher's own book.
func (t *intents) callHolder(ctx context.Context, vm, method string, args, reply any) error {
	if vm == t.vm {
		return t.local(method, args, reply)
	}
	for _, m := range t.feed.Current().Members {
		if m.VM == vm && m.DispatchAddr != "" {
			return t.peers.Get(m.DispatchAddr).Call(ctx, method, args, reply)
		}
	}
	return fmt.Errorf("%s at %s: %w", method, vm, peer.ErrNotSent)
}

func (t *intents) local(method string, args, reply any) error {
	switch method {
	case wire.MethodClaim:
		return t.Claim(args.(*ClaimArgs), reply.(*idempotency.Vote))
	case wire.MethodSettle:
		return t.Settle(args.(*idempotency.Record), reply.(*wire.Empty))
	case wire.MethodRelease:
		return t.Release(args.(*idempotency.Record), reply.(*wire.Empty))
	}
	return t.Await(args.(*wire.AwaitArgs), reply.(*wire.AwaitReply))
}

// replicate sends a record to all holders and waits until a quorum has it.
func (t *intents) replicate(ctx context.Context, method string, record *idempotency.Record, by []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	done := make(chan error, len(by))
	var calls sync.WaitGroup
	for _, vm := range by {
		calls.Go(func() { done <- t.callHolder(ctx, vm, method, record, &wire.Empty{}) })
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	patience := time.NewTimer(settleTimeout)
	defer patience.Stop()
	for range idempotency.Quorum(len(by)) {
		select {
		case <-done:
		case <-patience.C:
			return
		}
	}
}

func (t *intents) run(ctx context.Context, r *wire.Request, deadline time.Time, record idempotency.Record, by []string, claim *localClaim, run func(*wire.Request) wire.Answer) wire.Answer {
	sent := *r
	sent.Budget = time.Until(deadline)
	answer := run(&sent)
	if p := answer.Problem; p != nil && p.Ran == problem.RanNo {
		t.release(ctx, record, by, claim)
		return answer
	}
	t.counts.run.Inc(1)
	record.Done, record.Answer = true, &answer
	if len(answer.Body) > maxKeptAnswer {
		record.Answer = nil
	}
	t.end(claim, &answer, false)
	t.replicate(ctx, wire.MethodSettle, &record, by)
	return answer
}

// release ends a claim whose request surely was not run here, so that the caller
// can try again.
func (t *intents) release(ctx context.Context, record idempotency.Record, by []string, claim *localClaim) {
	t.counts.released.Inc(1)
	t.end(claim, nil, true)
	t.replicate(ctx, wire.MethodRelease, &record, by)
}

func (t *intents) end(claim *localClaim, answer *wire.Answer, released bool) {
	t.mu.Lock()
	claim.answer, claim.released, claim.endedAt = answer, released, t.clock.Now()
	t.mu.Unlock()
	close(claim.ended)
}

// follow answers a repeat from the record of the first request.
func (t *intents) follow(ctx context.Context, r *wire.Request, deadline time.Time, record *idempotency.Record, by []string) (answer wire.Answer, again bool) {
	t.counts.repeated.Inc(1)
	if record.Done && record.Answer != nil {
		return own(r, *record.Answer), false
	}
	if record.Done {
		return refusedIntent(r, problem.Lost(problem.AnswerLost, stepIntent, t.vm, "the request ran; its answer is no longer kept"))
	}
	wait := max(time.Until(deadline), 0)
	ctx, cancel := context.WithTimeout(ctx, wait+claimTimeout)
	defer cancel()
	var reply wire.AwaitReply
	err := t.callHolder(ctx, record.Claim.Coordinator, wire.MethodAwait, &wire.AwaitArgs{Claim: record.Claim.ID, Wait: wait}, &reply)
	switch {
	case err != nil || !reply.Known:
		t.journal.Add(stepIntent, "a repeat is in doubt: its first request was at "+record.Claim.Coordinator+", which is gone", r.Customer, r.Service, r.ID)
		p := problem.Lost(problem.AnswerLost, stepIntent, record.Claim.Coordinator, "the dispatcher that had the request is gone; it may have run")
		return wire.ProblemAnswer(r.ID, p), true
	case reply.Released:
		t.replicate(ctx, wire.MethodRelease, record, by)
		p := problem.Refuse(problem.Full, stepIntent, t.vm, "the first request was not run; try again")
		return wire.ProblemAnswer(r.ID, p.WithRetryAfter(time.Second)), true
	case reply.Answer == nil:
		return refusedIntent(r, problem.Lost(problem.Deadline, stepIntent, record.Claim.Coordinator, "the first request still runs"))
	}
	return own(r, *reply.Answer), false
}

// own makes the first answer the answer of a repeat.
func own(r *wire.Request, first wire.Answer) wire.Answer {
	first.ID = r.ID
	return first
}
