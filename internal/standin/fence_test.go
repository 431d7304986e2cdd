package standin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

// Two targets answer for one key after a planned move: a renewal is sent before the
// release but arrives after it, when the standby already has the grant. Both orders have
// the same rank, so the sequence number must decide.
func TestLateRenewalDoesNotUndoRelease(t *testing.T) {
	f := NewFences("t.1")
	all := []keyspace.Slice{{First: 0, Last: 9}, {First: 10, Last: 19}}
	idle := func(string, []keyspace.Slice) int { return 0 }
	send := func(seq uint64, until int64, release []keyspace.Slice) target.GroupReport {
		o := target.GroupOrder{Service: "s", Rank: wire.Rank{Epoch: 1, Agent: "a"}, Seq: seq, Slices: all, Until: until, Release: release}
		return f.Apply(&target.Order{Incarnation: "t.1", Groups: []target.GroupOrder{o}}, 100, idle).Groups[0]
	}
	require.Equal(t, int64(200), send(1, 200, nil).Held)
	require.True(t, f.Serves("s", 5, 100))
	require.Zero(t, send(3, 300, all).Held)
	late := send(2, 250, nil)
	require.False(t, late.Confirmed)
	require.Zero(t, late.Held)
	require.False(t, f.Serves("s", 5, 100))
}

// A release must not end the grant while requests run on its slices. It must refuse new
// requests meanwhile.
func TestReleaseKeepsTheGrantWhileRequestsRun(t *testing.T) {
	f := NewFences("t.1")
	all := []keyspace.Slice{{First: 0, Last: 9}}
	running := 1
	count := func(string, []keyspace.Slice) int { return running }
	send := func(seq uint64, release []keyspace.Slice) target.GroupReport {
		o := target.GroupOrder{Service: "s", Rank: wire.Rank{Epoch: 1, Agent: "a"}, Seq: seq, Slices: all, Until: 200, Release: release}
		return f.Apply(&target.Order{Incarnation: "t.1", Groups: []target.GroupOrder{o}}, 100, count).Groups[0]
	}
	send(1, nil)
	r := send(2, all)
	require.Equal(t, 1, r.Running)
	require.Equal(t, int64(200), r.Held)
	require.Equal(t, target.RefusedReleased, f.Admit("s", 0, wire.Rank{Epoch: 1, Agent: "a"}, "t.1", 5, 100))
	running = 0
	require.Zero(t, send(3, all).Held)
}
