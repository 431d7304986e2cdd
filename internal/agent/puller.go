package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/pause"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/wire"
)

// watchGrace is how long an agent with a working watch waits for the store's event before it
// queries a peer. The event is already on its way and costs no further call.
const watchGrace = 300 * time.Millisecond

// syncTimeout bounds one query to a peer. A snapshot of several megabytes takes well under a
// second between data centres.
const syncTimeout = 3 * time.Second

// puller fetches changes from a peer that do not arrive from the store. It runs in one goroutine.
//
// Heartbeats report each peer's revision, so nothing is queried while there are no changes, and
// each change costs an agent without a watch one delta from one peer. The peer is chosen at
// random among those with a newer revision, preferably in the own data centre, so that no peer
// has to answer all the others. Changes spread epidemically, so the agents with a watch answer
// only a few queries.
type puller struct {
	config   *configuration
	members  *members
	watch    *watcher
	peers    *peer.Pool
	interval time.Duration
	log      *log.Logger

	// synced is set once this process has synchronised with a peer.
	synced      bool
	behindSince time.Time

	syncs, snapshots, olderRefused metrics.Counter
}

func newPuller(a *agent, w *watcher) *puller {
	return &puller{
		config: a.config, members: a.members, watch: w, peers: a.peers, interval: a.Settings.Heartbeat.D(), log: a.Log,
		syncs:        metrics.GetOrRegisterCounter("config.syncs", a.Registry),
		snapshots:    metrics.GetOrRegisterCounter("config.snapshots", a.Registry),
		olderRefused: metrics.GetOrRegisterCounter("config.refused.older", a.Registry),
	}
}

func (p *puller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if addr := p.choosePeer(time.Now()); addr != "" {
			p.sync(ctx, addr)
		}
		pause.For(ctx, p.interval/4+rand.N(p.interval/4))
	}
}

// choosePeer returns the address of the peer to query now, or "".
func (p *puller) choosePeer(now time.Time) string {
	revision, ready := p.config.heldRevision()
	near, far := p.members.peersAhead(revision, ready)
	if len(near)+len(far) == 0 {
		p.behindSince = time.Time{}
		return ""
	}
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	if p.watch.working() && now.Sub(p.behindSince) < watchGrace {
		return ""
	}
	if len(near) > 0 {
		return near[rand.N(len(near))]
	}
	return far[rand.N(len(far))]
}

// sync queries one peer. The configuration of a restarted agent may come from another history
// than its peers', so the first query requests a snapshot.
func (p *puller) sync(ctx context.Context, addr string) {
	base := uint64(0)
	if p.synced {
		base, _ = p.config.heldRevision()
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply wire.PullReply
	p.syncs.Inc(1)
	err := p.peers.Get(addr).Call(ctx, wire.MethodSync, &wire.PullArgs{Process: agentProcess, Revision: base}, &reply)
	if err == nil {
		err = p.config.applyReply(base, &reply)
	}
	if err != nil {
		p.logFailure(addr, err)
		return
	}
	if reply.Snapshot {
		p.snapshots.Inc(1)
	}
	p.synced = true
}

func (p *puller) logFailure(addr string, err error) {
	if errors.Is(err, errOlderRevision) {
		p.olderRefused.Inc(1)
	}
	p.log.Warn().Err(fmt.Errorf("sync with %s: %w", addr, err)).Str("step", "sync").Str("peer", addr).Msg("cannot get the configuration from the peer")
}
