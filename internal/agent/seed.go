package agent

import (
	"context"

	"hemlockquay/internal/pause"
	"hemlockquay/internal/wire"
)

// seedGrants requests the grants of all groups from one peer when the agent starts. No peer
// reports grants of this agent's previous incarnation as its own, but peers that received its
// heartbeats still have them. Without any answer the agent continues after settleTimeout.
func (a *agent) seedGrants(ctx context.Context) {
	defer a.relay.grantsSeeded.Store(true)
	start := a.relay.members.clock.Now()
	for ctx.Err() == nil && a.relay.members.clock.Now()-start < settleTimeout {
		addrs := a.members.peerAddrs()
		if len(addrs) == 0 && a.members.isListRead() {
			return
		}
		for vm, addr := range addrs {
			if a.fetchGrants(ctx, vm, addr) {
				return
			}
		}
		pause.For(ctx, a.Settings.Heartbeat.D())
	}
}

func (a *agent) fetchGrants(ctx context.Context, vm, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*a.Settings.Heartbeat.D())
	defer cancel()
	revision, _ := a.config.heldRevision()
	args := wire.PullArgs{Process: agentProcess, Revision: revision}
	var reply wire.PullReply
	if err := a.peers.Get(addr).Call(ctx, wire.MethodPull, &args, &reply); err != nil {
		a.Log.Debug().Err(err).Str("step", "seed-grants").Str("peer", vm).Msg("cannot get grants from the peer")
		return false
	}
	a.relay.addGrants(reply.Grants)
	return reply.Ready
}

// addGrants adds grants that a peer has reported.
func (r *relay) addGrants(grants []wire.Grant) {
	r.mu.Lock()
	r.retainedGrants.merge(grants, r.members.clock.Now())
	r.mu.Unlock()
	r.refresh()
}
