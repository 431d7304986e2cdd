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

// watchGrace is how long an agent whose watch works waits for the store before
// it asks a peer: the store's event is in flight and costs nothing more.
const watchGrace = 300 * time.Millisecond

// syncTimeout bounds one question to a peer; a snapshot of some megabytes takes
// well under a second between data centres.
const syncTimeout = 3 * time.Second

// puller fetches from a peer what the store does not bring. It is one goroutine.
//
// Heartbeats report which revision each peer holds, so at rest no question is
// asked, and a change costs each agent without a watch one delta from one peer.
// The peer is drawn at random among those ahead, the own data centre first: no
// peer has to answer all. The answers spread as an epidemic does, so that the
// agents with a watch are asked by few.
type puller struct {
	config   *configuration
	members  *members
	watch    *watcher
	peers    *peer.Pool
	interval time.Duration
	log      *log.Logger

	// synced says that a snapshot of a peer was taken in this life.
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

// choosePeer returns the peer to ask now, or "".
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

// sync asks one peer.
// The base of a restarted agent may belong to another history than the peers', so its first query
// asks for everything.
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
	p.log.Warn().Err(fmt.Errorf("sync with %s: %w", addr, err)).Str("step", "sync").Str("peer", addr).Msg("no configuration from the peer")
}
