package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/packed"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
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

// BenchmarkSlopeHolderOrder measures how a VM orders the holders of the permits of a target, by the number of VMs.
func BenchmarkSlopeHolderOrder(b *testing.B) {
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			s := newTestState(newManualClock(time.Hour))
			members := make([]mesh.Member, n)
			for i := range members {
				members[i] = mesh.Member{VM: fmt.Sprintf("vm-%d", i), DataCentre: "a"}
			}
			t := &targetState{Target: catalog.Target{ID: "t", DataCentre: "a"}}
			for b.Loop() {
				s.setHolders(members)
				s.holderOrderLocked(t)
			}
		})
	}
}

// BenchmarkSlopeTargetReports reports and applies what targets have said, as all VMs do within a second when a part of a
// large service refuses requests or leaves. n is the number of VMs.
func BenchmarkSlopeTargetReports(b *testing.B) {
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			g, _, target := newSignalsGateway()
			defer g.mesh.Close()
			g.applySignals(target, &upstream.Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Leaving": {"1"}, "Rest": {"3s"}}}, received{kind: toRequest})
			for b.Loop() {
				for vm := range n {
					for _, r := range g.state.ownReports() {
						g.mergeReport(r, strconv.Itoa(vm), true)
					}
				}
			}
		})
	}
}
