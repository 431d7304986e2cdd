package mesh

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// newFleetMesh returns a mesh that knows n other VMs, each with one request at each of ten targets,
// and the heartbeats of those VMs.
func newFleetMesh(b *testing.B, n int) (*Mesh, []Heartbeat) {
	clock := new(manualClock)
	clock.advance(time.Hour)
	self := Member{VM: "self", Addr: "127.0.0.1:1", Incarnation: 1}
	m := New(self, clock, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	m.Start(staticLocal{self})
	b.Cleanup(m.Close)
	heartbeats := make([]Heartbeat, n)
	for i := range heartbeats {
		heartbeats[i].From = Member{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:1", Incarnation: 1}
		for target := range 10 {
			heartbeats[i].Loads = append(heartbeats[i].Loads, NewLoad(uint32(i*7+target)<<8, 1))
		}
		m.receive(heartbeats[i])
	}
	return m, heartbeats
}

// BenchmarkSlopeRank measures Mesh.Rank by the number of VMs.
func BenchmarkSlopeRank(b *testing.B) {
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			m, _ := newFleetMesh(b, n)
			for b.Loop() {
				m.Rank("watch", m.ReachesStore)
			}
		})
	}
}

// BenchmarkSlopeLoads measures 50 ms of load updates at 80 heartbeats a second (4 heartbeats), by
// the number of VMs.
func BenchmarkSlopeLoads(b *testing.B) {
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			m, heartbeats := newFleetMesh(b, n)
			for b.Loop() {
				for i := range 4 {
					m.receive(heartbeats[i])
				}
				m.ChangedLoads()
			}
		})
	}
}
