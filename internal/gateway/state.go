package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/boottime"
	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/duration"
	"hemlockquay/internal/decide/permit"
	"hemlockquay/internal/decide/pick"
	"hemlockquay/internal/decide/pushback"
	"hemlockquay/internal/decide/reach"
	"hemlockquay/internal/decide/repeats"
	"hemlockquay/internal/decide/urgency"
	"hemlockquay/internal/gateway/published"
	"hemlockquay/internal/route"
	"hemlockquay/internal/upstream"
)

// routingState is the routing information that the VM has, and the load and statistics of its
// targets. It is safe for concurrent use.
type routingState struct {
	clock    boottime.Clock
	log      *log.Logger
	registry metrics.Registry
	// vm and dataCentre are the names of this VM and of its data centre.
	vm, dataCentre string
	// regions holds the region of each data centre.
	regions map[string]string
	// source is the local address of the connections to targets, if it is set.
	source netip.Addr
	// openConn opens connections to targets in place of dials, if it is set.
	openConn func(ctx context.Context, addr string) (net.Conn, error)
	// answerMemory bounds the memory of all answers of targets.
	answerMemory *upstream.Memory
	// brokenAnswers records the broken answers of all targets. It may be nil.
	brokenAnswers *answers.Log
	// targetConns bounds the connections to all targets. It may be nil.
	targetConns *upstream.Conns
	repeatLimit repeats.Limit
	// warmup limits the requests to cold targets.
	warmup Warmup
	// placesFromVMs is Settings.Places.FromVMs.
	placesFromVMs int

	view atomic.Pointer[catalog.View]
	// leases has a lock of its own. If both locks are needed, mu is acquired first.
	leases *published.Leases

	mu sync.Mutex
	// startIndex is the index at which the next search for a target starts. It increases with each
	// search.
	startIndex int
	// membership tracks which targets exist.
	membership *catalog.TargetSet
	// evacuations says which data centres are evacuated.
	evacuations catalog.Evacuations
	// evacuatedAt is when this VM learned of the evacuation of each data centre in evacuations.
	evacuatedAt map[string]time.Duration
	// returns holds the latest end of an evacuation of each data centre.
	returns map[string]dataCentreReturn
	// configChangedAt is when the configuration last changed.
	configChangedAt time.Duration
	// configSource is the VM that sent the configuration in force, or sourceStore.
	configSource string
	// announced is the newest configuration that other VMs have announced.
	announced announcedConfig
	// changed is closed and replaced when the leases or view change.
	changed chan struct{}
	// announce is called after this VM read something from the store that other VMs may not know
	// yet.
	announce func()
	// reachedBy returns how many other VMs may reach a target, and their number.
	reachedBy func(target uint32) (reach, others int)
	targets   map[string]*targetState
	// byHash holds the targets by the hash that other VMs use in their reported loads.
	byHash map[uint32]*targetState
	// unlisted holds, by ID, what targets said that are no longer listed. An entry that lapsed may return.
	unlisted map[string]lastSignals
	// pools holds the targets that accept requests, by service.
	pools map[string]*servicePool
	// vantage concludes whether this VM is cut off from all targets.
	vantage reach.Vantage
	// fleet is this VM's place among the VMs.
	fleet fleetPlace
	// members are the known VMs, from which those are chosen that send requests to cold targets. It is
	// empty until the list of VMs was read from the store.
	members fleetMembers
	// holders are the known VMs, from which those are chosen that grant permits for targets with a limit. It is
	// empty until the list of VMs was received from the store or from another VM.
	holders fleetMembers
	// lostPaths holds the targets whose paths are lost. Each heartbeat lists them.
	lostPaths map[*targetState]struct{}
	// toReport holds the targets that have said something lately that other VMs are told.
	toReport map[*targetState]struct{}
	// inUse holds the targets at which this VM has requests, or had some recently.
	inUse     map[*targetState]struct{}
	budgets   map[string]*repeats.Budget
	durations map[string]*duration.Table
	// urgency counts the requests by priority, by service.
	urgency map[string]*urgency.Meter
	// warmupCost is the cost of a request for a cold key, in usual requests, by service.
	warmupCost map[string]float64
	// crashes holds the times at which targets crashed, by the digest of the request that they ran
	// and by the hash of the target's ID.
	crashes map[uint64]map[uint32]time.Duration
	// tellsLoad holds, by service, whether the last response of a target reported its load.
	tellsLoad map[string]bool
	// partialAt is when a target last turned out to refuse only a part of the requests, by service.
	partialAt map[string]time.Duration
	// misdirectedAt is when a target last said that it does not hold a key, by service.
	misdirectedAt map[string]time.Duration
	// keyLoad counts requests by service and key since the grantor last read the counts.
	keyLoad map[string]map[uint16]uint16
}

// targetState is one incarnation of a target, with the connections to it.
type targetState struct {
	catalog.Target
	hash uint32
	pool *upstream.Pool
	// displaced reports whether another target responds at the address. This incarnation has
	// ended, although it is still listed.
	displaced bool
	// tellsLoad reports whether the target reports its load, including its current slowness.
	tellsLoad bool
	// warming is the state of the target's warm-up.
	warming warmingState
	// limit is what this VM knows of the limit that the target states.
	limit targetLimit
	// pushback is what this VM knows of requests that the target has refused.
	pushback pushback.State
	// leavingAnnouncedAt is when the target first said to this VM that it leaves, or 0.
	leavingAnnouncedAt time.Duration
	// announcedAt is when what the target says was last announced to the other VMs ahead of the next heartbeat.
	announcedAt time.Duration
	// sent counts the requests of this VM to the target.
	sent [sentKinds]permit.Window
	// drainsUntil is the time until which a target may get requests that the store lists as draining.
	drainsUntil time.Duration
	pick        pick.State
	// path is what this VM knows of its own path to the target.
	path reach.Path
	// waitingSince is the later of the time since which requests of this VM are in flight at the target
	// and that of the target's last answer.
	waitingSince time.Duration
	// expected is the expected duration of the request that was last sent to the target.
	expected time.Duration
	// inFlight holds the idempotent attempts in flight with the functions that abort them.
	inFlight map[*attempt]context.CancelFunc
	// vmsUsing is the number of VMs that have the target in their subset of the pool, or 0 if this
	// VM does not.
	vmsUsing int
}

// maxKeysCounted bounds the number of keys that are counted per service. It is about the number of
// requests that a VM gets in a few seconds. If no grantor reads the counts, further keys are not
// counted.
const maxKeysCounted = 4096

func newRoutingState(clock boottime.Clock, logger *log.Logger, registry metrics.Registry, dataCentre string, repeatLimit repeats.Limit) *routingState {
	s := &routingState{
		clock: clock, log: logger, registry: registry, dataCentre: dataCentre, repeatLimit: repeatLimit, fleet: onlyVM,
		membership: catalog.NewTargetSet(), changed: make(chan struct{}), announce: func() {},
		reachedBy: func(uint32) (reach, others int) { return 0, 0 },
		targets:   make(map[string]*targetState), byHash: make(map[uint32]*targetState), unlisted: make(map[string]lastSignals),
		inUse: make(map[*targetState]struct{}), lostPaths: make(map[*targetState]struct{}), toReport: make(map[*targetState]struct{}), budgets: make(map[string]*repeats.Budget),
		durations: make(map[string]*duration.Table), warmupCost: make(map[string]float64), urgency: make(map[string]*urgency.Meter),
		crashes:     make(map[uint64]map[uint32]time.Duration),
		evacuatedAt: make(map[string]time.Duration), returns: make(map[string]dataCentreReturn),
		tellsLoad: make(map[string]bool), partialAt: make(map[string]time.Duration),
		misdirectedAt: make(map[string]time.Duration), keyLoad: make(map[string]map[uint16]uint16),
	}
	s.announced.log = logger
	s.view.Store(catalog.NewView(nil, catalog.Targets{}, catalog.Evacuations{}))
	s.leases = published.New(clock, registry, s.notifyChanged)
	return s
}

// notifyChanged wakes the requests that wait for a change.
func (s *routingState) notifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChangedLocked()
}

// notifyChangedLocked is notifyChanged for callers that hold s.mu.
func (s *routingState) notifyChangedLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setConfig applies a configuration if it is newer than the current one. The version never
// decreases while the process runs.
func (s *routingState) setConfig(c *route.Config, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	if c.Version <= old.ConfigVersion() {
		return
	}
	s.log.Info().Str("step", "config").Uint64("version", c.Version).Uint64("before", old.ConfigVersion()).
		Int("routes", len(c.Routes)).Int("unread", len(c.Unread)).Str("source", source).
		Dur("announcedFor", s.announced.age(c.Version, s.clock.Now())).Msg("configuration in force")
	s.refuseUnknownRegionsLocked(c)
	s.reportUnread(c)
	s.view.Store(catalog.NewView(route.NewTable(c, old.Routes), old.Targets, old.Evacuations))
	s.configChangedAt, s.configSource = s.clock.Now(), source
	for _, t := range s.targets {
		// Their data centre may have been taken back before the warm-up time was known.
		s.markReturnedLocked(t)
	}
	s.notifyChangedLocked()
	if source == sourceStore {
		s.announce()
	}
}

// maxUnreadLines bounds the log lines on unreadable values of one version.
const maxUnreadLines = 20

// reportUnread logs the values of a configuration that could not be read. The metric shows their
// number in the configuration that is in force, not a total.
func (s *routingState) reportUnread(c *route.Config) {
	metrics.GetOrRegisterGauge("config.unread", s.registry).Update(int64(len(c.Unread)))
	for _, u := range c.Unread[:min(len(c.Unread), maxUnreadLines)] {
		s.log.Error().Str("step", "config").Uint64("version", c.Version).Str("part", u.Part).Str("field", u.Field).
			Str("value", u.Value).Str("takenAs", u.TakenAs).Msg("not understood")
	}
}

// setLimits changes the limit on requests to cold targets, and the regions of data centres. A route that names
// an unknown region is judged when the next configuration comes into force.
func (s *routingState) setLimits(warmup Warmup, regions map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmup, s.regions = warmup, regions
}

// setRepeatLimit changes the limit on repeats.
func (s *routingState) setRepeatLimit(l repeats.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeatLimit = l
}
