package agent

import (
	"reflect"
	"sync"
	"time"

	"hemlockquay/internal/wire"
)

// relay answers pulls, heartbeats and reports. It is safe for concurrent use.
type relay struct {
	incarnation string
	config      *configuration
	members     *members
	grants      *grantTable

	mu      sync.Mutex
	changed chan struct{}
	// state numbers live and combined; it rises when either differs.
	state    uint64
	live     []wire.Member
	combined []wire.Grant
	listed   []wire.Place
	daemons  map[string]daemonReport
}

// daemonReport is the last word of one of the VM's daemons.
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

// maxPullWait bounds how long a pull is held.
const maxPullWait = 5 * time.Second

func newRelay(incarnation string) *relay {
	return &relay{incarnation: incarnation, changed: make(chan struct{}), daemons: make(map[string]daemonReport)}
}

// broadcast wakes the pulls that wait.
func (r *relay) broadcast() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broadcastLocked()
}

func (r *relay) broadcastLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// refresh computes members and grants anew and wakes the pulls if they differ.
func (r *relay) refresh() {
	live, listed := r.members.live(), r.members.places()
	combined := highestRanks(append(r.members.peerGrants(), r.grants.list()...))
	r.mu.Lock()
	defer r.mu.Unlock()
	if reflect.DeepEqual(live, r.live) && reflect.DeepEqual(combined, r.combined) && reflect.DeepEqual(listed, r.listed) {
		return
	}
	r.live, r.combined, r.listed = live, combined, listed
	r.state++
	r.broadcastLocked()
}

// Pull implements the RPC for daemons and peers: it waits for a change.
func (r *relay) Pull(args *wire.PullArgs, reply *wire.PullReply) error {
	deadline := time.NewTimer(min(args.Wait, maxPullWait))
	defer deadline.Stop()
	for {
		changed := r.fill(args, reply)
		if reply.Changed || reply.Revision > args.Revision {
			return nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil
		}
	}
}

// fill computes the reply and returns what closes at the next change.
func (r *relay) fill(args *wire.PullArgs, reply *wire.PullReply) <-chan struct{} {
	*reply = wire.PullReply{Source: r.incarnation}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config.since(args.Revision, reply)
	reply.State = r.state
	if args.Source != r.incarnation || args.State != r.state {
		reply.Changed = true
		reply.Members, reply.Grants, reply.Listed = r.live, r.combined, r.listed
	}
	return r.changed
}

// Beat implements the RPC for heartbeats of peers.
func (r *relay) Beat(args *wire.BeatArgs, reply *wire.BeatReply) error {
	r.members.heard(args.Member)
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
	r.mu.Unlock()
	r.updateSelf()
	return nil
}

// updateSelf tells heartbeats what the VM's daemons reported.
func (r *relay) updateSelf() {
	reports := r.liveDaemons()
	revision, _ := r.config.state()
	r.members.updateSelf(func(m *wire.Member) {
		m.DispatchAddr, m.EntryAddr, m.Revision = "", "", revision
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
