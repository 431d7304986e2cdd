package conformance

import (
	"context"
	"errors"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// watchWait is the long-poll wait of one watch call.
const watchWait = 200 * time.Millisecond

// errNoList is the error of VMs, which an ObjectStore does not have.
var errNoList = errors.New("no list of VMs")

// byKind adapts one kind of an ObjectStore to platform.Store.
type byKind struct {
	platform.ObjectStore
	kind   model.Kind
	remove func(id platform.ID)
}

// ByKind adapts a store that lists and watches by kind to the suite. remove deletes an
// object as another client would, because platform.ObjectStore has no Delete.
func ByKind(s platform.ObjectStore, remove func(id platform.ID)) platform.Store {
	return byKind{ObjectStore: s, kind: model.KindService, remove: remove}
}

func (s byKind) List(ctx context.Context) (platform.Listing, error) { return s.ListKind(ctx, s.kind) }

func (s byKind) Delete(ctx context.Context, o platform.Object) error {
	held, err := s.Get(ctx, o.ID())
	switch {
	case err != nil:
		return err
	case held.Version != o.Version:
		return platform.ErrConflict
	}
	s.remove(o.ID())
	return nil
}

func (s byKind) Watch(ctx context.Context, from uint64, handle func(platform.Event) error) error {
	for ctx.Err() == nil {
		changes, err := s.WatchKind(ctx, s.kind, from, watchWait)
		if err != nil {
			return err
		}
		for _, e := range changes.Events {
			if err := handle(e); err != nil {
				return err
			}
		}
		from = max(from, changes.Revision)
	}
	return ctx.Err()
}

func (byKind) VMs(context.Context) ([]platform.VM, error) { return nil, errNoList }
