package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"hemlockquay/internal/decide/permit"
	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/mesh"
)

const (
	// permitTimeout bounds a call that asks for a permit, or whether another VM holds a target's permits. A VM with
	// a sixth of a core may need tens of milliseconds to answer.
	permitTimeout = 120 * time.Millisecond
	// maxHoldersAsked bounds the VMs that are asked for a permit for one request.
	maxHoldersAsked = 3
	// noHolderRetryAfter bounds the Retry-After if no VM grants permits.
	noHolderRetryAfter = 500 * time.Millisecond
)

// PermitArgs asks for a permit for one request to a target.
type PermitArgs struct {
	// VM is the VM that asks.
	VM     string            `msgpack:"v"`
	Report mesh.TargetReport `msgpack:"l"`
	// Outranked reports whether more urgent requests compete with this one.
	Outranked bool `msgpack:"o"`
}

// firstHand reports whether the VM that asks got the response itself that its report is derived from.
func (a *PermitArgs) firstHand() bool { return a.Report.Limit.Source == a.VM }

// PermitReply is the answer of a VM that was asked for a permit.
type PermitReply struct {
	// Holds is false if the VM does not grant permits for the target.
	Holds    bool            `msgpack:"h"`
	Decision permit.Decision `msgpack:"d"`
}

// Permits is the RPC service through which other VMs ask for permits for requests to targets with a limit.
type Permits struct{ gateway *Gateway }

// Ask decides about a permit.
func (p Permits) Ask(in *PermitArgs, out *PermitReply) error {
	*out = p.gateway.grantPermit(p.gateway.ctx, in)
	return nil
}

// Notify applies what the caller knows of the limit of a target.
func (p Permits) Notify(in *PermitArgs, _ *struct{}) error {
	p.gateway.mergeReport(in.Report, in.VM, in.firstHand())
	return nil
}

// MayHold reports whether this VM may grant permits for a target.
func (p Permits) MayHold(in *mesh.TargetReport, out *bool) error {
	_, *out = p.gateway.mayHoldPermits(*in)
	return nil
}

// mayHoldPermits reports whether this VM may grant permits for a target: it is not leaving, and knows the target and
// the other VMs. It returns the order of the holders.
func (g *Gateway) mayHoldPermits(l mesh.TargetReport) (order []string, may bool) {
	if g.leaving.Load() || !g.joined.Load() {
		return nil, false
	}
	return g.state.holderOrder(l)
}

// takePermit takes a permit for the request of an attempt if the target has a limit. If it returns false, the
// request must not be sent to the target.
func (g *Gateway) takePermit(ctx context.Context, c *call, a *attempt, timeLeft time.Duration) bool {
	args, order, blocked, limited := g.state.permitRequest(a.target, c.route.Priority)
	if !limited {
		return true
	}
	d, holder := permit.Decision{RetryAfter: blocked}, ""
	if blocked == 0 {
		d, holder = g.askHolders(ctx, order, args, timeLeft)
	} else {
		d.RetryAfter += rand.N(noHolderRetryAfter)
	}
	g.state.recordDecision(a.target, args.Outranked, d)
	if d.Granted {
		g.limits.granted.Inc(1)
		return true
	}
	g.limits.denied.Inc(1)
	c.overLimit[a.id] = true
	c.limitRetryAfter = max(d.RetryAfter, minRetryAfter)
	c.refusedOn = fmt.Sprintf("%s limit %.2f age %dms source %s holder %s tokens %.2f blocked %dms", a.id, args.Report.Limit.PerSecond,
		args.Report.Limit.Age.Milliseconds(), args.Report.Limit.Source, holder, d.Tokens, (blocked + d.Blocked).Milliseconds())
	return false
}

// askHolders asks the VMs in order until one decides. It returns that VM, or "" if there is none.
func (g *Gateway) askHolders(ctx context.Context, order []string, args *PermitArgs, timeLeft time.Duration) (permit.Decision, string) {
	asked := 0
	for _, vm := range order {
		if vm != g.self.VM && (!g.mesh.MayServe(vm) || g.permitCalls.failedLately(vm, g.clock.Now())) {
			continue
		}
		var reply PermitReply
		if vm == g.self.VM {
			reply = g.grantPermit(g.ctx, args)
		} else {
			reply = g.askHolder(ctx, vm, args, timeLeft)
		}
		if reply.Holds {
			return reply.Decision, vm
		}
		if asked++; asked >= maxHoldersAsked || ctx.Err() != nil {
			break
		}
	}
	g.limits.noHolder.Inc(1)
	return permit.Decision{RetryAfter: noHolderRetryAfter/2 + rand.N(noHolderRetryAfter/2)}, ""
}

// askHolder asks another VM for a permit. At least three quarters of the remaining time are kept for the request.
func (g *Gateway) askHolder(ctx context.Context, vm string, args *PermitArgs, timeLeft time.Duration) PermitReply {
	timeout := min(permitTimeout, timeLeft/4)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply PermitReply
	if err := g.mesh.Call(callCtx, vm, "Permits.Ask", args, &reply); err != nil {
		// A call that was cut short by its caller, or by the deadline of its request, does not show that the VM is lost.
		if callCtx.Err() == nil || ctx.Err() == nil && timeout == permitTimeout {
			g.permitCalls.record(vm, false, g.clock.Now())
		}
		return PermitReply{}
	}
	g.permitCalls.record(vm, true, g.clock.Now())
	return reply
}

// notifyHolder sends the holder of a target's permits a limit that this VM has learned from a response. In a large
// fleet, the next heartbeat may be seconds away.
func (g *Gateway) notifyHolder(t *targetState) {
	args, order, _, limited := g.state.permitRequest(t, 0)
	if !limited {
		return
	}
	for _, vm := range order {
		if vm == g.self.VM {
			return
		}
		if !g.mesh.MayServe(vm) || g.permitCalls.failedLately(vm, g.clock.Now()) {
			continue
		}
		ctx, cancel := context.WithTimeout(g.ctx, permitTimeout)
		defer cancel()
		if err := g.mesh.Call(ctx, vm, "Permits.Notify", args, new(struct{})); err != nil {
			g.log.Info().Str("step", "limits").Str("target", t.ID).Str("peer", vm).Err(err).Msg("holder not notified of a limit")
		}
		return
	}
}

// grantPermit decides about a permit if this VM is the target's holder.
func (g *Gateway) grantPermit(ctx context.Context, in *PermitArgs) PermitReply {
	g.mergeReport(in.Report, in.VM, in.firstHand())
	order, may := g.mayHoldPermits(in.Report)
	if !may {
		return PermitReply{}
	}
	first := true
	for _, vm := range order {
		if vm == g.self.VM {
			return g.state.takeToken(in, first)
		}
		first = false
		if g.holderAnswers(ctx, vm, in.Report) {
			break
		}
	}
	g.state.yieldPermits(in.Report)
	return PermitReply{}
}

// holderAnswers reports whether a VM that precedes this one as the holder of a target answers calls, and may hold.
func (g *Gateway) holderAnswers(ctx context.Context, vm string, l mesh.TargetReport) bool {
	now := g.clock.Now()
	switch {
	case !g.mesh.MayServe(vm), g.permitCalls.failedLately(vm, now):
		return false
	case g.permitCalls.answeredLately(vm, now):
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout/2)
	defer cancel()
	may := false
	err := g.mesh.Call(callCtx, vm, "Permits.MayHold", &l, &may)
	g.permitCalls.record(vm, err == nil && may, g.clock.Now())
	return err == nil && may
}

// permitRequest returns what is needed to ask for a permit. blocked is the time until which there is none.
func (s *routingState) permitRequest(t *targetState, priority int) (args *PermitArgs, order []string, blocked time.Duration, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.limit.Limited {
		return nil, nil, 0, false
	}
	now := s.clock.Now()
	report, _ := t.limit.Report(now)
	args = &PermitArgs{VM: s.vm, Report: mesh.TargetReport{Target: t.ID, Born: t.Born, Limit: report}, Outranked: s.outrankedLocked(t.Service, priority)}
	return args, s.holderOrderLocked(t), max(0, t.limit.blocked[index(args.Outranked)]-now), true
}

// index returns the index in targetLimit.blocked.
func index(outranked bool) int {
	if outranked {
		return 1
	}
	return 0
}

// isBlocked reports whether a target has no permits for requests now. Those that more urgent ones compete with
// get none while the others do not.
func (l *targetLimit) isBlocked(outranked bool, now time.Duration) bool {
	return l.Limited && now < l.blocked[index(outranked)]
}

// recordDecision records until when a target has no more permits.
func (s *routingState) recordDecision(t *targetState, outranked bool, d permit.Decision) {
	if d.Blocked == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.clock.Now() + d.Blocked
	t.limit.blocked[1] = max(t.limit.blocked[1], until)
	if !outranked {
		t.limit.blocked[0] = until
	}
}

// holderOrder returns the VMs in the order in which they may hold the permits of a target.
func (s *routingState) holderOrder(l mesh.TargetReport) (order []string, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.incarnationLocked(l.Target, l.Born)
	if t == nil {
		return nil, false
	}
	return s.holderOrderLocked(t), true
}

func (s *routingState) holderOrderLocked(t *targetState) []string {
	if t.limit.order == nil || t.limit.orderedBy != s.holders.version {
		t.limit.order = make([]string, 0, len(s.holders.list))
		for _, i := range rendezvous.Rank(s.holders.list, t.ID, t.DataCentre) {
			t.limit.order = append(t.limit.order, s.holders.list[i].VM)
		}
		t.limit.orderedBy = s.holders.version
	}
	return t.limit.order
}

// takeToken decides about a permit as the holder of a target. If this VM knows that the limit has ended, any
// request gets one.
func (s *routingState) takeToken(in *PermitArgs, first bool) PermitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.incarnationLocked(in.Report.Target, in.Report.Born)
	if t == nil {
		return PermitReply{}
	}
	if !t.limit.Limited {
		return PermitReply{Holds: true, Decision: permit.Decision{Granted: true}}
	}
	now, held := s.clock.Now(), t.limit.tenure.Holding()
	t.limit.tenure.Hold(first, now)
	if !held {
		s.log.Info().Str("step", "limits").Str("target", t.ID).Bool("first", first).Float64("perSecond", t.limit.PerSecond).Msg("this VM grants the permits of a target")
	}
	return PermitReply{Holds: true, Decision: t.limit.tenure.Take(t.limit.PerSecond, in.Outranked, now)}
}

// yieldPermits ends this VM's tenure as the holder of a target.
func (s *routingState) yieldPermits(l mesh.TargetReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.incarnationLocked(l.Target, l.Born)
	if t == nil || !t.limit.tenure.Holding() {
		return
	}
	t.limit.tenure.Yield()
	s.log.Info().Str("step", "limits").Str("target", t.ID).Msg("this VM no longer grants the permits of a target")
}

// mergeLimit applies what another VM reports of the limit of a target.
func (g *Gateway) mergeLimit(l mesh.TargetReport, firstHand bool) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	t := g.state.incarnationLocked(l.Target, l.Born)
	if t == nil {
		return
	}
	g.state.toReport[t] = struct{}{}
	before := t.limit.Belief
	changed := t.limit.Merge(l.Limit, firstHand, g.clock.Now())
	t.limit.dropStaleBlocks(before)
	if changed && g.limits.lines.Allow() {
		g.log.Info().Str("step", "limits").Str("target", t.ID).Str("service", t.Service).Bool("limited", l.Limit.Limited).
			Float64("perSecond", l.Limit.PerSecond).Str("source", l.Limit.Source).Dur("age", l.Limit.Age).Msg("another VM reports the limit of a target")
	}
}
