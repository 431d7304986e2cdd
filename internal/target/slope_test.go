package target

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/wire"
)

// renewal returns an order that renews the grants of n groups, and the report that
// answers it.
func renewal(n int) (*Order, *Report) {
	o := &Order{Incarnation: "shelf-00001-1796255323000000000"}
	r := &Report{Incarnation: o.Incarnation, Clock: 1796255323000000000}
	rank := wire.Rank{Epoch: 17, Incarnation: 1796255323000000000, Agent: "entry-vm-00001"}
	for i, s := range keyspace.Divide(n) {
		o.Groups = append(o.Groups, GroupOrder{Service: "shelf", Group: uint64(i), Rank: rank, Seq: 12345, Slices: []keyspace.Slice{s}, Until: 1796255323350000000})
		r.Groups = append(r.Groups, GroupReport{Service: "shelf", Group: uint64(i), Confirmed: true, Fence: rank, Held: 1796255323350000000, HeldRank: rank})
	}
	return o, r
}

// BenchmarkSlopeOrder encodes an order and decodes its report, as a grantor does for one
// renewal.
func BenchmarkSlopeOrder(b *testing.B) {
	for _, n := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			o, r := renewal(n)
			answer, err := json.Marshal(r)
			require.NoError(b, err)
			var sent []byte
			for b.Loop() {
				sent, _ = json.Marshal(o)
				var read Report
				if err := json.Unmarshal(answer, &read); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(sent)), "order-B")
			b.ReportMetric(float64(len(answer)), "report-B")
		})
	}
}
