// Package model defines the objects that hemlockquay keeps in the platform's store, and
// validates them before they are used.
//
// hqctl, the agent and the daemons use the same Decode, so that an object accepted by
// hqctl is not rejected later.
package model

import (
	"hemlockquay/internal/keyspace"
)

// Kind is the type of an object.
type Kind string

// The kinds of objects.
const (
	KindService    Kind = "service"
	KindContract   Kind = "contract"
	KindAssignment Kind = "assignment"
	KindAssigner   Kind = "assigner"
	KindVM         Kind = "vm"
)

// Class is the priority class of a customer's requests to a service.
type Class string

// The priority classes. Background requests are guaranteed a minimum share of the slots;
// interactive requests get the rest.
const (
	Interactive Class = "interactive"
	Background  Class = "background"
)

// Service describes one service behind the router.
type Service struct {
	// Name is the service's name in callers' paths, /s/NAME/.
	Name string `json:"name"`
	// Keyed reports that every key is owned by exactly one target.
	Keyed bool `json:"keyed,omitempty"`
	// Slices is the number of parts into which the key space is initially divided.
	// Default 64 if keyed.
	Slices int `json:"slices,omitempty"`
	// Targets are the servers of the service.
	Targets []Target `json:"targets"`
	// Slots is the number of requests that one target runs concurrently.
	Slots int `json:"slots"`
	// Connections bounds the connections to one target from all VMs together.
	Connections int `json:"connections"`
	// Deadline is the time limit of a request that sets none. Default 2s.
	Deadline Duration `json:"deadline,omitempty"`
	// MaxDeadline is the longest time limit that a request may set. Default 60s.
	MaxDeadline Duration `json:"maxDeadline,omitempty"`
	// MaxBody bounds the bodies of requests and answers, bytes. Default 1 MiB.
	MaxBody int64 `json:"maxBody,omitempty"`
	// ChecksFences reports that targets reject orders and requests whose rank is
	// below one that they have seen.
	ChecksFences bool `json:"checksFences,omitempty"`
	// Shutdown is the service's last day, UTC, inclusive. Empty means no end.
	Shutdown Date `json:"shutdown,omitzero"`
	// BackgroundFloor is the share of slots that is guaranteed to background
	// requests, 0 to 0.5. Default 0.1.
	BackgroundFloor float64 `json:"backgroundFloor,omitempty"`
	// Weights are the relative costs that the service's users assign to its metrics.
	Weights Weights `json:"weights,omitzero"`
}

// Target is one server of a service.
type Target struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
}

// Weights are the relative costs of load imbalance, moved keys and unavailable keys. Only
// their ratios matter. If all are 0, each is set to 1.
type Weights struct {
	Imbalance   float64 `json:"imbalance,omitempty"`
	Churn       float64 `json:"churn,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty"`
}

// Contract defines which services a customer may use, and with which limits.
type Contract struct {
	Customer string `json:"customer"`
	// TokenSHA256 is the SHA-256 of the customer's bearer token, hexadecimal.
	TokenSHA256 string `json:"tokenSHA256"`
	// End is the contract's last day, UTC, inclusive. Empty means no end.
	End Date `json:"end,omitzero"`
	// Services are the services that the customer may use.
	Services []Allowance `json:"services"`
}

// Allowance holds a customer's limits for one service, across all VMs.
type Allowance struct {
	Service string `json:"service"`
	// Rate is the sustained limit, requests per second.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may arrive at once, at least 1.
	Burst int `json:"burst"`
	// Concurrency bounds the customer's requests in flight.
	Concurrency int `json:"concurrency"`
	// Class is interactive or background. Default interactive.
	Class Class `json:"class,omitempty"`
	// Weight is the customer's weight in the fair queue of its class, 1 to 100.
	// Default 1.
	Weight int `json:"weight,omitempty"`
}

// TargetRef identifies one incarnation of a target.
type TargetRef struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation,omitempty"`
}

// Group is a set of slices with the same owner, standby and witness.
type Group struct {
	// ID is unique within the service and never reused.
	ID     uint64           `json:"id"`
	Slices []keyspace.Slice `json:"slices"`
	// Owner serves the slices; Standby takes over; Witness only arbitrates.
	Owner   TargetRef `json:"owner"`
	Standby TargetRef `json:"standby"`
	Witness TargetRef `json:"witness"`
	// Previous are arbiters of earlier epochs that a takeover must also include.
	Previous []TargetRef `json:"previous,omitempty"`
	// Epoch increases with each change of targets, incarnations or grantors, but not
	// when Owner and Standby are swapped or MoveTo changes.
	Epoch uint64 `json:"epoch"`
	// Grantors are the VMs that may grant the group, in order of succession.
	Grantors []string `json:"grantors"`
	// MoveTo is the durable intent of a planned move: the name of the owner or
	// standby that is to serve the group. "" means no planned move.
	MoveTo string `json:"moveTo,omitempty"`
	// Author is the incarnation of the agent that wrote the epoch.
	Author string `json:"author,omitempty"`
}

// Assignment records which targets own the groups of a service.
type Assignment struct {
	Service string  `json:"service"`
	Groups  []Group `json:"groups"`
	// NextGroup is the next unused group ID.
	NextGroup uint64 `json:"nextGroup"`
}

// Assigner is the lease of the agent that plans a service's assignment.
type Assigner struct {
	Service string `json:"service"`
	// Holder is the VM that holds the lease, Incarnation that of its agent.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Epoch increases with each change of the holder.
	Epoch uint64 `json:"epoch"`
	// Renewal increases with each renewal. A follower that sees no change for the
	// time to live, on its own clock, may take over the lease.
	Renewal uint64 `json:"renewal"`
}

// VMStatus is an agent's report about its VM.
type VMStatus struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"dataCentre"`
	AgentAddr   string `json:"agentAddr"`
	// AdminAddrs are the admin HTTP addresses of the VM's daemons.
	AdminAddrs []ProcessAddr `json:"adminAddrs,omitempty"`
	// Revision is the configuration that all daemons of the VM have in force.
	Revision uint64 `json:"revision"`
	// Problems lists the objects that the VM rejected.
	Problems []string `json:"problems,omitempty"`
}

// ProcessAddr is the admin address of one daemon.
type ProcessAddr struct {
	Process string `json:"process"`
	Addr    string `json:"addr"`
}
