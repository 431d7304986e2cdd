// Package model defines the objects that hemlockquay keeps in the platform's
// store, and the checks that they pass before any program uses them.
//
// The same Decode runs in hqctl, in the agent and in the daemons, so that an
// object which hqctl accepted cannot be refused later.
package model

import (
	"hemlockquay/internal/keyspace"
)

// Kind names a type of object.
type Kind string

// The kinds of objects.
const (
	KindService    Kind = "service"
	KindContract   Kind = "contract"
	KindAssignment Kind = "assignment"
	KindAssigner   Kind = "assigner"
	KindVM         Kind = "vm"
)

// Class is the urgency of a customer's requests to a service.
type Class string

// The classes. Background has a guaranteed floor, interactive the rest.
const (
	Interactive Class = "interactive"
	Background  Class = "background"
)

// Service describes one service behind the router.
type Service struct {
	// Name is the service's name in callers' paths, /s/NAME/.
	Name string `json:"name"`
	// Keyed says that every key has one owning target.
	Keyed bool `json:"keyed,omitempty"`
	// Slices is how many parts the key space is divided into at the start.
	// Default 64 where keyed.
	Slices int `json:"slices,omitempty"`
	// Targets are the servers of the service.
	Targets []Target `json:"targets"`
	// Slots is how many requests one target runs at a time.
	Slots int `json:"slots"`
	// Connections bounds the connections to one target, over all VMs.
	Connections int `json:"connections"`
	// Deadline is a caller's patience where it names none. Default 2s.
	Deadline Duration `json:"deadline,omitempty"`
	// MaxDeadline bounds the patience a caller may ask for. Default 60s.
	MaxDeadline Duration `json:"maxDeadline,omitempty"`
	// MaxBody bounds request and answer bodies, bytes. Default 1 MiB.
	MaxBody int64 `json:"maxBody,omitempty"`
	// ChecksFences says that targets refuse orders and requests of a rank
	// below one they have seen.
	ChecksFences bool `json:"checksFences,omitempty"`
	// Shutdown is the service's last day, UTC, inclusive; empty for none.
	Shutdown Date `json:"shutdown,omitzero"`
	// BackgroundFloor is the share of slots that background work is
	// guaranteed, 0 to 0.5. Default 0.1.
	BackgroundFloor float64 `json:"backgroundFloor,omitempty"`
	// Weights say how the users of this service weigh its measures.
	Weights Weights `json:"weights,omitzero"`
}

// Target is one server of a service.
type Target struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
}

// Weights weigh the measures of the brief against each other. Only their
// ratios matter. Each is 1 where all are 0.
type Weights struct {
	Imbalance   float64 `json:"imbalance,omitempty"`
	Churn       float64 `json:"churn,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty"`
}

// Contract says what one customer may do.
type Contract struct {
	Customer string `json:"customer"`
	// TokenSHA256 is the SHA-256 of the customer's bearer token, hexadecimal.
	TokenSHA256 string `json:"tokenSHA256"`
	// End is the contract's last day, UTC, inclusive; empty for none.
	End Date `json:"end,omitzero"`
	// Services are the services the customer may use.
	Services []Allowance `json:"services"`
}

// Allowance is a customer's limits at one service, over all VMs together.
type Allowance struct {
	Service string `json:"service"`
	// Rate is the sustained limit, requests per second.
	Rate float64 `json:"rate"`
	// Burst is how many requests may come at once, at least 1.
	Burst int `json:"burst"`
	// Concurrency bounds the customer's requests in flight.
	Concurrency int `json:"concurrency"`
	// Class is interactive or background. Default interactive.
	Class Class `json:"class,omitempty"`
	// Weight is the customer's share in the fair order of its class,
	// 1 to 100. Default 1.
	Weight int `json:"weight,omitempty"`
}

// TargetRef names a target in one incarnation.
type TargetRef struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation,omitempty"`
}

// Group is a set of slices with the same owner, standby and witness.
type Group struct {
	// ID is unique within the service and never used again.
	ID     uint64           `json:"id"`
	Slices []keyspace.Slice `json:"slices"`
	// Owner serves the slices; Standby takes over; Witness only arbitrates.
	Owner   TargetRef `json:"owner"`
	Standby TargetRef `json:"standby"`
	Witness TargetRef `json:"witness"`
	// Previous are arbiters of earlier epochs that a takeover must cover too.
	Previous []TargetRef `json:"previous,omitempty"`
	// Epoch rises with each change of targets, incarnations or grantors. A
	// swap of Owner and Standby and a change of MoveTo keep it.
	Epoch uint64 `json:"epoch"`
	// Grantors are the VMs that may grant the group, in succession.
	Grantors []string `json:"grantors"`
	// MoveTo is the durable intent of a planned move: the name of the half of
	// the pair that shall serve. "" leaves the group where it is.
	MoveTo string `json:"moveTo,omitempty"`
	// Author is the incarnation of the agent that wrote the epoch.
	Author string `json:"author,omitempty"`
}

// Assignment is the record of who owns what at a service.
type Assignment struct {
	Service string  `json:"service"`
	Groups  []Group `json:"groups"`
	// NextGroup is the next unused group ID.
	NextGroup uint64 `json:"nextGroup"`
}

// Assigner is the lease of the agent that plans a service's assignment.
type Assigner struct {
	Service string `json:"service"`
	// Holder is the VM, Incarnation its agent's.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Epoch rises with each change of the holder.
	Epoch uint64 `json:"epoch"`
	// Renewal rises with each renewal; a follower that sees the same value
	// for the time to live on its own clock may take over.
	Renewal uint64 `json:"renewal"`
}

// VMStatus is what an agent reports about its VM.
type VMStatus struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"dataCentre"`
	AgentAddr   string `json:"agentAddr"`
	// AdminAddrs are the admin HTTP addresses of the VM's daemons.
	AdminAddrs []ProcessAddr `json:"adminAddrs,omitempty"`
	// Revision is the configuration that all daemons of the VM have in force.
	Revision uint64 `json:"revision"`
	// Problems lists objects that the VM refused to put in force.
	Problems []string `json:"problems,omitempty"`
}

// ProcessAddr is the admin address of one daemon.
type ProcessAddr struct {
	Process string `json:"process"`
	Addr    string `json:"addr"`
}
