package dispatch

import (
	"sync"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/loadmeter"
	"hemlockquay/internal/wire"
)

// groupLoads measures the request rate of each group, for the assigner of the
// service. It is safe for concurrent use.
type groupLoads struct {
	clock boottime.System

	mu    sync.Mutex
	meter *loadmeter.Meter
}

func newGroupLoads() *groupLoads { return &groupLoads{meter: loadmeter.New()} }

func (l *groupLoads) count(service string, group uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.meter.Add(loadmeter.Group{Service: service, Group: group}, 1, l.clock.Now())
}

// hottest returns the groups with the highest rates, for the report to the agent.
func (l *groupLoads) hottest() []wire.GroupLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	rates := l.meter.Hottest(wire.MaxLoads, l.clock.Now())
	out := make([]wire.GroupLoad, len(rates))
	for i, r := range rates {
		out[i] = wire.GroupLoad{Service: r.Service, Group: r.Group.Group, Rate: r.Rate}
	}
	return out
}
