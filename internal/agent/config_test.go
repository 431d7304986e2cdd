package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/memstore"
	"hemlockquay/internal/wire"
)

func contract(name string, version uint64, rate float64) platform.Object {
	spec, _ := json.Marshal(model.Contract{
		Customer: name, TokenSHA256: fmt.Sprintf("%064x", len(name)),
		Services: []model.Allowance{{Service: "s", Rate: rate, Burst: 1, Concurrency: 1}},
	})
	return platform.Object{Kind: model.KindContract, Name: name, Version: version, Spec: spec}
}

func put(o platform.Object) platform.Event {
	return platform.Event{Type: platform.EventPut, Object: o, Revision: o.Version}
}

func listing(revision uint64, objects ...platform.Object) platform.Listing {
	return platform.Listing{Revision: revision, Objects: objects}
}

// Guards against agents whose configuration regresses or differs from the store's. Three agents
// learn of the store's changes in any order: duplicate watch events, listings, delayed replies of
// peers, restarts of an agent. No revision may decrease, no object may return to an older
// version, and an agent that has reached the store's revision must hold exactly the store's
// objects.
func TestConfigurationFollowsStoreInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := memstore.New()
		newEmpty := func() *configuration { return newConfiguration(func() {}) }
		agents := []*configuration{newEmpty(), newEmpty(), newEmpty()}
		var replies []wire.PullReply
		var bases []uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "agent")
			c := agents[i]
			before, _ := c.heldRevision()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				current, err := store.Get(ctx, platform.ID{Kind: model.KindContract, Name: name})
				if err == nil && rapid.Bool().Draw(t, "delete") {
					require.NoError(t, store.Delete(ctx, current))
				} else {
					_, err = store.Put(ctx, contract(name, current.Version, 1))
					require.NoError(t, err)
				}
			case 1:
				l, _ := store.List(ctx)
				require.NoError(t, c.replace(l))
			case 2:
				replayWatch(store, c)
			case 3:
				var r wire.PullReply
				agents[rapid.IntRange(0, 2).Draw(t, "peer")].changesSince(before, allKinds, &r)
				replies, bases = append(replies, r), append(bases, before)
			case 4:
				if len(replies) > 0 {
					k := rapid.IntRange(0, len(replies)-1).Draw(t, "answer")
					_ = c.applyReply(bases[k], &replies[k])
				}
			case 5:
				agents[i], before = newEmpty(), 0
			}
			after, _ := agents[i].heldRevision()
			require.GreaterOrEqual(t, after, before)
			requireMatchesStore(t, store, agents[i])
		}
	})
}

// replayWatch applies the events of a watch that starts one change before the current revision.
func replayWatch(store platform.Store, c *configuration) {
	revision, ready := c.heldRevision()
	if !ready {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = store.Watch(ctx, revision-min(revision, 1), func(e platform.Event) error { c.apply(e); return nil })
}

func requireMatchesStore(t *rapid.T, store platform.Store, c *configuration) {
	want, _ := store.List(context.Background())
	if revision, ready := c.heldRevision(); !ready || revision != want.Revision {
		return
	}
	require.ElementsMatch(t, want.Objects, c.list())
}

// Guards against limits returning that operators replaced long ago, after the store was restored
// from a backup. The agent must reject the old listing, from the store and from a peer that
// restarted meanwhile.
func TestConfigurationRefusesOlderState(t *testing.T) {
	c := newConfiguration(func() {})
	require.NoError(t, c.replace(listing(9, contract("a", 9, 5))))
	require.ErrorIs(t, c.replace(listing(7, contract("a", 4, 1))), errOlderRevision)
	require.ErrorIs(t, c.applyReply(0, &wire.PullReply{Ready: true, Snapshot: true, Revision: 8, Objects: []platform.Object{contract("a", 4, 1)}}), errOlderRevision)
	require.ErrorIs(t, c.applyReply(9, &wire.PullReply{Ready: true, Revision: 8}), errOlderRevision)
	require.ErrorIs(t, c.applyReply(5, &wire.PullReply{Ready: true, Revision: 12}), errBaseMismatch)
	require.ErrorIs(t, c.applyReply(9, &wire.PullReply{}), errNoConfiguration)
	require.NoError(t, c.replace(listing(12, contract("a", 4, 1))))
	require.Equal(t, uint64(9), c.list()[0].Version)
}

// Guards against an invalid contract refusing all requests of a customer. A contract with a rate
// of -1 is written without hqctl. The last valid version stays in force, the problem is reported,
// and a valid version clears it.
func TestConfigurationKeepsLastGoodVersion(t *testing.T) {
	c := newConfiguration(func() {})
	require.NoError(t, c.replace(listing(1, contract("a", 1, 5))))
	c.apply(put(contract("a", 2, -1)))
	require.Equal(t, uint64(1), c.list()[0].Version)
	require.Len(t, c.problems(), 1)
	require.Contains(t, c.problems()[0], "/services/0/rate")
	c.apply(put(contract("a", 3, 6)))
	require.Equal(t, uint64(3), c.list()[0].Version)
	require.Empty(t, c.problems())
}

// Guards against a delta that lacks deletions which are no longer in the log. A reader that lags
// behind by more changes than the log holds must get a snapshot.
func TestConfigurationGivesSnapshotBeyondLog(t *testing.T) {
	c := newConfiguration(func() {})
	require.NoError(t, c.replace(listing(1, contract("gone", 1, 5))))
	c.apply(platform.Event{Type: platform.EventDelete, Object: contract("gone", 1, 5), Revision: 2})
	var r wire.PullReply
	c.changesSince(1, allKinds, &r)
	require.False(t, r.Snapshot)
	require.Equal(t, []platform.ID{{Kind: model.KindContract, Name: "gone"}}, r.Deleted)
	for v := range uint64(maxLogLength) {
		c.apply(put(contract("a", 3+v, 5)))
	}
	r = wire.PullReply{}
	c.changesSince(1, allKinds, &r)
	require.True(t, r.Snapshot)
	require.Len(t, r.Objects, 1)
}

// Guards against changes that no longer arrive because all watching agents lose the store while
// others could reach it. Only working watches count.
func TestShouldWatch(t *testing.T) {
	m := func(vm, dc string, watching bool) wire.Member {
		return wire.Member{VM: vm, DataCentre: dc, Watching: watching}
	}
	self := m("vm3", "x", false)
	require.True(t, shouldWatch(self, []wire.Member{self, m("vm1", "x", true), m("vm2", "x", false)}))
	require.False(t, shouldWatch(self, []wire.Member{self, m("vm1", "x", true), m("vm4", "x", true)}))
	require.True(t, shouldWatch(self, []wire.Member{self, m("vm1", "y", true), m("vm4", "y", true)}))
	self.Watching = true
	require.True(t, shouldWatch(self, []wire.Member{self, m("vm1", "x", true), m("vm4", "x", true)}))
	require.False(t, shouldWatch(self, []wire.Member{self, m("vm1", "x", true), m("vm2", "x", true)}))
}
