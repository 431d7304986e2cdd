package agent

import "time"

// leaveLead is how long a leaving agent still answers, at least: peers learn
// from two heartbeats that the VM leaves, and its daemons that got the signal
// together with the agent have told it so.
const leaveLead = 500 * time.Millisecond

// awaitDaemons lets the daemons that drain finish before the agent goes.
//
// Failure: all daemons of a VM get SIGTERM at once and the agent is gone first.
// Peers are not told that the VM leaves and go on sending until its silence
// shows; what is sent meanwhile is refused. A daemon that does not drain is not
// waited for: then only the agent is replaced.
func (a *agent) awaitDaemons() {
	time.Sleep(leaveLead)
	for a.daemonsDrain() {
		time.Sleep(a.Settings.Heartbeat.D())
	}
}

func (a *agent) daemonsDrain() bool {
	for _, d := range a.relay.liveDaemons() {
		if d.Leaving {
			return true
		}
	}
	return false
}
