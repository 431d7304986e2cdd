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

	// grantsSeeded is set once the agent has requested a peer's grants, or gave up trying.
	grantsSeeded atomic.Bool

	mu      sync.Mutex
	changed chan struct{}
	// state numbers liveMembers, allGrants and listedPlaces. It increases when one of them
	// changes.
	state       uint64
	liveMembers []wire.Member
	allGrants   []wire.Grant
	// retainedGrants computes allGrants.
	retainedGrants *retainedGrants
	listedPlaces   []wire.Place
	daemons        map[string]daemonReport
}

// daemonReport is the last report of one of the VM's daemons.
type daemonReport struct {
	report     wire.ReportArgs
	receivedAt time.Time
}

// daemonTimeout is how long a daemon may send no report before it counts as stopped. It spans
// three reports.
const daemonTimeout = 1500 * time.Millisecond

// dispatchProcess is the daemon that receives requests from other VMs.
const dispatchProcess = "hq-dispatch"

// entryProcess is the daemon that shares the contracts' limits with other entries.
const entryProcess = "hq-entry"

// agentProcess is the agent's own name in reports and logs.
const agentProcess = "hq-agent"

// maxPullWait bounds how long a pull waits for a change.
const maxPullWait = 5 * time.Second

func newRelay(incarnation string) *relay {
	return &relay{incarnation: incarnation, loads: newLoadTable(), retainedGrants: newRetainedGrants(), changed: make(chan struct{}), daemons: make(map[string]daemonReport)}
}

// wakePulls wakes the waiting pulls.
func (r *relay) wakePulls() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakePullsLocked()
}

// configurationChanged wakes the waiting pulls and puts the new revision into heartbeats.
func (r *relay) configurationChanged() {
	r.wakePulls()
	r.updateSelf()
}

func (r *relay) wakePullsLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// refresh recomputes members and grants, and wakes the waiting pulls if they have changed.
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

// refreshMembers is refresh for changes that do not affect grants. It runs on each heartbeat and
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

// withoutAgentFields clears the fields that change with each configuration or that daemons do not
// use. Otherwise every change would send the whole list to every daemon.
func withoutAgentFields(members []wire.Member) []wire.Member {
	for i := range members {
		members[i].Revision, members[i].Held, members[i].Watching = 0, 0, false
	}
	return members
}

// Pull implements the RPC with which the VM's daemons wait for changes.
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

// Sync implements the RPC for peers. It returns changes of the configuration only, without
// waiting.
func (r *relay) Sync(args *wire.PullArgs, reply *wire.PullReply) error {
	reply.Source = r.incarnation
	r.config.changesSince(args.Revision, allKinds, reply)
	return nil
}

// fillReply fills in the reply and returns a channel that is closed at the next change.
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

// Beat implements the RPC with which peers send heartbeats.
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

// Report implements the RPC with which the VM's daemons report their state.
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

// updateSelf puts the reports of the VM's daemons and the current revision into heartbeats.
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

// liveDaemons returns the last reports of daemons that have reported within daemonTimeout, and
// removes the others.
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
