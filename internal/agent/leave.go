package agent

import "time"

// minDrainTime is how long a leaving agent still answers, at least: peers learn
// from two heartbeats that the VM leaves, and its daemons that got the signal
// together with the agent have reported it.
const minDrainTime = 500 * time.Millisecond

// awaitDaemons lets the daemons that drain finish before the agent goes.
// Were the agent gone first, peers would go on sending to its daemons until its silence shows. A
// daemon that does not drain is not awaited: then only the agent is replaced.
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
