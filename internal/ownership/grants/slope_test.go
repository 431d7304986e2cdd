package grants

import (
	"fmt"
	"testing"
	"time"

	"hemlockquay/internal/capacity"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
)

const slopeStarted = 1796255323000000000

func slopeGroups(n int, vm string) []*Group {
	p := Params{
		VM: vm, Incarnation: vm + "-1", Started: slopeStarted, ChecksFences: true, RenewInterval: 75 * ms, GrantTTL: 350 * ms,
		AuthorityTTL: 200 * ms, ClockMargin: 10 * ms, FastPathTimeout: 25 * ms, ReleaseTimeout: 10 * time.Second, UnservedTimeout: 1500 * ms,
	}
	ref := func(i int) model.TargetRef { return model.TargetRef{Name: fmt.Sprint("t", i%16), Incarnation: "i"} }
	var out []*Group
	for i, s := range keyspace.Divide(n) {
		rec := model.Group{
			ID: uint64(i), Slices: []keyspace.Slice{s}, Owner: ref(i), Standby: ref(i + 1), Witness: ref(i + 2),
			Epoch: 1, Grantors: []string{"vm1", "vm2", "vm3"}, Author: "vm1-1",
		}
		out = append(out, New(p, rec, 0))
	}
	return out
}

// slopeRound ticks each group and answers its orders as targets in steady state do.
func slopeRound(groups []*Group, now time.Duration, observation Observation) (orders int) {
	for _, g := range groups {
		for _, o := range g.Tick(now, observation) {
			orders++
			g.HandleReport(&o, &Report{
				Incarnation: "i", Clock: int64(now), Confirmed: true, Fence: o.Rank, PreviousFence: o.Rank, HeldUntil: o.Until, HeldRank: o.Rank,
			}, now)
		}
		g.Proposal(now, observation)
		g.NeedsStore(now)
		g.TakeNotes()
	}
	return orders
}

var slopeObservation = Observation{Live: func(string) bool { return true }, Served: true}

// BenchmarkSlopeRenewal measures one renewal of n groups with three reports each,
// without encoding and network.
func BenchmarkSlopeRenewal(b *testing.B) {
	for _, n := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			kept := capacity.Retained(func() any {
				groups := slopeGroups(n, "vm1")
				slopeRound(groups, time.Second, slopeObservation)
				return groups
			})
			groups, now, orders := slopeGroups(n, "vm1"), time.Second, 0
			for b.Loop() {
				now += 75 * ms
				orders = slopeRound(groups, now, slopeObservation)
			}
			if orders < n {
				b.Fatal("orders were left out")
			}
			b.ReportMetric(float64(orders), "orders")
			b.ReportMetric(kept, "heap-B")
		})
	}
}

// BenchmarkSlopeIdleLook measures one tick of n groups that another agent grants. Each
// agent ticks all groups of all records 67 times a second.
func BenchmarkSlopeIdleLook(b *testing.B) {
	for _, n := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			groups, now := slopeGroups(n, "vm9"), time.Second
			for b.Loop() {
				slopeRound(groups, now, slopeObservation)
			}
		})
	}
}
