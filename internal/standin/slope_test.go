package standin

import (
	"fmt"
	"testing"

	"hemlockquay/internal/capacity"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/target"
	"hemlockquay/internal/wire"
)

// BenchmarkSlopeFences measures the cost of a renewal of n groups at a target, without
// encoding and decoding.
func BenchmarkSlopeFences(b *testing.B) {
	for _, n := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			o := &target.Order{Incarnation: "i"}
			for i, s := range keyspace.Divide(n) {
				o.Groups = append(o.Groups, target.GroupOrder{Service: "shelf", Group: uint64(i), Rank: wire.Rank{Epoch: 1}, Slices: []keyspace.Slice{s}, Until: 2})
			}
			idle := func(string, []keyspace.Slice) int { return 0 }
			kept := capacity.Retained(func() any {
				f := NewFences("i")
				f.Apply(o, 1, idle)
				return f
			})
			f := NewFences("i")
			for b.Loop() {
				f.Apply(o, 1, idle)
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}
