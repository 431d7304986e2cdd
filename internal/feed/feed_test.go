package feed

import (
	"testing"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// newTestFeed returns a feed that holds version 9 of contract a, with rate 9.
func newTestFeed(t *testing.T) *Feed {
	t.Helper()
	r := metrics.NewRegistry()
	f := &Feed{
		log: &log.Logger{Level: log.FatalLevel}, changed: make(chan struct{}), revisionChanged: make(chan struct{}, 1),
		revisionGauge: metrics.NewGauge(), refusedGauge: metrics.GetOrRegisterGauge("config.refused", r), olderReplies: metrics.NewCounter(),
		objects: make(map[platform.ID]platform.Object), refused: make(map[platform.ID]string),
	}
	f.current.Store(view.Build(nil, nil, nil))
	f.apply(f.Current(), &wire.PullReply{Source: "1", Ready: true, Snapshot: true, Revision: 9, Objects: []platform.Object{contract(9, "9")}})
	require.Equal(t, 9.0, rate(f))
	return f
}

func contract(version uint64, rate string) platform.Object {
	return platform.Object{Kind: model.KindContract, Name: "a", Version: version, Spec: []byte(
		`{"customer":"a","tokenSHA256":"ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb","services":[{"service":"s","rate":` + rate + `,"burst":1,"concurrency":1}]}`)}
}

func rate(f *Feed) float64 { return f.Current().ContractOf("a").Services[0].Rate }

// A restarted agent sends an outdated configuration, read from a stale copy of the store
// or from a partitioned peer. If the daemon accepted it, limits would revert to replaced
// values. It must accept the agent's members and keep its own configuration.
func TestOlderReplyIsRefused(t *testing.T) {
	f := newTestFeed(t)
	f.apply(f.Current(), &wire.PullReply{
		Source: "2", Ready: true, Snapshot: true, Revision: 7, Objects: []platform.Object{contract(4, "4")},
		Changed: true, Members: []wire.Member{{VM: "vm2"}},
	})
	require.Equal(t, 9.0, rate(f))
	require.Equal(t, uint64(9), f.Current().Revision)
	require.Len(t, f.Current().Members, 1)
	require.Equal(t, int64(1), f.olderReplies.Count())
}

// A snapshot of a newer revision holds an older version of one object, because the store
// was restored from a backup and then changed. The feed must keep the newer version.
func TestOlderObjectOfNewerSnapshotIsRefused(t *testing.T) {
	f := newTestFeed(t)
	f.apply(f.Current(), &wire.PullReply{Source: "2", Ready: true, Snapshot: true, Revision: 12, Objects: []platform.Object{contract(4, "4")}})
	require.Equal(t, 9.0, rate(f))
	require.Equal(t, uint64(12), f.Current().Revision)
}

// A daemon receives a contract with an invalid rate. The last valid version must stay in
// force, and the problem must be reported until a valid version arrives or the contract is
// deleted.
func TestInvalidObjectKeepsLastValidVersion(t *testing.T) {
	f := newTestFeed(t)
	f.apply(f.Current(), &wire.PullReply{Source: "1", Ready: true, Snapshot: true, Revision: 10, Objects: []platform.Object{contract(10, "-1")}})
	require.Equal(t, 9.0, rate(f))
	require.Len(t, f.Current().Problems, 1)
	require.Equal(t, int64(1), f.refusedGauge.Value())
	f.apply(f.Current(), &wire.PullReply{Source: "1", Ready: true, Revision: 11, Deleted: []platform.ID{{Kind: model.KindContract, Name: "a"}}})
	require.Nil(t, f.Current().ContractOf("a"))
	require.Empty(t, f.Current().Problems)
}
