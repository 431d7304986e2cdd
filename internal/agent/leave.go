package agent

import "time"

// minDrainTime is the minimum time for which a stopping agent still answers. It is enough for
// peers to learn from two heartbeats that the VM is leaving, and for the VM's daemons, which are
// signalled together with the agent, to report that they drain.
const minDrainTime = 500 * time.Millisecond

// awaitDaemons waits until the daemons that are draining have stopped. If the agent stopped
// first, peers would go on sending requests to its daemons until they detect its silence. Daemons
// that are not draining are not waited for, since then only the agent is being replaced.
func (a *agent) awaitDaemons() {
	time.Sleep(minDrainTime)
	for a.anyDaemonDraining() {
		time.Sleep(a.Settings.Heartbeat.D())
	}
}

func (a *agent) anyDaemonDraining() bool {
	for _, d := range a.relay.liveDaemons() {
		if d.Leaving {
			return true
		}
	}
	return false
}
