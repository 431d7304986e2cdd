package agent

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/memstore"
)

func recordWithEpochs(epochs ...uint64) *model.Assignment {
	a := &model.Assignment{Service: "s", NextGroup: uint64(len(epochs))}
	for i, e := range epochs {
		a.Groups = append(a.Groups, model.Group{
			ID: uint64(i), Epoch: e, Owner: model.TargetRef{Name: "a"}, Standby: model.TargetRef{Name: "b"},
			Slices: []keyspace.Slice{{First: keyspace.Point(i * 10), Last: keyspace.Point(i*10 + 9)}},
		})
	}
	return a
}

func storedRecord(t *testing.T, s platform.Store) (model.Assignment, uint64) {
	o, err := s.Get(t.Context(), platform.ID{Kind: model.KindAssignment, Name: "s"})
	require.NoError(t, err)
	var a model.Assignment
	require.NoError(t, json.Unmarshal(o.Spec, &a))
	return a, o.Version
}

// TestConcurrentRecordWritesConflict: two grantors write epochs of their groups over the
// same record. If the second simply wrote, the first one's acknowledged epoch
// would be gone, and with it the fence that its takeover rests on. The second
// loses the race and writes again over the record that it then sees.
func TestConcurrentRecordWritesConflict(t *testing.T) {
	store := memstore.New()
	spec, err := json.Marshal(recordWithEpochs(1, 1))
	require.NoError(t, err)
	_, err = store.Put(t.Context(), platform.Object{Kind: model.KindAssignment, Name: "s", Spec: spec})
	require.NoError(t, err)
	seen, version := storedRecord(t, store)
	held := &serviceState{record: &seen, recordVersion: version}
	propose := func(h *serviceState, writer string, id int) {
		r := newRecorder(store, store, func() string { return writer }, time.Second, &log.Logger{Level: log.PanicLevel})
		next := h.record.Groups[id]
		next.Epoch, next.Author = 2, writer
		r.writeProposals(context.Background(), h, []model.Group{next})
		r.wait()
	}
	propose(held, "vm1-1", 0)
	propose(held, "vm2-1", 1)
	now, version := storedRecord(t, store)
	require.Equal(t, "vm1-1", now.Groups[0].Author)
	require.EqualValues(t, 1, now.Groups[1].Epoch, "the second lost the race")
	propose(&serviceState{record: &now, recordVersion: version}, "vm2-1", 1)
	now, _ = storedRecord(t, store)
	require.EqualValues(t, 2, now.Groups[0].Epoch)
	require.EqualValues(t, 2, now.Groups[1].Epoch)
}

// TestOneWriteForAllGroups: a target is lost that many groups share. A write for
// each would use up the store's budget just when all others write too.
func TestOneWriteForAllGroups(t *testing.T) {
	held := recordWithEpochs(1, 1, 1, 1)
	var proposals []model.Group
	for _, g := range held.Groups[1:] {
		g.Owner, g.Standby = g.Standby, g.Owner
		proposals = append(proposals, g)
	}
	record, urgent := mergeProposals(held, proposals)
	require.False(t, urgent, "no epoch: nothing waits for it")
	require.Equal(t, "a", record.Groups[0].Owner.Name)
	for _, g := range record.Groups[1:] {
		require.Equal(t, "b", g.Owner.Name)
	}
	require.Equal(t, "a", held.Groups[1].Owner.Name, "the record in force is untouched")
	proposals[0].Epoch++
	_, urgent = mergeProposals(held, proposals)
	require.True(t, urgent)
}
