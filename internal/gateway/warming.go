package gateway

import (
	"time"

	"hemlockquay/internal/decide/rendezvous"
	"hemlockquay/internal/decide/warmup"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
)

// warmingState is the warm-up of a target as known to this VM.
type warmingState struct {
	// until is when the target counts as warm.
	until time.Duration
	// sender reports whether this VM may send requests to the target while it is cold, as decided from the
	// members of version chosenBy.
	sender   bool
	chosenBy uint64
	// sent counts the requests of this VM to the target while it is cold.
	sent warmup.Meter
}

// fleetMembers are the known VMs. version increases with each change.
type fleetMembers struct {
	list    []rendezvous.Candidate
	version uint64
}

// The reasons for which a target counts as cold.
const (
	warmingByEntry  = "entry"
	warmingByReturn = "end of an evacuation"
	warmingByHealth = "health check"
)

// next returns the next version, which lists the given VMs.
func (f fleetMembers) next(members []mesh.Member) fleetMembers {
	list := make([]rendezvous.Candidate, len(members))
	for i, m := range members {
		list[i] = rendezvous.Candidate{VM: m.VM, DataCentre: m.DataCentre}
	}
	return fleetMembers{list: list, version: f.version + 1}
}

// setMembers sets the VMs from which the senders to cold targets are chosen.
func (s *routingState) setMembers(members []mesh.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = s.members.next(members)
}

// setHolders sets the VMs from which the holders of permits are chosen.
func (s *routingState) setHolders(members []mesh.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders = s.holders.next(members)
}

// serviceLocked returns the configuration of a service. It needs s.mu.
func (s *routingState) serviceLocked(name string) route.Service {
	if routes := s.view.Load().Routes; routes != nil {
		return routes.Config().Services[name]
	}
	return route.Service{}
}

// warmupLimitLocked returns the limit on requests to a cold target of a service. It returns false if there
// is none. It needs s.mu.
func (s *routingState) warmupLimitLocked(service string) (warmup.Limit, bool) {
	tolerated := s.serviceLocked(service).WarmupPerSecond
	if s.warmup.Ratio == 0 || tolerated == 0 {
		return warmup.Limit{}, false
	}
	return warmup.LimitFor(s.warmup.Ratio*tolerated + s.warmup.Slack), true
}

// markWarmingLocked records that a target is cold for some time. It needs s.mu.
func (s *routingState) markWarmingLocked(t *targetState, left time.Duration, cause string) {
	now := s.clock.Now()
	if left <= 0 || now+left <= t.warming.until {
		return
	}
	if now >= t.warming.until {
		s.log.Info().Str("step", "warmup").Str("target", t.ID).Str("service", t.Service).Dur("left", left).Str("cause", cause).Msg("target is cold")
	}
	t.warming.until = now + left
}

// isWarming reports whether a target is cold and requests to it are limited.
func (s *routingState) isWarming(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[target]
	if t == nil || s.clock.Now() >= t.warming.until {
		return false
	}
	_, limited := s.warmupLimitLocked(t.Service)
	return limited
}

// warmupExceededLocked reports whether a target is cold and must not get another request from this VM now.
// It needs s.mu.
func (s *routingState) warmupExceededLocked(t *targetState, now time.Duration) bool {
	if now >= t.warming.until {
		return false
	}
	limit, limited := s.warmupLimitLocked(t.Service)
	if !limited {
		return false
	}
	if t.warming.chosenBy != s.members.version {
		t.warming.chosenBy = s.members.version
		t.warming.sender = limit.IsSender(s.vm, s.members.list, t.ID, t.DataCentre)
	}
	return !t.warming.sender || !t.warming.sent.Allows(limit, now)
}

// warmingTargets returns the number of cold targets.
func (s *routingState) warmingTargets() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, now := int64(0), s.clock.Now()
	for _, t := range s.targets {
		if now < t.warming.until {
			n++
		}
	}
	return n
}
