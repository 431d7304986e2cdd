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
	members *members
	peers   *peer.Pool
	every   time.Duration
	// seeds are agents to ask while the platform's list is not known.
	seeds []string
	// grants are pushed when pushes signals that they changed: a key that was
	// lost is served again as soon as dispatchers know its new owner.
	grants *grantTable
	pushes <-chan struct{}
	log    *log.Logger

	mu   sync.Mutex
	busy map[string]bool
}

func (h *heartbeater) run(ctx context.Context) {
	tick := time.NewTicker(h.every)
	defer tick.Stop()
	last := h.members.clock.Now()
	for {
		select {
		case <-tick.C:
			now := h.members.clock.Now()
			if gap := now - last; gap > h.members.silence/2 {
				h.members.resumed(gap)
			}
			last = now
			h.sendHeartbeats(ctx)
			// A peer that fell silent leaves the list without any event.
			h.members.changed()
		case <-h.pushes:
			for vm, addr := range h.members.addrs() {
				go h.push(ctx, vm, addr)
			}
			pause.For(ctx, pushPause)
		case <-ctx.Done():
			return
		}
	}
}

// pushPause bounds how often changed grants are pushed; changes of one loss come
// together.
const pushPause = 5 * time.Millisecond

// push sends a heartbeat with this agent's grants. If it is lost, the peer gets
// them by its own next heartbeat.
func (h *heartbeater) push(ctx context.Context, vm, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*h.every)
	defer cancel()
	source, state := h.members.grantsHeld(vm)
	args := wire.BeatArgs{Member: h.members.me(), Source: source, State: state, Pushed: true}
	args.Grants, args.PushedState = h.grants.snapshot()
	var reply wire.BeatReply
	if err := h.peers.Get(addr).Call(ctx, wire.MethodHeartbeat, &args, &reply); err != nil {
		h.log.Debug().Err(err).Str("step", "push-grants").Str("peer", vm).Msg("no answer")
	}
}

func (h *heartbeater) sendHeartbeats(ctx context.Context) {
	known := make(map[string]bool)
	for vm, addr := range h.members.addrs() {
		known[addr] = true
		h.beat(ctx, vm, addr)
	}
	if h.members.isListed() {
		return
	}
	for _, addr := range h.seeds {
		if !known[addr] {
			h.beat(ctx, addr, addr)
		}
	}
}

// beat sends one heartbeat unless the last is still in flight.
func (h *heartbeater) beat(ctx context.Context, vm, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy[vm] {
		return
	}
	h.busy[vm] = true
	go func() {
		h.send(ctx, vm, addr)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.busy, vm)
	}()
}

func (h *heartbeater) send(ctx context.Context, vm, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*h.every)
	defer cancel()
	source, state := h.members.grantsHeld(vm)
	args := wire.BeatArgs{Member: h.members.me(), Source: source, State: state}
	var reply wire.BeatReply
	if err := h.peers.Get(addr).Call(ctx, wire.MethodHeartbeat, &args, &reply); err != nil {
		h.log.Debug().Err(err).Str("step", "heartbeat").Str("peer", vm).Msg("no answer")
		return
	}
	h.members.recordHeartbeat(reply.Member)
	if reply.Changed {
		h.members.takeGrants(reply.Member.VM, &reply)
	}
}
