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

// Guards against a lost epoch. Two grantors write epochs of their groups over the same version of
// the record. If the second write succeeded, it would remove the first one's acknowledged epoch,
// and with it the fence on which that takeover depends. The second write must conflict, and is
// made again over the record that the grantor then reads.
func TestConcurrentRecordWritesConflict(t *testing.T) {
	store := memstore.New()
	spec, err := json.Marshal(recordWithEpochs(1, 1))
	require.NoError(t, err)
	_, err = store.Put(t.Context(), platform.Object{Kind: model.KindAssignment, Name: "s", Spec: spec})
	require.NoError(t, err)
	seen, version := storedRecord(t, store)
	held := &serviceState{record: &seen, recordVersion: version}
	propose := func(svc *serviceState, writer string, id int) {
		r := newRecorder(store, store, func() string { return writer }, time.Second, &log.Logger{Level: log.PanicLevel})
		next := svc.record.Groups[id]
		next.Epoch, next.Author = 2, writer
		r.writeProposals(context.Background(), svc, []model.Group{next})
		r.wait()
	}
	propose(held, "vm1-1", 0)
	propose(held, "vm2-1", 1)
	now, version := storedRecord(t, store)
	require.Equal(t, "vm1-1", now.Groups[0].Author)
	require.EqualValues(t, 1, now.Groups[1].Epoch, "the second write must conflict")
	propose(&serviceState{record: &now, recordVersion: version}, "vm2-1", 1)
	now, _ = storedRecord(t, store)
	require.EqualValues(t, 2, now.Groups[0].Epoch)
	require.EqualValues(t, 2, now.Groups[1].Epoch)
}

// Guards against a loss using up the store's write capacity just when all other agents write too.
// A target is lost that many groups share: all of them must be updated by one write.
func TestOneWriteForAllGroups(t *testing.T) {
	held := recordWithEpochs(1, 1, 1, 1)
	var proposals []model.Group
	for _, g := range held.Groups[1:] {
		g.Owner, g.Standby = g.Standby, g.Owner
		proposals = append(proposals, g)
	}
	record, urgent := mergeProposals(held, proposals)
	require.False(t, urgent, "without a new epoch nothing waits for the write")
	require.Equal(t, "a", record.Groups[0].Owner.Name)
	for _, g := range record.Groups[1:] {
		require.Equal(t, "b", g.Owner.Name)
	}
	require.Equal(t, "a", held.Groups[1].Owner.Name, "the record in force must not be modified")
	proposals[0].Epoch++
	_, urgent = mergeProposals(held, proposals)
	require.True(t, urgent)
}
