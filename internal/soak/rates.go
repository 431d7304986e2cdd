package soak

import (
	"fmt"
	"time"
)

// ServedWhileCut: VMs that are cut from all targets serve at least two thirds as often as the others, and
// keyed requests go on at VMs that are not cut. Up to ten requests and one in fifty may fail in any case.
const ServedWhileCut = "SERVED"

const (
	// recoverTime is the time from the begin of a cut after which its VM must serve, and the time from its
	// end after which the VM counts as one of the others.
	recoverTime = 3 * time.Second
	// minServedRatio, failuresAllowed and failureShare are the bounds of ServedWhileCut.
	minServedRatio  = 2.0 / 3
	failuresAllowed = 10
	failureShare    = 1.0 / 50
)

// sample is the outcome of one request.
type sample struct {
	at            time.Duration
	vm            string
	keyed, served bool
}

// rate counts requests and those that were served.
type rate struct{ sent, served int }

func (r *rate) add(served bool) {
	r.sent++
	if served {
		r.served++
	}
}

func (r rate) share() float64 { return float64(r.served) / float64(max(r.sent, 1)) }

// worseThan reports whether requests were served less often than the ratio allows, compared to a share.
func (r rate) worseThan(share float64) bool {
	failed := float64(r.sent - r.served)
	return failed > failuresAllowed+failureShare*float64(r.sent) && r.share() < minServedRatio*share
}

// String returns the rate for the verdict.
func (r rate) String() string { return fmt.Sprintf("%d of %d", r.served, r.sent) }

// cutState says whether a VM is cut from the targets at a time.
type cutState int

const (
	// connected: the VM has been connected for recoverTime.
	connected cutState = iota
	// changing: a cut has begun or ended less than recoverTime ago.
	changing
	// cut: the VM has been cut for recoverTime.
	cut
)

// stateOf returns whether a VM is cut at a time from the start of traffic.
func (s *Schedule) stateOf(vm string, at time.Duration) cutState {
	state := connected
	for _, f := range s.Faults {
		begin, end := f.At.D(), f.At.D()+f.Duration.D()
		if f.Subject != vm || at < begin || at >= end+recoverTime {
			continue
		}
		if at < end && at >= begin+recoverTime {
			return cut
		}
		state = changing
	}
	return state
}

// checkRates records violations of ServedWhileCut. An episode is a time in which the same VMs are cut.
func (s *Schedule) checkRates(check *Checker, samples []sample) {
	type episode struct{ cut, others, keyedOthers rate }
	episodes := make(map[string]*episode)
	for _, v := range samples {
		name := ""
		for _, vm := range vmNames() {
			if s.stateOf(vm, v.at) == cut {
				name += vm + " "
			}
		}
		state := s.stateOf(v.vm, v.at)
		if name == "" || state == changing {
			continue
		}
		if episodes[name] == nil {
			episodes[name] = new(episode)
		}
		e := episodes[name]
		if state == cut {
			e.cut.add(v.served)
			continue
		}
		e.others.add(v.served)
		if v.keyed {
			e.keyedOthers.add(v.served)
		}
	}
	for name, e := range episodes {
		if e.cut.worseThan(e.others.share()) {
			check.Violated(ServedWhileCut, name, "while cut from all targets served %s, the others %s", e.cut, e.others)
		}
		if e.keyedOthers.worseThan(1) {
			check.Violated(ServedWhileCut, "keyed service while cut: "+name, "the other VMs served %s keyed requests", e.keyedOthers)
		}
	}
}
