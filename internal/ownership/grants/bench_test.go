package grants

import (
	"testing"
	"time"
)

// BenchmarkLook is what one settled group costs each time its grantor looks.
func BenchmarkLook(b *testing.B) {
	s := newScenario(&testing.T{}, "")
	a := s.agents[0]
	if err := s.talk(300*ms, a, everybody...); err != nil {
		b.Fatal(err)
	}
	g, now := a.groups[0], a.clock.at(s.now)
	observation := Observation{Live: func(string) bool { return true }, Served: true}
	b.ReportAllocs()
	for b.Loop() {
		g.sent = now + time.Hour
		g.Tick(now, observation)
		g.Proposal(now, observation)
		g.NeedsStore(now)
	}
}
