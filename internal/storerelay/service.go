package storerelay

import (
	"context"
	"fmt"
	"time"

	"hemlockquay/internal/platform"
)

// serviceTimeout bounds the relay's call to the store. It is shorter than relayTimeout, so that
// the reply reaches the caller in time.
const serviceTimeout = relayTimeout - 100*time.Millisecond

// Service is the RPC receiver that calls the store on behalf of other VMs. It is registered as
// "Store".
type Service struct {
	store platform.ObjectStore
	up    func() bool
	ctx   context.Context
}

// NewService returns a service that calls the given store. It must not be a Store of this package,
// or two VMs that do not reach the store would relay a call to each other endlessly. up reports
// whether the store answers this VM. ctx must last until the process ends.
func NewService(ctx context.Context, store platform.ObjectStore, up func() bool) Service {
	return Service{store: store, up: up, ctx: ctx}
}

// Get returns one object.
func (s Service) Get(id *platform.ID, out *Reply) error {
	return s.serve(out, func(ctx context.Context) (err error) {
		out.Object, err = s.store.Get(ctx, *id)
		return err
	})
}

// Put writes the object if its stored version is o.Version.
func (s Service) Put(o *platform.Object, out *Reply) error {
	return s.serve(out, func(ctx context.Context) (err error) {
		out.Object, err = s.store.Put(ctx, *o)
		return err
	})
}

// ListKind returns all objects of a kind.
func (s Service) ListKind(args *ListArgs, out *Reply) error {
	return s.serve(out, func(ctx context.Context) (err error) {
		out.Listing, err = s.store.ListKind(ctx, args.Kind)
		return err
	})
}

// serve makes a call to the store and records its outcome in the reply: returned as an error
// through net/rpc, it would lose its class.
func (s Service) serve(out *Reply, call func(ctx context.Context) error) error {
	if !s.up() {
		out.setError(fmt.Errorf("relay does not reach the store: %w", platform.ErrUnavailable))
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, serviceTimeout)
	defer cancel()
	out.setError(call(ctx))
	return nil
}
