package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hemlockquay/internal/caller"
	"hemlockquay/internal/decide/loadreport"
	"hemlockquay/internal/decide/relay"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// ForwardID identifies a forwarded request.
type ForwardID struct {
	// VM and Incarnation name the process that received the request from its caller.
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	Number      uint64 `msgpack:"n"`
}

// ForwardArgs is a request that another VM is to send to a target. The other VM chooses the target, sends
// the request at most once, and never forwards it again. Limits, repeats and retries are decided by the
// VM that received the request.
type ForwardArgs struct {
	ForwardID `msgpack:"f"`
	// Origin is set where the request is received.
	caller.Origin `msgpack:"-"`

	Service   string        `msgpack:"s"`
	Route     string        `msgpack:"r"`
	Priority  int           `msgpack:"p"`
	Objective time.Duration `msgpack:"o"`
	// Regions are the regions in which the request may be processed, or empty for all.
	Regions []string `msgpack:"q"`
	// TimeLeft is the remaining time of the request. It excludes the time that the reply takes.
	TimeLeft time.Duration `msgpack:"t"`
	Keyed    bool          `msgpack:"k"`
	Key      uint16        `msgpack:"y"`
	Digest   uint64        `msgpack:"g"`
	// Idempotent reports whether the request may run more than once. VMs of earlier versions leave it out.
	Idempotent bool `msgpack:"j,omitempty"`
	// MisdirectedBy is the version of the leases by which the request was misdirected before.
	MisdirectedBy mesh.LeaseVersion `msgpack:"m"`
	// Tried are the targets that must not get the request again.
	Tried []string `msgpack:"d"`

	Method string      `msgpack:"x"`
	URI    string      `msgpack:"u"`
	Host   string      `msgpack:"h"`
	Header http.Header `msgpack:"e"`
	Body   []byte      `msgpack:"b"`
	// ID is the request id of the caller.
	ID string `msgpack:"c"`
}

// forwardResult says what became of a forwarded request.
type forwardResult uint8

// The results of a forwarded request.
const (
	// notSentByPeer: the request was not sent to any target, and will not be.
	notSentByPeer forwardResult = iota
	// answeredToPeer: the target responded.
	answeredToPeer
	// lostByPeer: the request may have run, but the response did not arrive.
	lostByPeer
)

// ForwardReply says what became of a forwarded request.
type ForwardReply struct {
	Result forwardResult `msgpack:"r"`
	// Refusal is the reason why the request was not sent.
	Refusal string `msgpack:"f"`
	// Target is the target to which the request was sent.
	Target string `msgpack:"t"`
	// Born names the incarnation of the target.
	Born int64 `msgpack:"o"`
	// Leases is the version of the leases that named the owner.
	Leases mesh.LeaseVersion `msgpack:"l"`
	// HadFreeSlots reports whether the target had free slots when the request was sent.
	HadFreeSlots bool `msgpack:"n"`

	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	Body   []byte      `msgpack:"b"`
}

// Reasons for which a VM does not accept a forwarded request.
const (
	refusedByGate refusal = "no more forwarded requests"
	refusedMember refusal = "not a live VM"
	// refusedCancelled: the caller has disconnected already.
	refusedCancelled refusal = "cancelled"
	// refusedUnread: the request may have waited here for so long that its caller has left since.
	refusedUnread refusal = "may have waited too long"
)

// Forward is the RPC service through which other VMs have requests sent to targets that they do not reach.
type Forward struct{ gateway *Gateway }

// Send sends a request to a target.
func (f Forward) Send(in *ForwardArgs, out *ForwardReply) error {
	g, began := f.gateway, time.Now()
	defer func() { g.logForwarded(in, out, time.Since(began)) }()
	if !g.mesh.IsLive(in.VM, in.Incarnation) {
		out.Refusal = string(refusedMember)
		return nil
	}
	if in.WaitedTooLong() {
		out.Refusal = string(refusedUnread)
		return nil
	}
	ctx, end, reason := g.forwarded.begin(g.requestCtx, in.ForwardID, in.TimeLeft)
	if reason != notRefused {
		out.Refusal = string(reason)
		return nil
	}
	defer end()
	g.sendForwarded(caller.WithConnection(ctx, in.From()), in, out)
	return nil
}

// Cancel cancels a request whose caller has disconnected.
func (f Forward) Cancel(in *ForwardID, _ *struct{}) error {
	f.gateway.forwarded.cancel(*in)
	return nil
}

// Reach dials the targets with the given ids and returns those that accept a connection. It is asked for
// the state of targets that another VM does not reach.
func (f Forward) Reach(targets *[]string, out *[]string) error {
	*out = f.gateway.dialTargets(f.gateway.ctx, *targets)
	return nil
}

// sendForwarded sends a request that another VM has received.
func (g *Gateway) sendForwarded(ctx context.Context, in *ForwardArgs, out *ForwardReply) {
	c := g.forwardedCall(in)
	defer c.release()
	ctx = caller.WithExpiry(ctx, g.clock, c.expires)
	defer g.returnPlace(c)
	if c.body.reserve(int64(len(in.Body))) != nil {
		out.Refusal = string(refusedByGate)
		return
	}
	a, resp, err := g.attemptForwarded(ctx, c)
	if a.refused != notRefused {
		out.Refusal = string(a.refused)
		return
	}
	out.Target, out.Born, out.Leases, out.HadFreeSlots = a.id, a.target.Born, a.leases, a.hadFreeSlots
	switch {
	case err != nil && ctx.Err() != nil:
		g.state.finish(a, resultAbandoned)
		out.Result = lostByPeer
		return
	case err != nil:
		g.state.finish(a, resultResponseLost)
		go g.recordCrashIfDown(c.digest, a)
		out.Result = lostByPeer
		return
	}
	g.finishForwarded(c, a, resp, in.Idempotent)
	out.Result, out.Status, out.Header, out.Body = answeredToPeer, resp.Status, resp.Header, resp.Body
}

// attemptForwarded sends a forwarded request to a target. It tries others only while it was certainly not
// sent. It returns the attempt that was sent, or one that says why there is none.
func (g *Gateway) attemptForwarded(ctx context.Context, c *call) (*attempt, *upstream.Answer, error) {
	for range maxConnectFailures {
		timeLeft := c.timeLeft()
		if timeLeft < minTimeLeft {
			return &attempt{refused: refusedLate}, nil, nil
		}
		a, reason := g.reserveForwarded(ctx, c, timeLeft)
		if a == nil && len(c.overLimit) > 0 {
			reason = refusedLimited
		}
		if a == nil {
			return &attempt{refused: reason}, nil, nil
		}
		if !g.takePermit(ctx, c, a, timeLeft) {
			g.release(a)
			if c.keyed {
				return &attempt{refused: refusedLimited}, nil, nil
			}
			continue
		}
		resp, err := g.exchange(ctx, c, a)
		if a.withheld != notRefused {
			g.release(a)
			if c.keyed || a.withheld.endsRequest() {
				return &attempt{refused: a.withheld}, nil, nil
			}
			continue
		}
		if !errors.Is(err, upstream.ErrNotSent) {
			return a, resp, err
		}
		g.finishUnsent(c, a, err)
		if c.keyed {
			break
		}
	}
	if len(c.overLimit) > 0 {
		return &attempt{refused: refusedLimited}, nil, nil
	}
	return &attempt{refused: refusedUnreached}, nil, nil
}

// finishForwarded updates the state of the target that responded to a forwarded request.
func (g *Gateway) finishForwarded(c *call, a *attempt, resp *upstream.Answer, idempotent bool) {
	if g.headers.fromOtherTarget(resp, a.id) {
		g.state.markDisplaced(a)
	}
	switch {
	case resp.Status == http.StatusMisdirectedRequest && c.keyed:
		g.state.finish(a, resultAbandoned)
		g.state.recordMisdirected(c.service)
	case g.verdictOn(resp, idempotent) != relay.PassOn:
		g.state.finish(a, resultFailed)
	default:
		g.state.finish(a, resultSucceeded)
		g.state.clearCrashes(c.digest)
	}
}

// forwardedCall returns the call of a forwarded request.
func (g *Gateway) forwardedCall(in *ForwardArgs) *call {
	now := time.Now()
	c := &call{
		id: in.ID, forwarded: true, service: in.Service, keyed: in.Keyed, key: in.Key, digest: in.Digest, misdirectedBy: in.MisdirectedBy,
		route: &route.Route{Name: in.Route, Priority: in.Priority, Objective: in.Objective, Regions: in.Regions},
		start: now, deadline: now.Add(in.TimeLeft), clock: g.clock, expires: g.clock.Now() + in.TimeLeft, tried: make(map[string]bool), unreached: make(map[string]bool), overLimit: make(map[string]bool),
		body: bodyReservation{memory: g.bodyMemory},
	}
	for _, target := range in.Tried {
		c.tried[target] = true
	}
	header := in.Header
	if header == nil {
		header = make(http.Header)
	}
	c.request = &upstream.Request{
		Method: in.Method, URI: in.URI, Host: in.Host, Header: header, Body: in.Body, ID: in.ID, IDHeader: g.headers.RequestID,
	}
	return c
}

// reserveForwarded reserves a target that this VM reaches itself. A target that tells its load is asked for it,
// as for requests of this VM's own callers.
func (g *Gateway) reserveForwarded(ctx context.Context, c *call, timeLeft time.Duration) (*attempt, refusal) {
	if !c.keyed {
		return g.reserveAskedFromPool(ctx, c, timeLeft)
	}
	if reason := g.takePlace(ctx, c, timeLeft); reason != notRefused {
		return nil, refusedFull
	}
	timeLeft = c.timeLeft()
	a, reason, _ := g.state.reserveOwnerOf(ownerRequest{
		service: c.service, route: c.route, key: c.key, misdirected: c.misdirectedBy, forwarded: true, place: c.place,
	}, timeLeft)
	if a == nil || !g.tellsLoad(a) {
		return a, reason
	}
	report, err := g.ask(ctx, a, timeLeft)
	switch {
	case errors.Is(err, errNoLoadReport):
		return a, notRefused
	case errors.Is(err, errNotAdmitted):
		g.release(a)
		return nil, refusedResting
	case err != nil:
		g.release(a)
		return nil, refusedUnreached
	case report.Judge(a.work(), timeLeft) == loadreport.Refuse, a.cold && !report.HasFreeSlot():
		g.release(a)
		return nil, refusedFull
	}
	return a, notRefused
}
