package lease

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// drawRouting draws a routing whose slices start at the given keys.
func drawRouting(t *rapid.T, from []uint16, epoch, seq uint64) *Routing {
	b := newRoutingBuilder(Routing{Service: "s", Epoch: epoch, Seq: seq, Holder: "a", Incarnation: 3}, len(from))
	for _, f := range from {
		b.add(f, fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "owner")), SliceState(rapid.IntRange(0, 2).Draw(t, "state")))
	}
	return b.routing()
}

// drawFrom draws the first keys of slices.
func drawFrom(t *rapid.T) []uint16 {
	from := append([]uint16{0}, rapid.SliceOfN(rapid.Uint16(), 0, 12).Draw(t, "from")...)
	slices.Sort(from)
	return slices.Compact(from)
}

func TestUpdateLeadsToTheLaterVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawFrom(t)
		old := drawRouting(t, from, 5, 7)
		later := from
		if rapid.Bool().Draw(t, "split") {
			later = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(from), drawFrom(t)...))))
		}
		if rapid.Bool().Draw(t, "merged") {
			later = later[:1]
		}
		now := drawRouting(t, later, rapid.Uint64Range(5, 6).Draw(t, "epoch"), 9)
		u := UpdateBetween(old, now)
		require.True(t, u.Routing.Valid())
		got, ok := u.Apply(old)
		require.True(t, ok)
		require.True(t, got.SameAs(now))
		require.Equal(t, now.Seq, got.Seq)
		require.True(t, got.Valid())
	})
}

func TestUpdateOfAnotherVersionIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawFrom(t)
		u := UpdateBetween(drawRouting(t, from, 5, 7), drawRouting(t, from, 5, 8))
		for _, other := range []*Routing{nil, drawRouting(t, from, 5, 6), drawRouting(t, from, 4, 7)} {
			_, ok := u.Apply(other)
			require.False(t, ok)
		}
	})
}

// Guards against a saturated link of the grantor. The grantor of 114 targets granted their 512 slices one
// after the other and sent the full routing to 60 VMs each time. This used all of its 10 Mbit/s for a
// minute; calls to the store and orders timed out, and one grantor after the other resigned.
func TestUpdateOfOneSliceIsUnder150Bytes(t *testing.T) {
	b := newRoutingBuilder(Routing{Service: "s", Epoch: 5, Seq: 7, Holder: "a", Incarnation: 3}, 512)
	for i := range 512 {
		b.add(uint16(i*128), fmt.Sprintf("i-%010x", i%114), Moving)
	}
	old := b.routing()
	now := *old
	now.Seq, now.States = 8, slices.Clone(old.States)
	now.States[300] = Served
	bytes, err := msgpack.Marshal(UpdateBetween(old, &now))
	require.NoError(t, err)
	require.Less(t, len(bytes), 150)
}

func TestRoutingWithMismatchedListsIsInvalid(t *testing.T) {
	good := Routing{Owners: []string{"a"}, From: []uint16{0}, Owner: []uint16{0}, States: []SliceState{Served}}
	require.True(t, good.Valid())
	bad := good
	bad.States = nil
	require.False(t, bad.Valid())
	bad = good
	bad.Owner = []uint16{1}
	require.False(t, bad.Valid())
}
