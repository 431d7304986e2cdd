// Package platform defines the interface to the platform that the system runs on: its
// object store and its list of VMs.
//
// The store holds all durable state. It has versions, conditional writes and
// watches. It may be down or slow for a long time, and an answer may be lost after its
// write took effect. Package objectapi implements its HTTP protocol; package memstore
// is an in-memory store for tests and the stand-in. Both pass the suite in package
// conformance.
package platform

import (
	"context"
	"encoding/json"
	"errors"

	"hemlockquay/internal/model"
)

// Errors of a Store. Any other error means that the store rejected the call, and
// that retrying it does not help.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports that the object's version is not the expected one. The
	// write did not take effect.
	ErrConflict = errors.New("version conflict")
	// ErrGone reports that the store cannot start a watch at the requested revision.
	ErrGone = errors.New("revision too old")
	// ErrUnavailable reports that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrAmbiguous reports that the answer was lost: a write may have taken
	// effect. See Write.
	ErrAmbiguous = errors.New("store answer lost")
)

// Object is one stored object. Its spec is the JSON encoding of the kind's model type.
type Object struct {
	Kind model.Kind `json:"kind"`
	Name string     `json:"name"`
	// Version is the store's revision at the object's last change. In a write, 0
	// requires that the object does not exist.
	Version uint64 `json:"version"`
	// Writer is the tag of the write that produced this version.
	Writer string          `json:"writer"`
	Spec   json.RawMessage `json:"spec"`
}

// ID identifies an object.
type ID struct {
	Kind model.Kind `json:"kind"`
	Name string     `json:"name"`
}

// ID returns the object's identifier.
func (o Object) ID() ID { return ID{o.Kind, o.Name} }

// EventType is the type of a change to an object.
type EventType string

// Types of watch events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
	// EventBookmark carries only the current revision. It shows that a watch without
	// changes is still connected.
	EventBookmark EventType = "bookmark"
)

// Event is one change. Revision is the store's revision after the change.
type Event struct {
	Type     EventType `json:"type"`
	Object   Object    `json:"object"`
	Revision uint64    `json:"revision"`
}

// Listing holds all objects at one revision.
type Listing struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
	// Refused are the entries of the store that could not be decoded.
	Refused []Refused `json:"refused,omitempty"`
}

// Refused is an entry of the store that could not be decoded. It costs no other entry.
type Refused struct {
	// Name is the object's name, or "" if that could not be decoded either.
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// VMState is the platform's view of a VM. It may be out of date.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry in the platform's list of VMs.
type VM struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"dataCentre"`
	AgentAddr  string  `json:"agentAddr"`
	State      VMState `json:"state"`
}

// Store is the platform's object store and list of VMs. Every method honours the
// context's deadline and counts as one call against the store's rate limits; this
// includes a watch, however long it runs.
type Store interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, id ID) (Object, error)
	// List returns all objects.
	List(ctx context.Context) (Listing, error)
	// Put writes the object if its stored version is o.Version and returns it
	// with its new version. It may return ErrConflict or ErrAmbiguous.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if its stored version is o.Version.
	Delete(ctx context.Context, o Object) error
	// Watch calls handle for every change after the revision from, in order, until
	// the context is done, the watch breaks or handle returns an error. It returns
	// ErrGone if it cannot start at from.
	Watch(ctx context.Context, from uint64, handle func(Event) error) error
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
