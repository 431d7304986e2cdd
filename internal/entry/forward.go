package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/caller"
	"hemlockquay/internal/decide/relay"
	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// answerMargin is how long after the deadline an entry still waits for the dispatcher to report
// the outcome of a request.
const answerMargin = 50 * time.Millisecond

// forwarder sends requests to dispatchers.
type forwarder struct {
	vm     string
	feed   viewSource
	client dispatcherClient
	// broken records the broken answers that dispatchers pass on. It may be nil.
	broken *answers.Log
}

// viewSource is the part of feed.Feed that the forwarder uses.
type viewSource interface {
	Current() *view.View
	Changed() <-chan struct{}
}

// dispatcherClient calls the dispatcher at an address. Errors are those of package peer.
type dispatcherClient interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
	Close()
}

// pooledClient implements dispatcherClient with a pool of connections.
type pooledClient struct{ *peer.Pool }

// Call implements dispatcherClient.
func (p pooledClient) Call(ctx context.Context, addr, method string, args, reply any) error {
	return p.Get(addr).Call(ctx, method, args, reply)
}

// forward returns the complete answer or the problem.
//
// If a dispatcher is shutting down or the request did not reach it, forward tries the next one
// until the deadline. If a dispatcher replies that another target owns the key, one of the two
// views is older: the request waits for this entry's next view and goes to the dispatcher of the
// owner in that view. After any other failure the request may have run, and only the caller can
// decide to send it again.
func (f *forwarder) forward(ctx context.Context, req *parsedRequest) (*wire.Answer, *problem.Error) {
	state := attemptState{ownerWaitUntil: time.Now().Add(maxOwnerWait)}
	if req.deadline.Before(state.ownerWaitUntil) {
		state.ownerWaitUntil = req.deadline
	}
	for {
		changed := f.feed.Changed()
		m, p := f.chooseDispatcher(f.feed.Current(), req, &state)
		if p == nil {
			var answer *wire.Answer
			if answer, p = f.callDispatcher(ctx, req, m); p == nil {
				return answer, nil
			}
			state.attempts++
			state.lastProblem = p
		}
		switch {
		case !retryable(p):
			return nil, p
		case p.Kind == problem.NoOwner:
			state.attempts = 0
			if !waitForView(ctx, changed, state.ownerWaitUntil) {
				return nil, p
			}
		}
	}
}

// attemptState records the attempts to forward one request.
type attemptState struct {
	// queue is the queue that was chosen last. attempts counts the dispatchers that were
	// tried for it without success.
	queue       string
	attempts    int
	lastProblem *problem.Error
	// ownerWaitUntil bounds the wait for the key to have an owner.
	ownerWaitUntil time.Time
}

// maxOwnerWait is how long a request waits at the entry for its key to have an owner. A
// takeover takes less than a second.
const maxOwnerWait = time.Second

// viewRetryInterval is how long a request waits for a new view before it is tried again without
// one: the dispatcher's view may have been the older one. Several attempts fit into a planned
// move, which takes 100 ms.
const viewRetryInterval = 25 * time.Millisecond

// waitForView waits for the next view, but not longer than viewRetryInterval. It returns false
// if the request must not be tried again.
func waitForView(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	remaining := time.Until(until)
	if remaining <= 0 {
		return false
	}
	timer := time.NewTimer(min(remaining, viewRetryInterval))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// retryable reports whether the request did not run and may succeed at another dispatcher or
// after the next view.
func retryable(p *problem.Error) bool {
	return p.Ran == problem.RanNo && (p.Kind == problem.Leaving || p.Kind == problem.NoOwner)
}

// maxDispatcherAttempts is the maximum number of dispatchers tried for a queue: the first, and
// one more for each of two that shut down at the same time.
const maxDispatcherAttempts = 3

func (f *forwarder) chooseDispatcher(v *view.View, req *parsedRequest, state *attemptState) (wire.Member, *problem.Error) {
	members := v.Dispatchers()
	if len(members) == 0 {
		return wire.Member{}, problem.Refuse(problem.NotReady, "choose", f.vm, "no dispatcher is known").WithRetryAfter(time.Second)
	}
	queue, preferredDC, p := f.queueOf(v, req)
	if p != nil {
		return wire.Member{}, p
	}
	if queue != state.queue {
		state.queue, state.attempts = queue, 0
	}
	if state.attempts >= maxDispatcherAttempts {
		return wire.Member{}, state.exhausted(f.vm)
	}
	candidates := make([]rendezvous.Candidate, len(members))
	for i, m := range members {
		candidates[i] = rendezvous.Candidate{VM: m.VM, DataCentre: m.DataCentre}
	}
	order := rendezvous.Rank(candidates, queue, preferredDC)
	return members[order[state.attempts%len(order)]], nil
}

// exhausted returns the refusal after the last attempt. It is not retryable.
func (s *attemptState) exhausted(vm string) *problem.Error {
	return problem.Refuse(problem.Full, "choose", vm, "no dispatcher took the request: "+s.lastProblem.Error()).WithRetryAfter(time.Second)
}

// queueOf returns the name of a request's queue and the data centre whose dispatchers are
// preferred for it.
func (f *forwarder) queueOf(v *view.View, req *parsedRequest) (queue, preferredDC string, p *problem.Error) {
	s := req.service
	if !s.Keyed {
		return s.Name, "", nil
	}
	grant := v.Owner(s.Name, keyspace.PointOf(req.wireRequest.Key))
	if grant == nil {
		return "", "", problem.Refuse(problem.NoOwner, "choose", f.vm, "the key has no owner now").WithRetryAfter(time.Second)
	}
	t, _ := s.Target(grant.Target.Name)
	return s.Name + "/" + t.Name, t.DataCentre, nil
}

func (f *forwarder) callDispatcher(ctx context.Context, req *parsedRequest, m wire.Member) (*wire.Answer, *problem.Error) {
	request := *req.wireRequest
	request.Budget = time.Until(req.deadline)
	if request.Budget <= 0 {
		return nil, problem.Refuse(problem.Deadline, "forward", m.VM, "the deadline passed before it was sent")
	}
	callCtx, cancel := context.WithDeadline(ctx, req.deadline.Add(answerMargin))
	defer cancel()
	answer := new(wire.Answer)
	err := f.client.Call(callCtx, m.DispatchAddr, wire.MethodDo, &request, answer)
	if err != nil {
		if ctx.Err() != nil {
			f.sendCancel(m, request.ID)
		}
		return nil, classifyCallError(err, m.VM)
	}
	if !answer.Valid(request.ID) {
		return nil, problem.Lost(problem.AnswerLost, "forward", m.VM, "the answer is not whole or not this request's")
	}
	if answer.Problem != nil {
		return nil, answer.Problem
	}
	if err := answers.Check(answer.Status, answer.Header); err != nil {
		f.broken.Broken(m.VM, err)
		return nil, problem.Lost(problem.AnswerLost, "forward", m.VM, err.Error())
	}
	// SaysNotRun is not set: a dispatcher reports a request that has not run in answer.Problem.
	if v := relay.Of(relay.ByHeader, relay.Answer{Status: answer.Status, Idempotent: req.wireRequest.Idempotent}); v != relay.PassOn {
		return nil, problem.Lost(problem.AnswerLost, "forward", m.VM, fmt.Sprintf("an answer with status %d: %s", answer.Status, v))
	}
	return answer, nil
}

func classifyCallError(err error, vm string) *problem.Error {
	switch {
	case errors.Is(err, peer.ErrNotSent) && (errors.Is(err, caller.ErrLeft) || errors.Is(err, caller.ErrExpired)):
		return problem.Refuse(problem.Deadline, "forward", vm, err.Error())
	case errors.Is(err, peer.ErrNotSent):
		return problem.Refuse(problem.Leaving, "forward", vm, err.Error()).WithRetryAfter(time.Second)
	case errors.Is(err, context.DeadlineExceeded):
		return problem.Lost(problem.Deadline, "forward", vm, "the deadline passed before the dispatcher answered")
	}
	return problem.Lost(problem.AnswerLost, "forward", vm, err.Error())
}

// cancelTimeout bounds the call that cancels a request.
const cancelTimeout = time.Second

// sendCancel notifies the dispatcher that the caller has gone away. It does not wait for the call.
func (f *forwarder) sendCancel(m wire.Member, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = f.client.Call(ctx, m.DispatchAddr, wire.MethodCancel, &wire.CancelArgs{ID: id}, &wire.Empty{})
	}()
}
