package agent

import "hemlockquay/internal/wire"

// watchersPerDataCentre is how many agents of a data centre watch the store.
//
// Load pattern: each waiting watch counts as a call of the store, whose rates
// grow more slowly than the fleet. With a watch for every VM, 6,700 VMs would
// hold 6,700 watches and each change would leave the store as often. Two for
// each data centre are 30 at 15 data centres; the others learn by the
// heartbeat that a peer is ahead and fetch the delta from it. One would do;
// the second saves the time to notice the first one's loss.
const watchersPerDataCentre = 2

// shouldWatch decides whether an agent watches the store.
// Only a watch that works counts: agents that are cut off from the store do not keep others from
// watching. An agent gives way only to working ones of lower name, so two do not both stop.
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
