package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/standin/fleet"
)

const (
	// Evacuate has operators evacuate a data centre until the fault ends.
	Evacuate Kind = "evacuate"
	// Evacuated: an evacuated data centre gets no requests once evacuateWithin has passed, if no other fault
	// was in progress in the last faultFreeTime.
	Evacuated = "EVACUATED"

	// evacuatedDC is the data centre of the last target of each service, if the profile has two, and
	// mainDC that of all others.
	evacuatedDC, mainDC = "b", "a"
	evacuateWithin      = 5 * time.Second
	faultFreeTime       = 3 * time.Second
)

// dataCentreOf returns the data centre of a target.
func dataCentreOf(target string) string {
	if strings.HasSuffix(target, fmt.Sprintf("-%d", targetCount)) {
		return evacuatedDC
	}
	return mainDC
}

// setEvacuated writes or removes the operators' object of the evacuated data centre.
func (w *site) setEvacuated(evacuated bool) {
	if evacuated {
		w.store.Set(fleet.EvacuationKind, evacuatedDC, struct{}{})
	} else {
		w.store.Remove(fleet.EvacuationKind, evacuatedDC)
	}
	w.check.setEvacuated(evacuated)
}

// evacuationWatch is what the checker knows of the evacuation and of the other faults.
type evacuationWatch struct {
	evacuated   bool
	evacuatedAt time.Time
	// otherFaults is the number of other faults in progress, faultFreeSince the end of the last one.
	otherFaults    int
	faultFreeSince time.Time
}

func (c *Checker) setEvacuated(evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuation.evacuated, c.evacuation.evacuatedAt = evacuated, c.now()
}

// countOtherFault records the start (1) or the end (-1) of a fault that is no evacuation.
func (c *Checker) countOtherFault(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuation.otherFaults += change
	c.evacuation.faultFreeSince = c.now()
}

// checkEvacuated checks a request that a target has begun to run. It needs c.mu.
func (c *Checker) checkEvacuated(target, id string) {
	e, now := &c.evacuation, c.now()
	if !e.evacuated || dataCentreOf(target) != evacuatedDC || e.otherFaults > 0 {
		return
	}
	if since := now.Sub(e.evacuatedAt); since > evacuateWithin && now.Sub(e.faultFreeSince) > faultFreeTime {
		c.violated(Evacuated, id, "runs on %s, %v after its data centre was evacuated", target, since)
	}
}

// Distributions of the faults of the profile evacuations.
var (
	evacuationTime = durationRange{9 * time.Second, 13 * time.Second}
	betweenTime    = durationRange{time.Second, 3 * time.Second}
	// vmFaultTime is short, so that a part of each evacuation is free of other faults.
	vmFaultTime = durationRange{200 * time.Millisecond, 2500 * time.Millisecond}
)

// maxVMFaults is the maximum number of faults of VMs at the start of an evacuation.
const maxVMFaults = 3

// GenerateEvacuations returns the fault schedule of a seed for the profile evacuations.
func GenerateEvacuations(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s := new(Schedule)
	for at := betweenTime.random(r); at < over; {
		length := evacuationTime.random(r)
		s.add(Fault{At: model.Duration(at), Kind: Evacuate, Subject: evacuatedDC, Duration: model.Duration(length)}, over)
		for range r.IntN(maxVMFaults + 1) {
			kind := kinds[false][r.IntN(len(kinds[false]))]
			begin := at + offsetInSeries.random(r) - offsetInSeries.max/2
			s.add(Fault{At: model.Duration(max(begin, 0)), Kind: kind, Subject: vmNames()[r.IntN(vmCount)], Duration: model.Duration(vmFaultTime.random(r))}, over)
		}
		at += length + betweenTime.random(r)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
