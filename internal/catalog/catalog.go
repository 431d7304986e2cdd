// Package catalog holds a VM's view of the operators' configuration and of the
// targets, and decides which updates to apply. It uses neither network nor clock.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockquay/internal/route"
)

// Target is a server as listed by the platform.
type Target struct {
	ID         string `msgpack:"i"`
	Service    string `msgpack:"s"`
	Addr       string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `msgpack:"n"`
	// Draining targets take no new requests, as the store lists them.
	Draining bool `msgpack:"g"`
	// Leaving targets have said in a response that they leave.
	Leaving bool `msgpack:"l,omitempty"`
	// Born is the start time of its process in Unix milliseconds. A later process
	// may have the same id.
	Born int64 `msgpack:"b"`
	// WarmupLeft is the remaining warm-up time at the moment when it wrote its entry.
	WarmupLeft time.Duration `msgpack:"c"`
	// Revision is the store's revision of the entry.
	Revision uint64 `msgpack:"r"`
}

// differsFrom reports whether an entry differs from an earlier one in more than a warm-up time that has decreased.
// A cold target writes an entry for every step of it, while readers compute the end of the warm-up once.
func (t Target) differsFrom(old Target) bool {
	if t.WarmupLeft > old.WarmupLeft {
		return true
	}
	old.WarmupLeft, old.Revision = t.WarmupLeft, t.Revision
	return t != old
}

// Hash returns a short hash of a target's id, by which VMs name targets in heartbeats.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Targets is a list of targets at a revision of the store.
type Targets struct {
	Revision uint64
	List     []Target
}

// removalGrace is how long after the store is back a missing entry is kept.
// Running targets write their entries again within about two seconds.
const removalGrace = 2 * time.Second

// TargetSet is the set of known targets. It orders updates by the store's revisions, and
// defers removals that are likely a result of a store outage. It is not safe for
// concurrent use.
type TargetSet struct {
	revision uint64
	entries  map[string]Target
	// deferred holds the removals, by target id, that followed an outage and may be undone.
	deferred map[string]deferredRemoval
	// tombstones holds the store's revision of each removal, by target id. An entry whose revision
	// is not higher is outdated, even if a later list contains it.
	tombstones map[string]uint64
	// completeSince is the revision after which no tombstone was dropped; 0 before the
	// first list.
	completeSince uint64
	storeDown     bool
	// leaving holds the start times of targets that have said that they leave, by target id. No entry of the store
	// undoes that; it ends with the incarnation.
	leaving map[string]int64
	// cold holds the entries with a remaining warm-up time that were put since the last call of TakeCold.
	cold []Target
	// version increases with each change of an entry that affects how targets are used.
	version uint64
	// graceUntil is the time until which removals are attributed to an outage and deferred.
	graceUntil time.Duration
}

// deferredRemoval is a removal that is not applied yet.
type deferredRemoval struct {
	// dueAt is when the removal is applied.
	dueAt time.Duration
	// revision is the store's revision of the removal.
	revision uint64
}

// maxTombstones bounds the tombstones. It is several times the number of targets of a large fleet,
// and only entries removed in the last minutes can occur in a list again.
const maxTombstones = 4096

// NewTargetSet returns an empty set.
func NewTargetSet() *TargetSet {
	return &TargetSet{
		entries: make(map[string]Target), deferred: make(map[string]deferredRemoval),
		tombstones: make(map[string]uint64), leaving: make(map[string]int64),
	}
}

// MarkStoreDown records that the store does not answer.
func (m *TargetSet) MarkStoreDown() { m.storeDown = true }

// MarkStoreUp records an answer of the store. After an outage it starts the grace period.
func (m *TargetSet) MarkStoreUp(now time.Duration) {
	if m.storeDown {
		m.storeDown = false
		m.graceUntil = now + removalGrace
	}
}

// Replace applies a complete list. A list older than the set's revision is ignored.
func (m *TargetSet) Replace(t Targets, now time.Duration) {
	if t.Revision < m.revision {
		return
	}
	m.revision = t.Revision
	if m.completeSince == 0 {
		m.completeSince = t.Revision
	}
	listed := make(map[string]bool, len(t.List))
	for _, e := range t.List {
		listed[e.ID] = true
		m.put(e)
	}
	for id := range m.entries {
		if !listed[id] {
			m.remove(id, t.Revision, now)
		}
	}
}

// Put applies a new or changed entry.
func (m *TargetSet) Put(t Target, revision uint64) {
	if revision > m.revision {
		m.revision = revision
	}
	m.put(t)
}

// put applies an entry unless the set has a later entry or removal of the target.
func (m *TargetSet) put(t Target) {
	if old, ok := m.entries[t.ID]; ok && old.Revision > t.Revision {
		return
	}
	if removed, ok := m.tombstones[t.ID]; ok && t.Revision <= removed {
		return
	}
	if t.Leaving {
		m.setLeaving(t.ID, t.Born)
	}
	born, said := m.leaving[t.ID]
	t.Leaving = said && born == t.Born
	if old, ok := m.entries[t.ID]; !ok || t.differsFrom(old) {
		m.version++
	}
	if t.WarmupLeft > 0 {
		m.cold = append(m.cold, t)
	}
	m.entries[t.ID] = t
	delete(m.deferred, t.ID)
	delete(m.tombstones, t.ID)
}

// MarkLeaving records that an incarnation of a listed target has said that it leaves. It reports whether that was not
// known.
func (m *TargetSet) MarkLeaving(id string, born int64) bool {
	t, ok := m.entries[id]
	if !ok || t.Born != born || t.Leaving {
		return false
	}
	m.setLeaving(id, born)
	t.Leaving = true
	m.entries[id] = t
	m.version++
	return true
}

// setLeaving keeps the mark of an incarnation, also while its entry is missing. Of targets that are not listed, any may
// be dropped if there are too many.
func (m *TargetSet) setLeaving(id string, born int64) {
	m.leaving[id] = born
	for other := range m.leaving {
		if len(m.leaving) <= maxTombstones {
			return
		}
		if _, listed := m.entries[other]; !listed && other != id {
			delete(m.leaving, other)
		}
	}
}

// Remove applies the removal of an entry from the store.
func (m *TargetSet) Remove(id string, revision uint64, now time.Duration) {
	if revision > m.revision {
		m.revision = revision
	}
	m.remove(id, revision, now)
}

// remove drops a target, or defers its removal during the grace period after an outage. Entries of
// running targets expire while the store is down and are written again when it is back. Removals
// of targets that drain or leave are not deferred.
func (m *TargetSet) remove(id string, revision uint64, now time.Duration) {
	t, ok := m.entries[id]
	if ok && t.Revision > revision {
		return
	}
	if !ok || now >= m.graceUntil || t.Draining || t.Leaving {
		m.drop(id, revision)
		return
	}
	if _, waits := m.deferred[id]; !waits {
		m.deferred[id] = deferredRemoval{dueAt: m.graceUntil, revision: revision}
	}
}

// drop removes an entry and keeps a tombstone with the revision of the removal: another VM may have
// deferred the removal after an outage and send the entry in a later list.
func (m *TargetSet) drop(id string, revision uint64) {
	if _, ok := m.entries[id]; ok {
		m.version++
	}
	delete(m.entries, id)
	delete(m.deferred, id)
	m.tombstones[id] = max(m.tombstones[id], revision)
	if len(m.tombstones) > maxTombstones {
		m.dropOldestTombstone()
	}
}

// dropOldestTombstone drops the tombstone with the lowest revision.
func (m *TargetSet) dropOldestTombstone() {
	oldest := ""
	for id, revision := range m.tombstones {
		if oldest == "" || revision < m.tombstones[oldest] {
			oldest = id
		}
	}
	m.completeSince = max(m.completeSince, m.tombstones[oldest])
	delete(m.tombstones, oldest)
}

// Expire applies the deferred removals that are due and reports whether there were any. None is
// applied while the store is down.
func (m *TargetSet) Expire(now time.Duration) bool {
	changed := false
	for id, a := range m.deferred {
		if now >= a.dueAt && !m.storeDown {
			m.drop(id, a.revision)
			changed = true
		}
	}
	return changed
}

// TakeCold returns the entries with a remaining warm-up time that were put since the last call.
func (m *TargetSet) TakeCold() []Target {
	cold := m.cold
	m.cold = nil
	return cold
}

// Version returns a number that changes with each change that affects how targets are used.
func (m *TargetSet) Version() uint64 { return m.version }

// Revision returns the store's revision up to which changes are included.
func (m *TargetSet) Revision() uint64 { return m.revision }

// HasDeferredRemovals reports whether any removal is deferred.
func (m *TargetSet) HasDeferredRemovals() bool { return len(m.deferred) > 0 }

// Snapshot returns the targets, sorted by id, and the revision of the set.
func (m *TargetSet) Snapshot() Targets {
	list := slices.Collect(maps.Values(m.entries))
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return Targets{Revision: m.revision, List: list}
}

// View is the state by which requests are routed. It is immutable.
type View struct {
	// Routes is nil until a configuration is known.
	Routes  *route.Table
	Targets Targets
	// Evacuations says which data centres are evacuated.
	Evacuations Evacuations
	// ByService holds the targets that neither drain nor leave, and are not in an evacuated data centre.
	ByService map[string][]*Target
	ByID      map[string]*Target
}

// NewView returns a view of the routes and targets, with indexes of the targets.
func NewView(routes *route.Table, t Targets, evacuations Evacuations) *View {
	v := &View{
		Routes: routes, Targets: t, Evacuations: evacuations,
		ByService: make(map[string][]*Target), ByID: make(map[string]*Target, len(t.List)),
	}
	for i := range t.List {
		e := &t.List[i]
		v.ByID[e.ID] = e
		if !e.Draining && !e.Leaving && !evacuations.Contains(e.DataCentre) {
			v.ByService[e.Service] = append(v.ByService[e.Service], e)
		}
	}
	return v
}

// RouteCount returns the number of routes in force.
func (v *View) RouteCount() int {
	if v.Routes == nil {
		return 0
	}
	return len(v.Routes.Config().Routes)
}

// ConfigVersion returns the version of the configuration in force, or 0 if there is none.
func (v *View) ConfigVersion() uint64 {
	if v.Routes == nil {
		return 0
	}
	return v.Routes.Config().Version
}
