// Package catalog holds what a VM believes of the operators' configuration and
// of the targets, and decides which updates change that. It has no network or clock.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockquay/internal/route"
)

// Target is one server as the platform lists it.
type Target struct {
	ID         string `msgpack:"i"`
	Service    string `msgpack:"s"`
	Addr       string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	// Slots is how many requests it runs at a time.
	Slots int `msgpack:"n"`
	// Draining targets take no new requests.
	Draining bool `msgpack:"g"`
	// Born is the start of its process, Unix milliseconds. An id may be used again
	// with a later one.
	Born int64 `msgpack:"b"`
	// WarmupLeft is how much longer it was to be slow when it wrote its entry.
	WarmupLeft time.Duration `msgpack:"c"`
	// Revision is the store's revision of the entry.
	Revision uint64 `msgpack:"r"`
}

// Hash is a target's id, short, for what VMs report to each other of targets.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Targets is a list of targets at a revision of the store.
type Targets struct {
	Revision uint64
	List     []Target
}

// removalGrace is how long after the store's return an entry may be missing:
// targets that live write theirs again within about two seconds.
const removalGrace = 2 * time.Second

// TargetSet is the list of targets with the times that decide who is still one. It
// belongs to one goroutine.
type TargetSet struct {
	revision uint64
	entries  map[string]Target
	// deferred holds the targets that were removed around an outage and may be back.
	deferred map[string]deferredRemoval
	// tombstones holds the store's revision by which an entry was tombstones. An entry that is
	// not later is out of date, however late the list that names it.
	tombstones map[string]uint64
	// completeSince is the revision after which no removal was forgotten; 0 before the
	// first list.
	completeSince uint64
	storeDown     bool
	// graceUntil is until when removals are taken for lapses of an outage.
	graceUntil time.Duration
}

// deferredRemoval is the removal of an entry that is kept for a while.
type deferredRemoval struct {
	// dueAt is when the target counts as gone.
	dueAt time.Duration
	// revision is the store's revision by which the entry was removed.
	revision uint64
}

// maxTombstones bounds the removals that are remembered: several times the targets of a large
// fleet, and only those of the last minutes are met again.
const maxTombstones = 4096

// NewTargetSet returns an empty list.
func NewTargetSet() *TargetSet {
	return &TargetSet{entries: make(map[string]Target), deferred: make(map[string]deferredRemoval), tombstones: make(map[string]uint64)}
}

// MarkStoreDown notes that the store does not answer.
func (m *TargetSet) MarkStoreDown() { m.storeDown = true }

// MarkStoreUp notes an answer of the store.
func (m *TargetSet) MarkStoreUp(now time.Duration) {
	if m.storeDown {
		m.storeDown = false
		m.graceUntil = now + removalGrace
	}
}

// Replace applies a whole list.
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

func (m *TargetSet) put(t Target) {
	if old, ok := m.entries[t.ID]; ok && old.Revision > t.Revision {
		return
	}
	if removed, ok := m.tombstones[t.ID]; ok && t.Revision <= removed {
		return
	}
	m.entries[t.ID] = t
	delete(m.deferred, t.ID)
	delete(m.tombstones, t.ID)
}

// Remove records that an entry is gone.
func (m *TargetSet) Remove(id string, revision uint64, now time.Duration) {
	if revision > m.revision {
		m.revision = revision
	}
	m.remove(id, revision, now)
}

// remove drops a target, or keeps it for a while after an outage.
// Entries of live targets expire while the store is down and are written again after its return.
// Draining targets are not kept.
func (m *TargetSet) remove(id string, revision uint64, now time.Duration) {
	t, ok := m.entries[id]
	if ok && t.Revision > revision {
		return
	}
	if !ok || now >= m.graceUntil || t.Draining {
		m.drop(id, revision)
		return
	}
	if _, waits := m.deferred[id]; !waits {
		m.deferred[id] = deferredRemoval{dueAt: m.graceUntil, revision: revision}
	}
}

// drop removes an entry and remembers by which revision it was removed.
//
// Another VM may keep the entry for a while after an outage and send it with a later list.
func (m *TargetSet) drop(id string, revision uint64) {
	delete(m.entries, id)
	delete(m.deferred, id)
	m.tombstones[id] = max(m.tombstones[id], revision)
	if len(m.tombstones) > maxTombstones {
		m.dropOldestTombstone()
	}
}

// dropOldestTombstone forgets the removal with the lowest revision.
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

// Expire drops targets whose grace is over and reports whether there were any.
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

// HasDeferredRemovals reports whether some targets are in their grace.
func (m *TargetSet) HasDeferredRemovals() bool { return len(m.deferred) > 0 }

// Snapshot returns the targets in order of their ids.
func (m *TargetSet) Snapshot() Targets {
	list := slices.Collect(maps.Values(m.entries))
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return Targets{Revision: m.revision, List: list}
}

// View is what requests are decided on. It is immutable.
type View struct {
	// Routes is nil until a configuration is known.
	Routes  *route.Table
	Targets Targets
	// ByService holds the targets that take requests.
	ByService map[string][]*Target
	ByID      map[string]*Target
}

// NewView indexes the parts.
func NewView(routes *route.Table, t Targets) *View {
	v := &View{Routes: routes, Targets: t, ByService: make(map[string][]*Target), ByID: make(map[string]*Target, len(t.List))}
	for i := range t.List {
		e := &t.List[i]
		v.ByID[e.ID] = e
		if !e.Draining {
			v.ByService[e.Service] = append(v.ByService[e.Service], e)
		}
	}
	return v
}

// ConfigVersion returns the version in force, 0 for none.
func (v *View) ConfigVersion() uint64 {
	if v.Routes == nil {
		return 0
	}
	return v.Routes.Config().Version
}
