// Package wire defines the messages between hemlockquay's own processes. They are sent
// with net/rpc; see package peer.
package wire

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockquay/internal/caller"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/problem"
)

// RPC methods.
const (
	MethodDo        = "Dispatch.Do"
	MethodCancel    = "Dispatch.Cancel"
	MethodPull      = "Agent.Pull"
	MethodHeartbeat = "Agent.Beat"
	MethodReport    = "Agent.Report"
	MethodLoads     = "Agent.Loads"
	MethodSync      = "Agent.Sync"
)

// Request is a caller's request that an entry sends to a dispatcher.
type Request struct {
	// Origin is set where the request is received.
	caller.Origin `msgpack:"-"`

	// ID is unique across all entries and their restarts.
	ID       string
	Service  string
	Customer string
	Class    model.Class
	Weight   int
	// Key is the routing key, "" if the service is unkeyed.
	Key    string
	Method string
	// Path is the path and query below /s/SERVICE.
	Path   string
	Header http.Header
	Body   []byte
	// Sum is the xxhash64 of the body. On a mismatch the request is rejected;
	// a partial body is never used.
	Sum uint64
	// Budget is the time left until the caller's deadline, when the message was sent.
	Budget time.Duration
	// Idempotent reports that the request may safely run more than once.
	Idempotent bool
	// IdempotencyKey identifies the logical request across the caller's retries.
	IdempotencyKey string
}

// Answer is a target's complete answer, or the problem that is returned instead.
type Answer struct {
	ID      string
	Status  int
	Header  http.Header
	Body    []byte
	Sum     uint64
	Target  string
	Problem *problem.Error
}

// Sum returns the checksum of a body.
func Sum(body []byte) uint64 { return xxhash.Sum64(body) }

// Valid reports whether the answer belongs to the request with that ID and its body is
// complete.
func (a *Answer) Valid(id string) bool { return a.ID == id && a.Sum == Sum(a.Body) }

// ProblemAnswer returns the answer to a request that ended in a problem.
func ProblemAnswer(id string, p *problem.Error) Answer {
	return Answer{ID: id, Problem: p, Sum: Sum(nil)}
}

// CancelArgs asks a dispatcher to cancel a request whose caller disconnected.
type CancelArgs struct{ ID string }

// Empty is a reply without content.
type Empty struct{}

// Member is the agents' view of one VM.
type Member struct {
	VM           string
	DataCentre   string
	Incarnation  string
	AgentAddr    string
	DispatchAddr string
	// EntryAddr is the address on which the VM's entry accepts calls from other
	// entries.
	EntryAddr string
	// Leaving reports that the VM must get no new requests.
	Leaving bool
	// Revision is the configuration in force on all daemons of the VM, Held the
	// one that its agent holds. Both are sent between agents only.
	Revision uint64
	Held     uint64
	// Holds reports that the agent holds a configuration.
	Holds bool
	// Watching reports that the agent's watch of the store works.
	Watching bool
	// AdminAddr is the agent's admin HTTP address.
	AdminAddr string
}

// Rank orders the grantors of a group. A higher rank fences all lower ones.
type Rank struct {
	// Epoch comes from the group's record in the store.
	Epoch uint64 `json:"epoch"`
	// Succession is the grantor's position in the order of succession.
	Succession uint64 `json:"succession"`
	// Incarnation is the start time of the granting agent, nanoseconds, so that a
	// restarted agent never reuses a rank.
	Incarnation int64 `json:"incarnation"`
	// Agent is the name of the granting VM.
	Agent string `json:"agent"`
}

// Compare returns -1, 0 or 1 if r is below, equal to or above o.
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

// Grant assigns a group's slices to a target under a rank.
type Grant struct {
	Service string
	Group   uint64
	Slices  []keyspace.Slice
	Target  model.TargetRef
	Rank    Rank
}

// PullArgs asks an agent for the changes since the versions that the caller holds.
type PullArgs struct {
	// Process is the caller's name, for logs and fan-out counts.
	Process string
	// Source is the agent incarnation that the sequence numbers belong to.
	Source string
	// Revision is the configuration revision that the caller holds.
	Revision uint64
	// State is the sequence number of the members and grants that the caller holds.
	State uint64
	// Wait bounds how long the agent may hold the call while nothing changes.
	Wait time.Duration
}

// PullReply is a delta, or a snapshot if the agent cannot compute a delta.
type PullReply struct {
	// Source is the answering agent's incarnation.
	Source string
	// Ready is false while the agent itself holds no configuration.
	Ready bool
	// Snapshot reports that Objects holds all objects, not a delta.
	Snapshot bool
	Revision uint64
	Objects  []platform.Object
	Deleted  []platform.ID
	// State is the sequence number of Members and Grants. Both are complete if
	// Changed is set and empty otherwise.
	State   uint64
	Changed bool
	Members []Member
	Grants  []Grant
	// Listed holds all VMs in the platform's list, including those that do not
	// respond, sorted by name.
	Listed []Place
}

// BeatArgs is a heartbeat between agents.
type BeatArgs struct {
	Member Member
	// Source and State identify the peer's grants that the sender holds.
	Source string
	State  uint64
	// Pushed reports that Grants holds all of the sender's own grants at
	// PushedState, because they have just changed.
	Pushed      bool
	PushedState uint64
	Grants      []Grant
}

// BeatReply answers a heartbeat.
type BeatReply struct {
	Member Member
	State  uint64
	// Changed reports that State differs from the sender's. Grants then holds all of
	// the peer's own grants.
	Changed bool
	Grants  []Grant
}

// ReportArgs is a daemon's report to its agent.
type ReportArgs struct {
	Process string
	// Addr is the address on which the daemon accepts requests, if any.
	Addr string
	// Admin is the daemon's admin address.
	Admin string
	// Revision is the configuration that the daemon has in force.
	Revision uint64
	// Leaving reports that the daemon is draining, Stopped that it has drained.
	Leaving bool
	Stopped bool
	// Problems lists the objects that the daemon rejected.
	Problems []string
	// Loads holds the hottest groups of a dispatcher, at most MaxLoads.
	Loads []GroupLoad
}

// MaxLoads bounds the groups in one report. Placement moves only the hottest groups; for
// the others an even distribution is a good enough estimate.
const MaxLoads = 256

// GroupLoad is the rate of requests, per second, that one dispatcher or one VM received
// for a group of slices.
type GroupLoad struct {
	Service string
	Group   uint64
	Rate    float64
}

// LoadsArgs reports a VM's load for each group to a service's assigner.
type LoadsArgs struct {
	VM    string
	Loads []GroupLoad
}
