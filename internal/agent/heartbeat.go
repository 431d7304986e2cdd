package agent

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/wire"
)

// heartbeater sends heartbeats to all listed peers. It runs in one goroutine, plus one for each
// heartbeat in flight.
type heartbeater struct {
	members  *members
	peers    *peer.Pool
	interval time.Duration
	// seedAddrs are agents to contact until the platform's list is known.
	seedAddrs []string
	// grants are pushed to the peers when grantsChanged signals a change, because a key whose
	// owner was lost is served again only when dispatchers know its new owner.
	grants        *grantTable
	grantsChanged <-chan struct{}
	log           *log.Logger

	mu       sync.Mutex
	inFlight map[string]bool
}

func (h *heartbeater) run(ctx context.Context) {
	tick := time.NewTicker(h.interval)
	defer tick.Stop()
	last := h.members.clock.Now()
	for {
		select {
		case <-tick.C:
			now := h.members.clock.Now()
			if gap := now - last; gap > h.members.silenceTimeout/2 {
				h.members.excludePause(gap)
			}
			last = now
			h.sendHeartbeats(ctx)
			// A peer whose silence exceeds its timeout stops being live without any event.
			h.members.changed()
		case <-h.grantsChanged:
			for vm, addr := range h.members.peerAddrs() {
				go h.pushGrants(ctx, vm, addr)
			}
			pause.For(ctx, minPushInterval)
		case <-ctx.Done():
			return
		}
	}
}

// minPushInterval is the shortest time between two pushes of grants. It combines the changes that
// one loss causes.
const minPushInterval = 5 * time.Millisecond

// pushGrants sends a heartbeat that carries this agent's grants. If it is lost, the peer gets the
// grants in reply to its own next heartbeat.
func (h *heartbeater) pushGrants(ctx context.Context, vm, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*h.interval)
	defer cancel()
	source, state := h.members.grantsHeld(vm)
	args := wire.BeatArgs{Member: h.members.selfMember(), Source: source, State: state, Pushed: true}
	args.Grants, args.PushedState = h.grants.snapshot()
	var reply wire.BeatReply
	if err := h.peers.Get(addr).Call(ctx, wire.MethodHeartbeat, &args, &reply); err != nil {
		h.log.Debug().Err(err).Str("step", "push-grants").Str("peer", vm).Msg("cannot push grants to the peer")
	}
}

func (h *heartbeater) sendHeartbeats(ctx context.Context) {
	known := make(map[string]bool)
	for vm, addr := range h.members.peerAddrs() {
		known[addr] = true
		h.startHeartbeat(ctx, vm, addr)
	}
	if h.members.isListRead() {
		return
	}
	for _, addr := range h.seedAddrs {
		if !known[addr] {
			h.startHeartbeat(ctx, addr, addr)
		}
	}
}

// startHeartbeat sends a heartbeat in the background, unless the previous one is still in flight.
func (h *heartbeater) startHeartbeat(ctx context.Context, vm, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[vm] {
		return
	}
	h.inFlight[vm] = true
	go func() {
		h.sendHeartbeat(ctx, vm, addr)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.inFlight, vm)
	}()
}

func (h *heartbeater) sendHeartbeat(ctx context.Context, vm, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*h.interval)
	defer cancel()
	source, state := h.members.grantsHeld(vm)
	args := wire.BeatArgs{Member: h.members.selfMember(), Source: source, State: state}
	var reply wire.BeatReply
	if err := h.peers.Get(addr).Call(ctx, wire.MethodHeartbeat, &args, &reply); err != nil {
		h.log.Debug().Err(err).Str("step", "heartbeat").Str("peer", vm).Msg("heartbeat not answered")
		return
	}
	h.members.recordHeartbeat(reply.Member)
	if reply.Changed {
		h.members.setPeerGrants(reply.Member.VM, &reply)
	}
}
