package agent

import "hemlockquay/internal/wire"

// watchersPerDataCentre is how many agents of a data centre watch the store.
//
// Load pattern: the store counts each open watch as a call, and its rates grow more slowly than
// the number of VMs. With one watch per VM, 6,700 VMs would hold 6,700 watches, and the store
// would send each change as often. Two per data centre are 30 for 15 data centres; the other
// agents learn from heartbeats that a peer has a newer revision and fetch the delta from it. One
// would be enough; the second avoids the time to detect the loss of the first.
const watchersPerDataCentre = 2

// shouldWatch reports whether an agent should watch the store. Only working watches count, so
// agents that are partitioned from the store do not keep others from watching. An agent that
// watches yields only to agents with lower names, so that two agents never yield to each other.
func shouldWatch(self wire.Member, live []wire.Member) bool {
	working := 0
	for _, m := range live {
		if m.VM == self.VM || m.DataCentre != self.DataCentre || !m.Watching || m.Leaving {
			continue
		}
		if !self.Watching || m.VM < self.VM {
			working++
		}
	}
	return working < watchersPerDataCentre
}
