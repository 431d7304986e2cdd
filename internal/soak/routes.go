package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/standin/fleet"
)

const (
	// AddRoute has operators write a configuration with one route more. The fault lasts until each VM that
	// reaches the store must serve the route.
	AddRoute Kind = "route"
	// NewRouteServed: routeBound after the store has accepted a route, each VM that has reached the store for
	// reachedFor knows it. It depends on the speed of the machine.
	NewRouteServed = "ROUTE"

	routeBound = 2 * time.Second
	reachedFor = 3 * time.Second
	// routeVMs is the number of VMs of the profile routes: several times those that watch the store for all.
	// At least minSilent of them lose the store in a series.
	routeVMs, minSilent = 12, 6
)

// addedRoutes are the routes that operators have added in a run.
type addedRoutes struct {
	count int
	// members holds the routes as members of the configuration's JSON.
	members strings.Builder
}

// routeHost returns the host of an added route.
func routeHost(route string) string { return route + ".example" }

// addRoute writes a configuration with a route more.
func (w *site) addRoute(name string) {
	w.added.count++
	w.added.members.WriteString(fleet.IdempotentPoolRoute(name, routeHost(name)))
	w.store.Set("config", "main", fleet.Config(1+w.added.count, w.added.members.String()))
}

// checkRoute asks each VM that has reached the store for reachedFor, and has not been disturbed, for a route.
func (w *site) checkRoute(name string) {
	for _, vm := range w.profile.vmNames() {
		if w.undisturbedFor(vm) < reachedFor {
			continue
		}
		id := name + "-" + vm
		w.check.RequestSent(id, false)
		if detail := w.askRoute(w.vms[vm].requestAddr, name, id); detail != "" {
			w.check.Violated(NewRouteServed, id, "%s", detail)
		}
	}
}

// routeDenied says that a VM answered that an added route does not exist.
const routeDenied = "status 404 after it was added"

// askRoute sends a request for an added route and returns what is wrong with the answer, if anything.
func (w *site) askRoute(addr, route, id string) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+id, http.NoBody)
	if err != nil {
		return err.Error()
	}
	r.Host = routeHost(route)
	r.Header.Set(fleet.Headers.RequestID, id)
	client := http.Client{Timeout: w.profile.CallerTimeout}
	resp, err := client.Do(r)
	if err != nil {
		// The VM may have been disturbed since.
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if resp.StatusCode == http.StatusNotFound {
		return routeDenied
	}
	if strings.Contains(string(body), "route not known") {
		return fmt.Sprintf("status %d, %v after it was added", resp.StatusCode, routeBound)
	}
	return ""
}

// undisturbedFor returns for how long no fault has concerned a VM.
func (w *site) undisturbedFor(vm string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, n := range w.active {
		if key[0] == vm && n > 0 {
			return 0
		}
	}
	return time.Since(w.faultEnded[vm])
}

// Distributions of the faults of the profile routes.
var (
	silenceInterval = durationRange{5 * time.Second, 8 * time.Second}
	silenceTime     = durationRange{2500 * time.Millisecond, 6 * time.Second}
	// silenceOffset is the time from the first VM that loses the store in a series to the others.
	silenceOffset = durationRange{0, 100 * time.Millisecond}
	// routeOffset is the time from the begin of a series to the moment at which a route is added.
	routeOffset = durationRange{0, 600 * time.Millisecond}
)

// GenerateRoutes returns the fault schedule of a seed for the profile routes: the store leaves the calls of
// several VMs unanswered, others are killed, suspended or stopped, and routes are added meanwhile.
func GenerateRoutes(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s, vms, routes := new(Schedule), names("vm", routeVMs), 0
	for begin := silenceInterval.min; begin < over; begin += silenceInterval.random(r) {
		order := r.Perm(routeVMs)
		silent := minSilent + r.IntN(routeVMs-minSilent)
		for _, i := range order[:silent] {
			s.add(Fault{At: model.Duration(begin + silenceOffset.random(r)), Kind: HoldLink, Subject: vms[i], Duration: model.Duration(silenceTime.random(r))}, over)
		}
		for range r.IntN(2) {
			kind := []Kind{Suspend, Kill, Terminate}[r.IntN(3)]
			s.add(Fault{At: model.Duration(begin + silenceOffset.random(r)), Kind: kind, Subject: vms[order[r.IntN(routeVMs)]], Duration: model.Duration(durations[kind].random(r))}, over)
		}
		for range 1 + r.IntN(2) {
			s.addRoute(&routes, begin+routeOffset.random(r), over)
		}
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// addRoute adds an AddRoute at a time, unless its bound is after the end of the run. routes is the number of routes added
// so far.
func (s *Schedule) addRoute(routes *int, at, over time.Duration) {
	if at+routeBound > over {
		return
	}
	*routes++
	s.add(Fault{At: model.Duration(at), Kind: AddRoute, Subject: fmt.Sprint("route-", *routes), Duration: model.Duration(routeBound)}, over)
}
