package gateway

import (
	"maps"
	"slices"

	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

// mayProcessLocked reports whether requests of a route may be sent to a target. It needs s.mu.
func (s *routingState) mayProcessLocked(rt *route.Route, t *targetState) bool {
	return rt.MayUse(s.regions[t.DataCentre])
}

// mayCarry reports whether the body of a request may be sent to another VM.
func (s *routingState) mayCarry(rt *route.Route, vm mesh.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rt.MayUse(s.regions[vm.DataCentre])
}

// refuseUnknownRegionsLocked makes routes unusable that name a region which no data centre is in: the name
// may be a mistake for one whose data must not leave it. It needs s.mu.
func (s *routingState) refuseUnknownRegionsLocked(c *route.Config) {
	known := slices.Collect(maps.Values(s.regions))
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, region := range r.Regions {
			if r.Unusable == "" && !slices.Contains(known, region) {
				c.Unread = append(c.Unread, route.Unread{Part: "route " + r.Name, Field: "regions", Value: region, TakenAs: "route refused"})
				r.Unusable = "region " + region + " unknown"
			}
		}
	}
}
