package gateway

import (
	"context"
	"errors"
	"maps"
	"net/rpc"
	"slices"
	"time"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/caller"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/forwarding"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/upstream"
)

const (
	// maxPeersAsked bounds the VMs that are asked to send one request.
	maxPeersAsked = 3
	// hopMargin is the time of a request that is left for the way to another VM and back.
	hopMargin = 5 * time.Millisecond
	// cancelTimeout bounds the call that cancels a forwarded request.
	cancelTimeout = 400 * time.Millisecond
	// forwardConnections is the number of connections to each VM that carry forwarded requests, so
	// that a large body does not delay all others.
	forwardConnections = 2
)

// reasonNoPeer is the reason of a refusal because no other VM sends the request either.
const reasonNoPeer = "target not reached, and no other VM accepts the request"

// attemptThroughPeers has another VM send the request to a target. It returns nil if another attempt may
// follow. It is one attempt: only a VM that has certainly not sent the request is followed by another.
func (g *Gateway) attemptThroughPeers(ctx context.Context, c *call) *outcome {
	if out := g.refuseForwardWhileLeaving(c); out != nil {
		return out
	}
	if out := g.refuseRepeat(c); out != nil {
		return out
	}
	asked := make(map[string]bool)
	for len(asked) < maxPeersAsked {
		timeLeft := c.timeLeft()
		if timeLeft < minTimeLeft+hopMargin {
			out := c.timedOut()
			return &out
		}
		vm, down := g.choosePeer(c, asked)
		if down {
			out := c.giveUp(string(refusedLost), timeLeft/lostOwnerRetryDivisor)
			return &out
		}
		if vm == nil {
			break
		}
		asked[vm.VM] = true
		a := &attempt{service: c.service, route: c.route.Name, peer: vm.VM, sent: time.Now()}
		reply, err := g.forwardTo(ctx, c, vm, timeLeft-hopMargin)
		if ended := caller.Check(ctx); certainlyNotSent(err) && ended != nil {
			return c.endedBy(ended)
		}
		if certainlyNotSent(err) {
			g.updateRouter(func(r *forwarding.Router, now time.Duration) { r.Lost(vm.VM, now) })
			continue
		}
		if err != nil || reply.Result != notSentByPeer {
			return g.concludeForwarded(ctx, c, a, reply, err)
		}
		if out, done := g.handleRefusalOfPeer(ctx, c, vm.VM, refusal(reply.Refusal)); done {
			return out
		}
	}
	out := c.giveUp(reasonNoPeer, immediateRetryAfter)
	return &out
}

// endedBy returns the outcome of a request that was not sent for a reason that caller.Check returned.
func (c *call) endedBy(reason error) *outcome {
	var out outcome
	switch {
	case errors.Is(reason, errShuttingDown):
		out = c.giveUp(errShuttingDown.Error(), immediateRetryAfter)
	case errors.Is(reason, caller.ErrExpired):
		out = c.timedOut()
	default:
		out = outcome{status: 0, reason: reasonCallerLeft}
	}
	return &out
}

// refuseForwardWhileLeaving returns the outcome of a request that may outlast this VM's shutdown, or nil.
func (g *Gateway) refuseForwardWhileLeaving(c *call) *outcome {
	g.state.mu.Lock()
	usual := g.state.usualDurationLocked(c.service, c.route.Name)
	g.state.mu.Unlock()
	if !g.mayOutlastShutdown(c, &attempt{expected: usual}, c.timeLeft()) {
		return nil
	}
	out := c.giveUp(string(refusedLeaving), immediateRetryAfter)
	return &out
}

// destination names what the request is forwarded to: the owner of its key, or any target of its service.
func (g *Gateway) destination(c *call) string {
	if c.keyed {
		return c.service + "/" + g.ownerOf(c)
	}
	return c.service
}

// choosePeer returns the VM to ask, or nil if there is none. down reports whether the other VMs do not
// reach the destination either.
func (g *Gateway) choosePeer(c *call, asked map[string]bool) (vm *mesh.Member, down bool) {
	var target uint32
	if c.keyed {
		target = catalog.Hash(g.ownerOf(c))
	}
	members, others := g.mesh.Forwarders(target)
	members = slices.DeleteFunc(members, func(m mesh.Member) bool { return !g.state.mayCarry(c.route, m) })
	peers := make([]forwarding.Peer, len(members))
	for i, m := range members {
		peers[i] = forwarding.Peer{VM: m.VM, Near: m.DataCentre == g.self.DataCentre}
	}
	destination, now := g.destination(c), g.clock.Now()
	g.routerMu.Lock()
	defer g.routerMu.Unlock()
	if g.router.Down(destination, others, now) {
		return nil, true
	}
	i := g.router.Choose(destination, peers, func(vm string) bool { return asked[vm] }, now)
	if i < 0 {
		return nil, false
	}
	return &members[i], false
}

func (g *Gateway) updateRouter(update func(r *forwarding.Router, now time.Duration)) {
	g.routerMu.Lock()
	defer g.routerMu.Unlock()
	update(g.router, g.clock.Now())
}

// forwardTo sends the request to another VM and waits for its reply. If the caller disconnects or the
// deadline passes first, the request is cancelled there.
func (g *Gateway) forwardTo(ctx context.Context, c *call, vm *mesh.Member, timeLeft time.Duration) (*ForwardReply, error) {
	callCtx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	args := g.forwardArgs(c, timeLeft)
	reply := new(ForwardReply)
	client := g.forwardClients.Get(vm.Addr)
	g.forwardMetrics.sent.Inc(1)
	err := client.Call(callCtx, "Forward.Send", args, reply)
	if callCtx.Err() != nil && !errors.Is(err, peer.ErrNotSent) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			_ = client.Call(ctx, "Forward.Cancel", &args.ForwardID, new(struct{}))
		}()
	}
	return reply, err
}

// certainlyNotSent reports whether the error of a call shows that the request was not sent to a target. A VM
// that returns an error does not know the call, as during an upgrade; otherwise it returns a result.
func certainlyNotSent(err error) bool {
	var unknownCall rpc.ServerError
	return errors.Is(err, peer.ErrNotSent) || errors.As(err, &unknownCall)
}

func (g *Gateway) forwardArgs(c *call, timeLeft time.Duration) *ForwardArgs {
	return &ForwardArgs{
		ForwardID: ForwardID{VM: g.self.VM, Incarnation: g.self.Incarnation, Number: g.forwardCount.Add(1)},
		Service:   c.service, Route: c.route.Name, Priority: c.route.Priority, Objective: c.route.Objective, Regions: c.route.Regions, TimeLeft: timeLeft,
		Keyed: c.keyed, Key: c.key, Digest: c.digest, Idempotent: c.route.Idempotent, MisdirectedBy: c.misdirectedBy, Tried: append(slices.Collect(maps.Keys(c.tried)), g.state.restingTargets(c.service)...),
		Method: c.request.Method, URI: c.request.URI, Host: c.request.Host, Header: c.request.Header.Clone(), Body: c.request.Body, ID: c.id,
	}
}

// concludeForwarded handles the reply of a VM that may have sent the request. It returns nil if another
// attempt may follow.
func (g *Gateway) concludeForwarded(ctx context.Context, c *call, a *attempt, reply *ForwardReply, err error) *outcome {
	took := time.Since(a.sent)
	if err != nil {
		// A call that ended with its caller shows nothing about the other VM.
		if ctx.Err() == nil {
			g.updateRouter(func(r *forwarding.Router, now time.Duration) { r.Lost(a.peer, now) })
		}
	} else {
		a.id, a.leases, a.hadFreeSlots = reply.Target, reply.Leases, reply.HadFreeSlots
		if reply.Result == lostByPeer {
			err = upstream.ErrLost
		} else if broken := answers.Check(reply.Status, reply.Header); broken != nil {
			g.brokenAnswers.Broken(a.peer, broken)
			err = errors.Join(upstream.ErrLost, broken)
		} else if t := g.state.incarnation(reply.Target, reply.Born); t != nil {
			g.applySignals(t, &upstream.Answer{Status: reply.Status, Header: reply.Header}, received{kind: throughPeer, sentAt: g.clock.Now() - took, peer: a.peer})
		}
	}
	resp := &upstream.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body}
	if err == nil && !g.state.answerMemory.Reserve(resp) {
		err = upstream.ErrLost
	}
	c.answers = append(c.answers, resp)
	c.recordAttempt(a, took, resp, err)
	if err == nil {
		g.updateRouter(func(r *forwarding.Router, _ time.Duration) { r.Served(g.destination(c)) })
	}
	return g.conclude(ctx, c, a, resp, err)
}

// handleRefusalOfPeer handles the refusal of a VM that has not sent the request. It returns done if no
// other VM is to be asked, with the outcome, or with nil if another attempt may follow.
func (g *Gateway) handleRefusalOfPeer(ctx context.Context, c *call, vm string, reason refusal) (out *outcome, done bool) {
	c.trace = append(c.trace, "through "+vm+" refused: "+string(reason))
	switch reason {
	case refusedByGate, refusedLeaving, refusedMember, refusedUnread:
		g.updateRouter(func(r *forwarding.Router, now time.Duration) { r.Full(vm, now) })
		return nil, false
	case refusedUnreached, refusedLost, refusedNoTarget:
		g.updateRouter(func(r *forwarding.Router, now time.Duration) { r.Unreached(g.destination(c), vm, now) })
		return nil, false
	case refusedMoving, refusedWarming:
		if g.awaitRoutingChange(ctx, c, maxMoveWait) {
			return nil, true
		}
	}
	if reason == refusedResting {
		o := c.giveUp(string(reason), g.restRetryAfter(c))
		return &o, true
	}
	o := c.giveUp(string(reason), g.retryAfter(c))
	return &o, true
}
