// Package forwarding decides through which other VM a request is sent whose target this VM does not
// reach, and how many such requests a VM accepts from others.
//
// It answers the load of a fleet of which a part is cut off from the targets, up to all VMs but one.
// Without it, the VMs that are cut off refuse what their neighbours could serve; without its bounds,
// they overload the few VMs that are left, whose own callers would then be served no better.
package forwarding

import "time"

const (
	// fullPause is how long a VM that accepts no more requests is not asked.
	fullPause = 100 * time.Millisecond
	// lostPause is how long a VM is not asked that did not answer.
	lostPause = time.Second
	// unreachedPause is how long a VM is not asked for a destination that it does not reach.
	unreachedPause = time.Second
	// downReports is the number of other VMs that must not reach a destination either before it counts
	// as down.
	downReports = 3
)

// Peer is another VM through which a request could be sent.
type Peer struct {
	VM string
	// Near reports whether the VM is in this VM's data centre. Near ones are preferred, because traffic
	// between data centres has a cost.
	Near bool
}

// Router chooses the VMs through which requests are sent. A destination is a target, or all targets of
// a service. It is not safe for concurrent use.
type Router struct {
	next int
	// pausedUntil is until when a VM is not asked at all.
	pausedUntil map[string]time.Duration
	// unreachedUntil is, by destination, until when a VM is not asked for it.
	unreachedUntil map[string]map[string]time.Duration
}

// NewRouter returns a router that begins its first search at the given index. If all VMs began with the
// same one, they would ask the same VM together.
func NewRouter(start int) *Router {
	return &Router{
		next: start, pausedUntil: make(map[string]time.Duration), unreachedUntil: make(map[string]map[string]time.Duration),
	}
}

// Choose returns the index of the VM to ask, or -1 if there is none. skip reports which VMs to leave
// out. Requests are spread evenly over the near VMs, and over the others if no near one is left.
func (r *Router) Choose(destination string, peers []Peer, skip func(vm string) bool, now time.Duration) int {
	r.next++
	best := -1
	for k := range peers {
		i := (r.next + k) % len(peers)
		p := peers[i]
		if skip(p.VM) || now < r.pausedUntil[p.VM] || now < r.unreachedUntil[destination][p.VM] {
			continue
		}
		if p.Near {
			return i
		}
		if best < 0 {
			best = i
		}
	}
	return best
}

// Full records that a VM accepts no more requests.
func (r *Router) Full(vm string, now time.Duration) { r.pause(vm, now+fullPause) }

// Lost records that a VM did not answer.
func (r *Router) Lost(vm string, now time.Duration) { r.pause(vm, now+lostPause) }

func (r *Router) pause(vm string, until time.Duration) {
	r.pausedUntil[vm] = max(r.pausedUntil[vm], until)
}

// Unreached records that a VM does not reach a destination.
func (r *Router) Unreached(destination, vm string, now time.Duration) {
	if r.unreachedUntil[destination] == nil {
		r.unreachedUntil[destination] = make(map[string]time.Duration)
	}
	r.unreachedUntil[destination][vm] = now + unreachedPause
}

// Served records that a request was sent to the destination through a VM.
func (r *Router) Served(destination string) { delete(r.unreachedUntil, destination) }

// Down reports whether a destination counts as down: several other VMs, or all of them if there are
// fewer, do not reach it either.
func (r *Router) Down(destination string, others int, now time.Duration) bool {
	reports := 0
	for vm, until := range r.unreachedUntil[destination] {
		if now < until {
			reports++
		} else {
			delete(r.unreachedUntil[destination], vm)
		}
	}
	return reports > 0 && reports >= min(downReports, others)
}
