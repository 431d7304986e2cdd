package agent

import (
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// relay answers pulls, heartbeats and reports. It is safe for concurrent use.
type relay struct {
	incarnation string
	config      *configuration
	members     *members
	grants      *grantTable
	loads       *loadBook

	// seeded says that a peer was asked for the grants it knows.
	seeded atomic.Bool

	mu      sync.Mutex
	changed chan struct{}
	// state numbers live and combined; it rises when either differs.
	state    uint64
	live     []wire.Member
	combined []wire.Grant
	// retainedGrants holds combined's grants; it needs mu.
	retainedGrants *retainedGrants
	listed         []wire.Place
	daemons        map[string]daemonReport
}

// daemonReport is the last report of one of the VM's daemons.
type daemonReport struct {
	report wire.ReportArgs
	at     time.Time
}

// daemonSilence is how long a daemon may be silent before it counts as gone:
// three reports.
const daemonSilence = 1500 * time.Millisecond

// dispatchProcess is the daemon that takes requests from other VMs.
const dispatchProcess = "hq-dispatch"

// entryProcess is the daemon that shares the limits with other entries.
const entryProcess = "hq-entry"

// agentProcess is this daemon's name in reports and logs.
const agentProcess = "hq-agent"

// maxPullWait bounds how long a pull is held.
const maxPullWait = 5 * time.Second

func newRelay(incarnation string) *relay {
	return &relay{incarnation: incarnation, loads: newLoadBook(), retainedGrants: newRetainedGrants(), changed: make(chan struct{}), daemons: make(map[string]daemonReport)}
}

// broadcast wakes the pulls that wait.
func (r *relay) broadcast() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broadcastLocked()
}

// configured wakes the pulls and notifies peers of the new revision.
func (r *relay) configured() {
	r.broadcast()
	r.updateSelf()
}

func (r *relay) broadcastLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// refresh computes members and grants anew and wakes the pulls if they differ.
func (r *relay) refresh() {
	live, listed := visible(r.members.live()), r.members.places()
	reported := append(r.members.peerGrants(), r.grants.list()...)
	r.mu.Lock()
	defer r.mu.Unlock()
	combined := r.retainedGrants.merge(reported, r.members.clock.Now())
	if slices.Equal(live, r.live) && slices.Equal(listed, r.listed) && reflect.DeepEqual(combined, r.combined) {
		return
	}
	r.live, r.combined, r.listed = live, combined, listed
	r.state++
	r.broadcastLocked()
}

// refreshLive is refresh where no grant changed. It runs on each heartbeat and
// allocates one short list.
func (r *relay) refreshLive() {
	live := visible(r.members.live())
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(live, r.live) {
		return
	}
	r.live = live
	r.state++
	r.broadcastLocked()
}

// visible leaves out what changes with each configuration and what daemons do
// not use; else every change would send the whole list to every daemon.
func visible(live []wire.Member) []wire.Member {
	for i := range live {
		live[i].Revision, live[i].Held, live[i].Watching = 0, 0, false
	}
	return live
}

// Pull implements the RPC for the VM's daemons: it waits for a change.
func (r *relay) Pull(args *wire.PullArgs, reply *wire.PullReply) error {
	deadline := time.NewTimer(min(args.Wait, maxPullWait))
	defer deadline.Stop()
	for {
		changed := r.fill(args, reply)
		if reply.Changed || reply.Snapshot || len(reply.Objects)+len(reply.Deleted) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil
		}
	}
}

// Sync implements the RPC for peers: the configuration only, at once.
func (r *relay) Sync(args *wire.PullArgs, reply *wire.PullReply) error {
	reply.Source = r.incarnation
	r.config.since(args.Revision, everyKind, reply)
	return nil
}

// fill computes the reply and returns what closes at the next change.
func (r *relay) fill(args *wire.PullArgs, reply *wire.PullReply) <-chan struct{} {
	*reply = wire.PullReply{Source: r.incarnation}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config.since(args.Revision, wantedBy(args.Process), reply)
	reply.Ready = reply.Ready && r.members.settled() && r.seeded.Load()
	reply.State = r.state
	if args.Source != r.incarnation || args.State != r.state {
		reply.Changed = true
		reply.Members, reply.Grants, reply.Listed = r.live, r.combined, r.listed
	}
	return r.changed
}

func wantedBy(process string) func(model.Kind) bool {
	if process == agentProcess {
		return everyKind
	}
	return daemonKind
}

// Beat implements the RPC for heartbeats of peers.
func (r *relay) Beat(args *wire.BeatArgs, reply *wire.BeatReply) error {
	r.members.recordHeartbeat(args.Member)
	if args.Pushed {
		r.members.takeGrants(args.Member.VM, &wire.BeatReply{Member: args.Member, State: args.PushedState, Grants: args.Grants})
	}
	reply.Member = r.members.me()
	grants, state := r.grants.snapshot()
	reply.State = state
	if args.Source != r.incarnation || args.State != state {
		reply.Changed, reply.Grants = true, grants
	}
	return nil
}

// Report implements the RPC for the VM's daemons.
func (r *relay) Report(args *wire.ReportArgs, _ *wire.Empty) error {
	r.mu.Lock()
	r.daemons[args.Process] = daemonReport{*args, time.Now()}
	if args.Stopped {
		delete(r.daemons, args.Process)
	}
	r.mu.Unlock()
	r.updateSelf()
	return nil
}

// updateSelf puts into heartbeats what the VM's daemons reported.
func (r *relay) updateSelf() {
	reports := r.liveDaemons()
	revision, ready := r.config.state()
	r.members.updateSelf(func(m *wire.Member) {
		m.DispatchAddr, m.EntryAddr, m.Revision, m.Held = "", "", revision, revision
		m.Holds = ready
		for _, d := range reports {
			if d.Process == dispatchProcess && !d.Leaving {
				m.DispatchAddr = d.Addr
			}
			if d.Process == entryProcess {
				m.EntryAddr = d.Addr
			}
			m.Revision = min(m.Revision, d.Revision)
		}
	})
}

// liveDaemons returns the reports of daemons that still speak.
func (r *relay) liveDaemons() []wire.ReportArgs {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.ReportArgs
	for name, d := range r.daemons {
		if time.Since(d.at) > daemonSilence {
			delete(r.daemons, name)
			continue
		}
		out = append(out, d.report)
	}
	return out
}
