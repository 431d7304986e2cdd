// Package wire holds the messages between hemlockquay's own processes. They
// travel by net/rpc; see package peer.
package wire

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/problem"
)

// RPC methods.
const (
	MethodDo     = "Dispatch.Do"
	MethodCancel = "Dispatch.Cancel"
	MethodPull   = "Agent.Pull"
	MethodBeat   = "Agent.Beat"
	MethodReport = "Agent.Report"
	MethodLoads  = "Agent.Loads"
	MethodSync   = "Agent.Sync"
)

// Request is a caller's request in flight from an entry to a dispatcher.
type Request struct {
	// ID is unique over all entries and their restarts.
	ID       string
	Service  string
	Customer string
	Class    model.Class
	Weight   int
	// Key is the routing key; "" where the service is unkeyed.
	Key    string
	Method string
	// Path is the path and query below /s/SERVICE.
	Path   string
	Header http.Header
	Body   []byte
	// Sum is the body's xxhash64; a mismatch is an error, never a part.
	Sum uint64
	// Budget is the time left until the caller's deadline when it was sent.
	Budget time.Duration
	// Idempotent says that running it twice does no harm.
	Idempotent bool
	// IdempotencyKey names the logical request across the caller's repeats.
	IdempotencyKey string
}

// Answer is a target's whole answer, or the problem in its place.
type Answer struct {
	ID      string
	Status  int
	Header  http.Header
	Body    []byte
	Sum     uint64
	Target  string
	Problem *problem.Error
}

// Sum returns the checksum that goes with a body.
func Sum(body []byte) uint64 { return xxhash.Sum64(body) }

// Whole reports whether the answer belongs to the request and is complete.
func (a *Answer) Whole(id string) bool { return a.ID == id && a.Sum == Sum(a.Body) }

// Refused returns the answer of a request that ended in a problem.
func Refused(id string, p *problem.Error) Answer { return Answer{ID: id, Problem: p, Sum: Sum(nil)} }

// CancelArgs asks a dispatcher to drop a request whose caller went away.
type CancelArgs struct{ ID string }

// Empty is a reply without content.
type Empty struct{}

// Member is one VM as the agents see it.
type Member struct {
	VM           string
	DataCentre   string
	Incarnation  string
	AgentAddr    string
	DispatchAddr string
	// EntryAddr is where the VM's entry takes calls of other entries.
	EntryAddr string
	// Leaving VMs get no new work.
	Leaving bool
	// Revision is the configuration in force on all daemons of the VM, and
	// Held the one that its agent holds. Both are sent between agents only.
	Revision uint64
	Held     uint64
	// Holds says that the agent holds a configuration at all.
	Holds bool
	// Watching says that the agent's watch of the store works.
	Watching bool
	// AdminAddr is the agent's admin HTTP address.
	AdminAddr string
}

// Rank orders the grantors of a group. A higher one fences all lower ones.
type Rank struct {
	// Epoch comes from the group's record in the store.
	Epoch uint64 `json:"epoch"`
	// Succession is the grantor's place in the line of succession.
	Succession uint64 `json:"succession"`
	// Incarnation is when the granting agent started, nanoseconds; a
	// restarted agent never uses a rank of its earlier life.
	Incarnation int64 `json:"incarnation"`
	// Agent is the granting VM.
	Agent string `json:"agent"`
}

// Compare returns -1, 0 or 1 as r is below, equal to or above o.
func (r Rank) Compare(o Rank) int {
	switch {
	case r.Epoch != o.Epoch:
		return sign(r.Epoch < o.Epoch)
	case r.Succession != o.Succession:
		return sign(r.Succession < o.Succession)
	case r.Incarnation != o.Incarnation:
		return sign(r.Incarnation < o.Incarnation)
	case r.Agent != o.Agent:
		return sign(r.Agent < o.Agent)
	}
	return 0
}

func sign(below bool) int {
	if below {
		return -1
	}
	return 1
}

// Grant says which target serves a group's slices, and by which rank.
type Grant struct {
	Service string
	Group   uint64
	Slices  []keyspace.Slice
	Target  model.TargetRef
	Rank    Rank
}

// PullArgs asks an agent for what changed since the versions the caller holds.
type PullArgs struct {
	// Process is the asker, for logs and fan-out counts.
	Process string
	// Source is the agent incarnation that the sequence numbers belong to.
	Source string
	// Revision is the configuration revision held.
	Revision uint64
	// State is the sequence number held of members and grants.
	State uint64
	// Wait bounds how long the agent may hold the call until something changes.
	Wait time.Duration
}

// PullReply is a delta, or a snapshot where the agent cannot give a delta.
type PullReply struct {
	// Source is the answering agent's incarnation.
	Source string
	// Ready is false while the agent itself holds no configuration.
	Ready bool
	// Snapshot says that Objects is everything, not a delta.
	Snapshot bool
	Revision uint64
	Objects  []platform.Object
	Deleted  []platform.ID
	// State numbers Members and Grants, which come whole when it changed.
	State   uint64
	Changed bool
	Members []Member
	Grants  []Grant
	// Listed are all VMs of the platform's list, silent ones too, by name.
	Listed []Place
}

// BeatArgs is a heartbeat between agents.
type BeatArgs struct {
	Member Member
	// Source and State name the grants of the peer that the sender holds.
	Source string
	State  uint64
	// Pushed says that Grants are the sender's own grants, whole, at its
	// PushedState: they changed a moment ago.
	Pushed      bool
	PushedState uint64
	Grants      []Grant
}

// BeatReply answers a heartbeat.
type BeatReply struct {
	Member Member
	State  uint64
	// Grants are the peer's own grants, whole, when State differs from the
	// sender's.
	Changed bool
	Grants  []Grant
}

// ReportArgs is what a daemon reports to its agent.
type ReportArgs struct {
	Process string
	// Addr is the daemon's address for data, if it takes any.
	Addr string
	// Admin is the daemon's admin address.
	Admin string
	// Revision is the configuration that the daemon has in force.
	Revision uint64
	// Leaving says that the daemon drains, Stopped that it has drained.
	Leaving bool
	Stopped bool
	// Problems lists objects that it could not put in force.
	Problems []string
	// Loads are the hottest groups of a dispatcher, at most MaxLoads.
	Loads []GroupLoad
}

// MaxLoads bounds the groups in one report. Placement moves the hottest; the
// rest is known well enough as an even spread.
const MaxLoads = 256

// GroupLoad is the requests per second that one dispatcher, or one VM, took for
// a group of slices.
type GroupLoad struct {
	Service string
	Group   uint64
	Rate    float64
}

// LoadsArgs reports to a service's assigner what a VM takes for its groups.
type LoadsArgs struct {
	VM    string
	Loads []GroupLoad
}
