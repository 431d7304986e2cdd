// Package platform is the port to the platform that the system runs on: its
// object store and its list of VMs.
//
// The store is the only place that keeps anything. It has versions, conditional
// writes and watches. It may be down or slow for long, and an answer may be lost
// after its write took effect. Package objectapi speaks its protocol, package
// memstore is an in-memory one for tests and the stand-in; both pass the suite
// in package conformance.
package platform

import (
	"context"
	"encoding/json"
	"errors"

	"hemlockquay/internal/model"
)

// Errors of a Store. An error that is none of these is a refusal of the call
// as it stands; repeating it does not help.
var (
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object's version is not the expected one. The
	// write did not take effect.
	ErrConflict = errors.New("version conflict")
	// ErrGone says that a watch cannot start at so old a revision.
	ErrGone = errors.New("revision too old")
	// ErrUnavailable says that the call surely had no effect: it never left.
	ErrUnavailable = errors.New("store unavailable")
	// ErrAmbiguous says that the answer was lost: a write may have taken
	// effect. See Write.
	ErrAmbiguous = errors.New("store answer lost")
)

// Object is one stored object. Its spec is JSON of the kind's model type.
type Object struct {
	Kind model.Kind `json:"kind"`
	Name string     `json:"name"`
	// Version is the store's revision at the object's last change; 0 in a
	// write demands that the object does not exist.
	Version uint64 `json:"version"`
	// Writer is the tag of the write that made this version.
	Writer string          `json:"writer"`
	Spec   json.RawMessage `json:"spec"`
}

// ID names an object.
type ID struct {
	Kind model.Kind `json:"kind"`
	Name string     `json:"name"`
}

// ID returns the object's name.
func (o Object) ID() ID { return ID{o.Kind, o.Name} }

// EventType says what happened to an object.
type EventType string

// The events of a watch.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
	// EventBookmark only carries the revision reached; it shows that a silent
	// watch is alive.
	EventBookmark EventType = "bookmark"
)

// Event is one change. Revision is the store's revision after it.
type Event struct {
	Type     EventType `json:"type"`
	Object   Object    `json:"object"`
	Revision uint64    `json:"revision"`
}

// Listing is all objects at one revision.
type Listing struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// VMState is the platform's view of a VM. It lags.
type VMState string

// The states in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list.
type VM struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"dataCentre"`
	AgentAddr  string  `json:"agentAddr"`
	State      VMState `json:"state"`
}

// Store is what the system asks of the platform. Every method honours the
// context's deadline and counts as one call, a waiting watch too.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, id ID) (Object, error)
	// List returns all objects.
	List(ctx context.Context) (Listing, error)
	// Put writes the object if its stored version is o.Version and returns it
	// with its new version. ErrConflict, ErrAmbiguous.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if its stored version is o.Version.
	Delete(ctx context.Context, o Object) error
	// Watch calls handle for every change after revision from, in order,
	// until the context ends, the watch breaks or handle fails. ErrGone.
	Watch(ctx context.Context, from uint64, handle func(Event) error) error
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
