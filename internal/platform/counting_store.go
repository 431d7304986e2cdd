package platform

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"
)

// Cause is the purpose of a store call. Calls are counted by cause because all
// processes of the system share the store's rate limits.
type Cause string

// Causes of store calls.
const (
	CauseConfig     Cause = "config"
	CauseMembership Cause = "membership"
	CauseStatus     Cause = "status"
	CauseAssigner   Cause = "assigner"
	CauseAssignment Cause = "assignment"
	CauseAuthority  Cause = "authority"
	CauseOperator   Cause = "operator"
)

// CountingStore is a Store that counts calls in the metric store.calls.CAUSE and failed
// calls in store.failures.CAUSE.
type CountingStore struct {
	store           Store
	calls, failures metrics.Counter
}

// NewCountingStore wraps a store so that its calls are counted under the cause.
func NewCountingStore(s Store, cause Cause, registry metrics.Registry) *CountingStore {
	return &CountingStore{
		store:    s,
		calls:    metrics.GetOrRegisterCounter("store.calls."+string(cause), registry),
		failures: metrics.GetOrRegisterCounter("store.failures."+string(cause), registry),
	}
}

func (c *CountingStore) record(err error) {
	c.calls.Inc(1)
	if err != nil {
		c.failures.Inc(1)
	}
}

// Get implements Store.
func (c *CountingStore) Get(ctx context.Context, id ID) (Object, error) {
	o, err := c.store.Get(ctx, id)
	c.record(err)
	return o, err
}

// List implements Store.
func (c *CountingStore) List(ctx context.Context) (Listing, error) {
	l, err := c.store.List(ctx)
	c.record(err)
	return l, err
}

// Put implements Store.
func (c *CountingStore) Put(ctx context.Context, o Object) (Object, error) {
	w, err := c.store.Put(ctx, o)
	c.record(err)
	return w, err
}

// Delete implements Store.
func (c *CountingStore) Delete(ctx context.Context, o Object) error {
	err := c.store.Delete(ctx, o)
	c.record(err)
	return err
}

// Watch implements Store.
func (c *CountingStore) Watch(ctx context.Context, from uint64, handle func(Event) error) error {
	c.calls.Inc(1)
	return c.store.Watch(ctx, from, handle)
}

// VMs implements Store.
func (c *CountingStore) VMs(ctx context.Context) ([]VM, error) {
	v, err := c.store.VMs(ctx)
	c.record(err)
	return v, err
}
