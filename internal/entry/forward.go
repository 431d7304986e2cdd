package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// answerMargin is how much longer than the deadline an entry waits for the
// dispatcher's word on what became of a request.
const answerMargin = 50 * time.Millisecond

// forwarder sends requests to dispatchers.
type forwarder struct {
	vm    string
	feed  viewSource
	peers dispatchers
}

// viewSource is the part of feed.Feed that the forwarder uses.
type viewSource interface {
	Current() *view.View
	Changed() <-chan struct{}
}

// dispatchers carries calls to a dispatcher's address. Errors are those of peer.
type dispatchers interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
	Close()
}

// pooled is dispatchers over connections that are kept.
type pooled struct{ *peer.Pool }

// Call implements dispatchers.
func (p pooled) Call(ctx context.Context, addr, method string, args, reply any) error {
	return p.Get(addr).Call(ctx, method, args, reply)
}

// forward returns the whole answer or the problem.
//
// A dispatcher that is leaving, or that the request never reached, is passed over
// for the next one while the deadline lasts. One that says that another target owns
// the key has a view that differs from ours by a moment: the request waits for the
// next view and goes to the dispatcher of the owner that it shows. After any other
// failure the request may have run; sending it again is left to its caller.
func (f *forwarder) forward(ctx context.Context, v *parsedRequest) (*wire.Answer, *problem.Error) {
	r := route{until: time.Now().Add(ownerlessFor)}
	if v.deadline.Before(r.until) {
		r.until = v.deadline
	}
	for {
		changed := f.feed.Changed()
		m, p := f.choose(f.feed.Current(), v, &r)
		if p == nil {
			var answer *wire.Answer
			if answer, p = f.call(ctx, v, m); p == nil {
				return answer, nil
			}
			r.tried++
			r.last = p
		}
		switch {
		case !passOver(p):
			return nil, p
		case p.Kind == problem.NoOwner:
			r.tried = 0
			if !awaitView(ctx, changed, r.until) {
				return nil, p
			}
		}
	}
}

// route is what was tried for one request.
type route struct {
	// queue is the queue that was chosen last; tried counts the dispatchers
	// that were passed over for it.
	queue string
	tried int
	last  *problem.Error
	// until bounds the wait for an owner.
	until time.Time
}

// ownerlessFor bounds how long a request waits at the entry for an owner. A
// takeover takes under a second.
const ownerlessFor = time.Second

// viewPause is when a request is tried again though no view came: the dispatcher's
// view may have been the older one. Some tries fit into a planned move of 100 ms.
const viewPause = 25 * time.Millisecond

// awaitView waits for the next view or a short pause. It returns false if the
// request must not wait any more.
func awaitView(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	pause := time.NewTimer(min(left, viewPause))
	defer pause.Stop()
	select {
	case <-changed:
	case <-pause.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// passOver reports whether another dispatcher may do better.
func passOver(p *problem.Error) bool {
	return p.Ran == problem.RanNo && (p.Kind == problem.Leaving || p.Kind == problem.NoOwner)
}

// maxDispatchers bounds how many dispatchers are tried: the first, and one more
// for each of two that left at the same moment.
const maxDispatchers = 3

func (f *forwarder) choose(v *view.View, req *parsedRequest, r *route) (wire.Member, *problem.Error) {
	members := v.Dispatchers()
	if len(members) == 0 {
		return wire.Member{}, problem.Refuse(problem.NotReady, "choose", f.vm, "no dispatcher is known").After(time.Second)
	}
	queue, near, p := f.queue(v, req)
	if p != nil {
		return wire.Member{}, p
	}
	if queue != r.queue {
		r.queue, r.tried = queue, 0
	}
	if r.tried >= maxDispatchers {
		return wire.Member{}, r.exhausted(f.vm)
	}
	candidates := make([]rendezvous.Candidate, len(members))
	for i, m := range members {
		candidates[i] = rendezvous.Candidate{VM: m.VM, DataCentre: m.DataCentre}
	}
	order := rendezvous.Rank(candidates, queue, near)
	return members[order[r.tried%len(order)]], nil
}

// exhausted is the refusal after the last dispatcher that was tried. It is not
// passed over.
func (r *route) exhausted(vm string) *problem.Error {
	return problem.Refuse(problem.Full, "choose", vm, "no dispatcher took the request: "+r.last.Error()).After(time.Second)
}

// queue names the queue of a request, and the data centre it should be in.
func (f *forwarder) queue(v *view.View, req *parsedRequest) (queue, near string, p *problem.Error) {
	s := req.service
	if !s.Keyed {
		return s.Name, "", nil
	}
	grant := v.Owner(s.Name, keyspace.PointOf(req.request.Key))
	if grant == nil {
		return "", "", problem.Refuse(problem.NoOwner, "choose", f.vm, "the key has no owner now").After(time.Second)
	}
	t, _ := s.Target(grant.Target.Name)
	return s.Name + "/" + t.Name, t.DataCentre, nil
}

func (f *forwarder) call(ctx context.Context, v *parsedRequest, m wire.Member) (*wire.Answer, *problem.Error) {
	request := *v.request
	request.Budget = time.Until(v.deadline)
	if request.Budget <= 0 {
		return nil, problem.Refuse(problem.Deadline, "forward", m.VM, "the deadline passed before it was sent")
	}
	callCtx, cancel := context.WithDeadline(ctx, v.deadline.Add(answerMargin))
	defer cancel()
	answer := new(wire.Answer)
	err := f.peers.Call(callCtx, m.DispatchAddr, wire.MethodDo, &request, answer)
	if err != nil {
		if ctx.Err() != nil {
			f.cancel(m, request.ID)
		}
		return nil, classify(err, m.VM)
	}
	if !answer.Whole(request.ID) {
		return nil, problem.Lost(problem.AnswerLost, "forward", m.VM, "the answer is not whole or not this request's")
	}
	if answer.Problem != nil {
		return nil, answer.Problem
	}
	if answer.Status < http.StatusOK || answer.Status > maxStatus {
		return nil, problem.Lost(problem.AnswerLost, "forward", m.VM, fmt.Sprintf("%d is not the status of a final answer", answer.Status))
	}
	return answer, nil
}

// maxStatus is the last status code; net/http panics beyond it.
const maxStatus = 999

func classify(err error, vm string) *problem.Error {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return problem.Refuse(problem.Leaving, "forward", vm, err.Error()).After(time.Second)
	case errors.Is(err, context.DeadlineExceeded):
		return problem.Lost(problem.Deadline, "forward", vm, "the deadline passed before the dispatcher answered")
	}
	return problem.Lost(problem.AnswerLost, "forward", vm, err.Error())
}

// cancelTimeout bounds the notice that a caller went away.
const cancelTimeout = time.Second

// cancel notifies the dispatcher that nobody waits for the request any more.
func (f *forwarder) cancel(m wire.Member, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = f.peers.Call(ctx, m.DispatchAddr, wire.MethodCancel, &wire.CancelArgs{ID: id}, &wire.Empty{})
	}()
}
