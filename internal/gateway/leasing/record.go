package leasing

import (
	"context"
	"encoding/json"
	"fmt"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// kindLeases is the kind of the lease records in the store.
const kindLeases model.Kind = "hq-leases"

func (c *candidate) recordID() platform.ID { return platform.ID{Kind: kindLeases, Name: c.service} }

func (c *candidate) readRecord(ctx context.Context) (lease.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.StoreTimeout)
	defer cancel()
	o, err := c.Store.Get(ctx, c.recordID())
	if err != nil {
		return lease.Record{}, 0, err
	}
	var r lease.Record
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return lease.Record{}, 0, fmt.Errorf("decode lease record of %s: %w", c.service, err)
	}
	if err := r.Check(); err != nil {
		return lease.Record{}, 0, err
	}
	return r, o.Version, nil
}

func (c *candidate) writeRecord(ctx context.Context, r lease.Record, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.StoreTimeout)
	defer cancel()
	spec, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode lease record of %s: %w", c.service, err)
	}
	o, err := platform.Write(ctx, c.Store, platform.Object{Kind: kindLeases, Name: c.service, Version: version, Writer: c.LocalState.WriteID(), Spec: spec})
	return o.Version, err
}
