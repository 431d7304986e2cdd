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
	loads       *loadTable

	// grantsSeeded says that a peer was asked for the grants it knows.
	grantsSeeded atomic.Bool

	mu      sync.Mutex
	changed chan struct{}
	// state numbers live and combined; it rises when either differs.
	state       uint64
	liveMembers []wire.Member
	allGrants   []wire.Grant
	// retainedGrants holds combined's grants; it needs mu.
	retainedGrants *retainedGrants
	listedPlaces   []wire.Place
	daemons        map[string]daemonReport
}

// daemonReport is the last report of one of the VM's daemons.
type daemonReport struct {
	report     wire.ReportArgs
	receivedAt time.Time
}

// daemonTimeout is how long a daemon may be silent before it counts as gone:
// three reports.
const daemonTimeout = 1500 * time.Millisecond

// dispatchProcess is the daemon that takes requests from other VMs.
const dispatchProcess = "hq-dispatch"

// entryProcess is the daemon that shares the limits with other entries.
const entryProcess = "hq-entry"

// agentProcess is this daemon's name in reports and logs.
const agentProcess = "hq-agent"

// maxPullWait bounds how long a pull is held.
const maxPullWait = 5 * time.Second

func newRelay(incarnation string) *relay {
	return &relay{incarnation: incarnation, loads: newLoadTable(), retainedGrants: newRetainedGrants(), changed: make(chan struct{}), daemons: make(map[string]daemonReport)}
}

// wakePulls wakes the pulls that wait.
func (r *relay) wakePulls() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakePullsLocked()
}

// configurationChanged wakes the pulls and notifies peers of the new revision.
func (r *relay) configurationChanged() {
	r.wakePulls()
	r.updateSelf()
}

func (r *relay) wakePullsLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// refresh computes members and grants anew and wakes the pulls if they differ.
func (r *relay) refresh() {
	live, listed := withoutAgentFields(r.members.live()), r.members.listedPlaces()
	reported := append(r.members.peerGrants(), r.grants.list()...)
	r.mu.Lock()
	defer r.mu.Unlock()
	combined := r.retainedGrants.merge(reported, r.members.clock.Now())
	if slices.Equal(live, r.liveMembers) && slices.Equal(listed, r.listedPlaces) && reflect.DeepEqual(combined, r.allGrants) {
		return
	}
	r.liveMembers, r.allGrants, r.listedPlaces = live, combined, listed
	r.state++
	r.wakePullsLocked()
}

// refreshMembers is refresh where no grant changed. It runs on each heartbeat and
// allocates one short list.
func (r *relay) refreshMembers() {
	live := withoutAgentFields(r.members.live())
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(live, r.liveMembers) {
		return
	}
	r.liveMembers = live
	r.state++
	r.wakePullsLocked()
}

// withoutAgentFields leaves out what changes with each configuration and what daemons do
// not use; else every change would send the whole list to every daemon.
func withoutAgentFields(members []wire.Member) []wire.Member {
	for i := range members {
		members[i].Revision, members[i].Held, members[i].Watching = 0, 0, false
	}
	return members
}

// Pull implements the RPC for the VM's daemons: it waits for a change.
func (r *relay) Pull(args *wire.PullArgs, reply *wire.PullReply) error {
	deadline := time.NewTimer(min(args.Wait, maxPullWait))
	defer deadline.Stop()
	for {
		changed := r.fillReply(args, reply)
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
	r.config.changesSince(args.Revision, allKinds, reply)
	return nil
}

// fillReply computes the reply and returns what closes at the next change.
func (r *relay) fillReply(args *wire.PullArgs, reply *wire.PullReply) <-chan struct{} {
	*reply = wire.PullReply{Source: r.incarnation}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config.changesSince(args.Revision, kindsFor(args.Process), reply)
	reply.Ready = reply.Ready && r.members.settled() && r.grantsSeeded.Load()
	reply.State = r.state
	if args.Source != r.incarnation || args.State != r.state {
		reply.Changed = true
		reply.Members, reply.Grants, reply.Listed = r.liveMembers, r.allGrants, r.listedPlaces
	}
	return r.changed
}

func kindsFor(process string) func(model.Kind) bool {
	if process == agentProcess {
		return allKinds
	}
	return isDaemonKind
}

// Beat implements the RPC for heartbeats of peers.
func (r *relay) Beat(args *wire.BeatArgs, reply *wire.BeatReply) error {
	r.members.recordHeartbeat(args.Member)
	if args.Pushed {
		r.members.setPeerGrants(args.Member.VM, &wire.BeatReply{Member: args.Member, State: args.PushedState, Grants: args.Grants})
	}
	reply.Member = r.members.selfMember()
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
	revision, ready := r.config.heldRevision()
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
		if time.Since(d.receivedAt) > daemonTimeout {
			delete(r.daemons, name)
			continue
		}
		out = append(out, d.report)
	}
	return out
}
