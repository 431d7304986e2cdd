package gateway

import (
	"fmt"
	"testing"

	"hemlockquay/internal/packed"
	"hemlockquay/internal/route"
)

// BenchmarkSlopePackedConfig measures packing and unpacking a configuration, by the number of
// routes.
func BenchmarkSlopePackedConfig(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			config := largeConfig(7, n)
			var data []byte
			for b.Loop() {
				var err error
				if data, err = packed.Encode(config); err != nil {
					b.Fatal(err)
				}
				if err := packed.Decode(data, new(route.Config)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "config-B")
		})
	}
}
