package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/duration"
	"hemlockquay/internal/decide/pick"
	"hemlockquay/internal/decide/repeats"
	"hemlockquay/internal/decide/urgency"
	"hemlockquay/internal/gateway/published"
	"hemlockquay/internal/mesh"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// routingState is what the VM believes and has running. It is safe for concurrent use.
type routingState struct {
	clock    boottime.Clock
	log      *log.Logger
	registry metrics.Registry
	near     string
	limit    repeats.Limit

	view atomic.Pointer[catalog.View]
	// leases have a lock of their own, which is taken after mu where both are.
	leases *published.Leases

	mu sync.Mutex
	// turn rises with each choice of a target.
	turn int
	// members decide which targets exist.
	members *catalog.TargetSet
	// configuredAt is when the configuration last changed.
	configuredAt time.Duration
	// changed is closed and replaced when routing or view change.
	changed chan struct{}
	// announce is called when the VM believes something new that others may not know.
	announce func()
	targets  map[string]*targetState
	// byHash finds targets by their key in the loads of other VMs.
	byHash map[uint32]*targetState
	// pools holds the targets of each service that take requests.
	pools map[string]*servicePool
	// fleet is this VM's place among the others.
	fleet fleetPlace
	// inUse holds the targets that have requests of this VM, or had some lately.
	inUse     map[*targetState]struct{}
	budgets   map[string]*repeats.Budget
	durations map[string]*duration.Table
	// urgency counts the requests of each service by priority.
	urgency map[string]*urgency.Meter
	// warmupCost is how many usual requests one for a cold key is worth, by service.
	warmupCost map[string]float64
	// crashes dates the targets that ended under a request, by their hashes.
	crashes map[uint64]map[uint32]time.Duration
	// misdirectedAt is when a target of a service last said that it does not hold a key.
	misdirectedAt map[string]time.Duration
	// keyLoad counts requests by service and key since the grantor last asked.
	keyLoad map[string]map[uint16]uint16
}

// targetState is one life of a target with the connections to it.
type targetState struct {
	catalog.Target
	hash uint32
	pool *upstream.Pool
	// displaced reports whether another target answers at the address: this life is
	// over, though its entry is still listed.
	displaced bool
	// leavesAt is until when a target that leaves may still get requests.
	leavesAt time.Duration
	pick     pick.State
	// sharers is how many VMs have the target in their part of its pool; 0 while this VM has
	// not.
	sharers int
}

// maxKeysCounted bounds the keys that are counted for a service: as many as a VM
// sees requests in some seconds. While no grantor asks, more are not counted.
const maxKeysCounted = 4096

func newRoutingState(clock boottime.Clock, logger *log.Logger, registry metrics.Registry, near string, limit repeats.Limit) *routingState {
	s := &routingState{
		clock: clock, log: logger, registry: registry, near: near, limit: limit, fleet: onlyVM,
		members: catalog.NewTargetSet(), changed: make(chan struct{}), announce: func() {},
		targets: make(map[string]*targetState), byHash: make(map[uint32]*targetState),
		inUse: make(map[*targetState]struct{}), budgets: make(map[string]*repeats.Budget),
		durations: make(map[string]*duration.Table), warmupCost: make(map[string]float64), urgency: make(map[string]*urgency.Meter),
		crashes:       make(map[uint64]map[uint32]time.Duration),
		misdirectedAt: make(map[string]time.Duration), keyLoad: make(map[string]map[uint16]uint16),
	}
	s.view.Store(catalog.NewView(nil, catalog.Targets{}))
	s.leases = published.New(clock, registry, s.notify)
	return s
}

// notify wakes who waits for a change.
func (s *routingState) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

// notifyLocked needs s.mu.
func (s *routingState) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setConfig puts a newer configuration in force. Older ones change nothing: a
// version never goes back while the process lives.
func (s *routingState) setConfig(c *route.Config, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	if c.Version <= old.ConfigVersion() {
		return
	}
	s.log.Info().Str("step", "config").Uint64("version", c.Version).Uint64("before", old.ConfigVersion()).
		Int("routes", len(c.Routes)).Int("unread", len(c.Unread)).Str("source", source).Msg("configuration in force")
	s.noteUnread(c)
	s.view.Store(catalog.NewView(route.NewTable(c, old.Routes), old.Targets))
	s.configuredAt = s.clock.Now()
	s.notifyLocked()
	if source == sourceStore {
		s.announce()
	}
}

// unreadLines bounds the log lines on one version's values that were not understood.
const unreadLines = 20

// noteUnread logs what was not understood of a configuration. The metric counts
// what is in force, not what was seen.
func (s *routingState) noteUnread(c *route.Config) {
	metrics.GetOrRegisterGauge("config.unread", s.registry).Update(int64(len(c.Unread)))
	for _, u := range c.Unread[:min(len(c.Unread), unreadLines)] {
		s.log.Error().Str("step", "config").Uint64("version", c.Version).Str("part", u.Part).Str("field", u.Field).
			Str("value", u.Value).Str("takenAs", u.TakenAs).Msg("not understood")
	}
}

// changeTargets applies a change to the list of targets and puts it in force.
func (s *routingState) changeTargets(source string, change func(m *catalog.TargetSet, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.members, s.clock.Now())
	s.publishLocked(source)
}

// targetsSince returns what changed in the list of targets since a revision; false if that
// is not known.
func (s *routingState) targetsSince(revision uint64) (catalog.Changes, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.ChangesSince(revision)
}

// publishLocked needs s.mu.
func (s *routingState) publishLocked(source string) {
	old := s.view.Load()
	view := catalog.NewView(old.Routes, s.members.Snapshot())
	for i := range view.Targets.List {
		s.trackLocked(view.Targets.List[i], source)
	}
	for id, t := range s.targets {
		if view.ByID[id] == nil {
			s.log.Info().Str("step", "targets").Str("target", id).Str("service", t.Service).Str("source", source).Msg("target gone")
			t.pool.Close()
			s.untrackLocked(t)
		}
	}
	s.view.Store(view)
	s.subsetLocked()
	s.notifyLocked()
	if source == sourceStore {
		s.announce()
	}
}

// trackLocked needs s.mu. A new life of a target starts with nothing known and
// no connections: those of its last life lead nowhere.
func (s *routingState) trackLocked(t catalog.Target, source string) {
	old := s.targets[t.ID]
	if old != nil && old.Born == t.Born && old.Addr == t.Addr {
		if old.Draining != t.Draining {
			s.log.Info().Str("step", "targets").Str("target", t.ID).Str("service", t.Service).
				Bool("draining", t.Draining).Uint64("revision", t.Revision).Str("source", source).Msg("target changed")
		}
		if t.Draining && !old.Draining {
			old.leavesAt = s.clock.Now() + leavingMost
		}
		old.Target = t
		old.pick.Slots = t.Slots
		return
	}
	if old != nil {
		old.pool.Close()
		s.untrackLocked(old)
	}
	s.log.Info().Str("step", "targets").Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Int64("born", t.Born).
		Bool("draining", t.Draining).Uint64("revision", t.Revision).Str("source", source).Msg("target known")
	now := &targetState{
		Target: t, hash: catalog.Hash(t.ID),
		pool: upstream.NewPool(t.Addr, metrics.GetOrRegisterCounter("connections.opened", s.registry)),
		pick: pick.State{Slots: t.Slots, Near: t.DataCentre == s.near},
	}
	if t.Draining {
		now.leavesAt = s.clock.Now() + leavingMost
	}
	s.targets[t.ID] = now
	s.byHash[mesh.LoadKey(now.hash)] = now
}

// untrackLocked needs s.mu.
func (s *routingState) untrackLocked(t *targetState) {
	delete(s.targets, t.ID)
	delete(s.inUse, t)
	if key := mesh.LoadKey(t.hash); s.byHash[key] == t {
		delete(s.byHash, key)
	}
}

// leavingMost is how long an owner that leaves may still get requests for its
// keys, until they have another owner. Targets must get none two seconds after
// their leaving was accepted.
const leavingMost = 1500 * time.Millisecond

// setLimit changes the bound of repeats.
func (s *routingState) setLimit(l repeats.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = l
}
