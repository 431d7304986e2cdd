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

// heartbeater sends heartbeats to all listed peers. It is one goroutine and one for
// each heartbeat in flight.
type heartbeater struct {
	members  *members
	peers    *peer.Pool
	interval time.Duration
	// seedAddrs are agents to ask while the platform's list is not known.
	seedAddrs []string
	// grants are pushed when pushes signals that they changed: a key that was
	// lost is served again as soon as dispatchers know its new owner.
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
			// A peer that fell silent leaves the list without any event.
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

// minPushInterval bounds how often changed grants are pushed; changes of one loss come
// together.
const minPushInterval = 5 * time.Millisecond

// pushGrants sends a heartbeat with this agent's grants. If it is lost, the peer gets
// them by its own next heartbeat.
func (h *heartbeater) pushGrants(ctx context.Context, vm, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*h.interval)
	defer cancel()
	source, state := h.members.grantsHeld(vm)
	args := wire.BeatArgs{Member: h.members.selfMember(), Source: source, State: state, Pushed: true}
	args.Grants, args.PushedState = h.grants.snapshot()
	var reply wire.BeatReply
	if err := h.peers.Get(addr).Call(ctx, wire.MethodBeat, &args, &reply); err != nil {
		h.log.Debug().Err(err).Str("step", "push-grants").Str("peer", vm).Msg("no answer")
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

// startHeartbeat sends one heartbeat unless the last is still in flight.
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
	if err := h.peers.Get(addr).Call(ctx, wire.MethodBeat, &args, &reply); err != nil {
		h.log.Debug().Err(err).Str("step", "heartbeat").Str("peer", vm).Msg("no answer")
		return
	}
	h.members.recordHeartbeat(reply.Member)
	if reply.Changed {
		h.members.setPeerGrants(reply.Member.VM, &reply)
	}
}
