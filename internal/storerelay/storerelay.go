// Package storerelay calls the platform's store through another VM while the store does not
// answer this VM.
//
// A relay keeps the guarantees of the store: a read is linearizable between request and reply,
// and a conditional write stays conditional. A write whose reply is lost is ambiguous, as it is
// without a relay. Callers count the validity of a confirmation from before the call, so a slow
// relay shortens it and never extends it.
package storerelay

import (
	"context"
	"errors"
	"time"

	"hemlockquay/internal/mesh"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

const (
	// relayTimeout bounds a relayed call, including the relay's own call to the store.
	relayTimeout = 500 * time.Millisecond
	// maxRelays bounds the relays that are tried for one call.
	maxRelays = 2
)

// Mesh is the part of mesh.Mesh that a Store uses.
type Mesh interface {
	// StoreRelays returns the VMs that reach the store directly, in order of preference.
	StoreRelays() []mesh.Member
	// Transfer calls a method of a VM on the connection for large messages.
	Transfer(ctx context.Context, vm, method string, args, reply any) error
}

// Store reads and conditionally writes objects of the platform's store, directly or through a
// relay. It is safe for concurrent use.
type Store struct {
	// Direct calls the store without a relay.
	Direct platform.ObjectStore
	// Up reports whether the store answers this VM.
	Up   func() bool
	Mesh Mesh
	// OnRelayAnswer is called when the store has answered through a relay.
	OnRelayAnswer func()
}

// Get returns one object.
func (s *Store) Get(ctx context.Context, id platform.ID) (platform.Object, error) {
	return call(ctx, s, readOnly, "Store.Get", &id,
		func() (platform.Object, error) { return s.Direct.Get(ctx, id) },
		func(r *Reply) platform.Object { return r.Object })
}

// Put writes the object if its stored version is o.Version.
func (s *Store) Put(ctx context.Context, o platform.Object) (platform.Object, error) {
	return call(ctx, s, writes, "Store.Put", &o,
		func() (platform.Object, error) { return s.Direct.Put(ctx, o) },
		func(r *Reply) platform.Object { return r.Object })
}

// ListKind returns all objects of a kind.
func (s *Store) ListKind(ctx context.Context, kind model.Kind) (platform.Listing, error) {
	return call(ctx, s, readOnly, "Store.ListKind", &ListArgs{Kind: kind},
		func() (platform.Listing, error) { return s.Direct.ListKind(ctx, kind) },
		func(r *Reply) platform.Listing { return r.Listing })
}

// access says whether a call writes. A write must not be repeated after an ambiguous error.
type access bool

const (
	readOnly access = false
	writes   access = true
)

// retryable reports whether the call may be made again after this error.
func (a access) retryable(err error) bool {
	if a == writes && errors.Is(err, platform.ErrAmbiguous) {
		return false
	}
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrAmbiguous)
}

// call makes a call directly while the store answers this VM, and otherwise, or if the direct call
// fails with a retryable error, through relays. Without any relay it calls the store directly.
func call[T any](ctx context.Context, s *Store, a access, method string, args any, direct func() (T, error), result func(*Reply) T) (T, error) {
	up := s.Up()
	if up {
		out, err := direct()
		if !a.retryable(err) || ctx.Err() != nil {
			return out, err
		}
	}
	var zero T
	err := platform.ErrUnavailable
	relays := s.Mesh.StoreRelays()
	for _, relay := range relays[:min(len(relays), maxRelays)] {
		var reply *Reply
		if reply, err = s.relay(ctx, relay.VM, method, args); err == nil {
			return result(reply), nil
		}
		if !a.retryable(err) || ctx.Err() != nil {
			return zero, err
		}
	}
	if up || len(relays) > 0 {
		return zero, err
	}
	return direct()
}

// relay makes one call through the relay on vm.
func (s *Store) relay(ctx context.Context, vm, method string, args any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply := new(Reply)
	if err := s.Mesh.Transfer(ctx, vm, method, args, reply); err != nil {
		return nil, transportError(vm, err)
	}
	err := reply.err(vm)
	if err == nil || errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		s.OnRelayAnswer()
	}
	return reply, err
}
