package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"hemlockquay/internal/model"
)

const (
	// Starve lets the process of a VM run for a share of the time only.
	Starve Kind = "starve"
	// NewRouteNotDenied: routeBound after the store has accepted a route, no VM answers 404 on it, whatever holds it up.
	NewRouteNotDenied = "DENIED"

	// starvedPeriod is the time in which a starved process is stopped and continued once.
	starvedPeriod = 50 * time.Millisecond
)

// starvedShares are the shares of the time for which starved processes run.
var starvedShares = []float64{0.1, 0.03, 0.01, 0.004}

// starve stops and continues the process of a VM until the fault has ended.
func (w *site) starve(f Fault) {
	for w.isActive(f) {
		run := time.Duration(f.Share * float64(starvedPeriod))
		w.vms[f.Subject].suspend()
		time.Sleep(starvedPeriod - run)
		w.vms[f.Subject].resume()
		time.Sleep(run)
	}
}

func (w *site) isActive(f Fault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active[f.activeKey()] > 0
}

// checkNotDenied asks each VM for an added route.
func (w *site) checkNotDenied(name string) {
	for _, vm := range w.profile.vmNames() {
		id := name + "-any-" + vm
		w.check.RequestSent(id, false)
		if w.askRoute(w.vms[vm].requestAddr, name, id) == routeDenied {
			w.check.Violated(NewRouteNotDenied, id, "404, %v after it was added", routeBound)
		}
	}
}

// Distributions of the faults of the profile starved.
var (
	starveInterval = durationRange{4 * time.Second, 7 * time.Second}
	starveTime     = durationRange{2500 * time.Millisecond, 6 * time.Second}
	// starvedRouteOffset is the time from the begin of a series to the moment at which a route is added.
	starvedRouteOffset = durationRange{0, 3 * time.Second}
)

// GenerateStarved returns the fault schedule of a seed for the profile starved: some VMs are short of processor time,
// others do not reach the store, and routes are added meanwhile.
func GenerateStarved(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s, vms, routes := new(Schedule), names("vm", routeVMs), 0
	for begin := time.Second; begin < over; begin += starveInterval.random(r) {
		order := r.Perm(routeVMs)
		starved, silent := 1+r.IntN(routeVMs/2), r.IntN(routeVMs/2)
		for i, vm := range order[:starved+silent] {
			f := Fault{At: model.Duration(begin + silenceOffset.random(r)), Kind: Starve, Subject: vms[vm], Duration: model.Duration(starveTime.random(r)), Share: starvedShares[r.IntN(len(starvedShares))]}
			if i >= starved {
				f.Kind, f.Duration, f.Share = HoldLink, model.Duration(silenceTime.random(r)), 0
			}
			s.add(f, over)
		}
		for range 1 + r.IntN(3) {
			s.addRoute(&routes, begin+starvedRouteOffset.random(r), over)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
