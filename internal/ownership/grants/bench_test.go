package grants

import (
	"testing"
	"time"
)

// BenchmarkTick measures one tick of a group in steady state.
func BenchmarkTick(b *testing.B) {
	s := newScenario(&testing.T{}, "")
	a := s.agents[0]
	if err := s.runAgent(300*ms, a, allTargetNames...); err != nil {
		b.Fatal(err)
	}
	g, now := a.groups[0], a.clock.at(s.now)
	observation := Observation{Live: func(string) bool { return true }, Served: true}
	b.ReportAllocs()
	for b.Loop() {
		g.lastSent = now + time.Hour
		g.Tick(now, observation)
		g.Proposal(now, observation)
		g.NeedsStore(now)
	}
}
