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

// lapseGrace is how long after the store's return an entry may be missing:
// targets that live write theirs again within about two seconds.
const lapseGrace = 2 * time.Second

// TargetSet is the list of targets with the times that decide who is still one. It
// belongs to one goroutine.
type TargetSet struct {
	revision uint64
	entries  map[string]Target
	// missing holds the targets that were removed around an outage and may be back.
	missing map[string]absence
	// removed holds the store's revision by which an entry was removed. An entry that is
	// not later is out of date, however late the list that names it.
	removed map[string]uint64
	// completeSince is the revision after which no removal was forgotten; 0 before the
	// first list.
	completeSince uint64
	down          bool
	// graceEnds is until when removals are taken for lapses of an outage.
	graceEnds time.Duration
}

// absence is the removal of an entry that is kept for a while.
type absence struct {
	// until is when the target counts as gone.
	until time.Duration
	// revision is the store's revision by which the entry was removed.
	revision uint64
}

// maxRemoved bounds the removals that are remembered: several times the targets of a large
// fleet, and only those of the last minutes are met again.
const maxRemoved = 4096

// NewTargetSet returns an empty list.
func NewTargetSet() *TargetSet {
	return &TargetSet{entries: make(map[string]Target), missing: make(map[string]absence), removed: make(map[string]uint64)}
}

// MarkStoreDown notes that the store does not answer.
func (m *TargetSet) MarkStoreDown() { m.down = true }

// MarkStoreUp notes an answer of the store.
func (m *TargetSet) MarkStoreUp(now time.Duration) {
	if m.down {
		m.down = false
		m.graceEnds = now + lapseGrace
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
	if removed, ok := m.removed[t.ID]; ok && t.Revision <= removed {
		return
	}
	m.entries[t.ID] = t
	delete(m.missing, t.ID)
	delete(m.removed, t.ID)
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
	if !ok || now >= m.graceEnds || t.Draining {
		m.drop(id, revision)
		return
	}
	if _, waits := m.missing[id]; !waits {
		m.missing[id] = absence{until: m.graceEnds, revision: revision}
	}
}

// drop removes an entry and remembers by which revision it was removed.
//
// Another VM may keep the entry for a while after an outage and send it with a later list.
func (m *TargetSet) drop(id string, revision uint64) {
	delete(m.entries, id)
	delete(m.missing, id)
	m.removed[id] = max(m.removed[id], revision)
	if len(m.removed) > maxRemoved {
		m.forgetOldest()
	}
}

// forgetOldest forgets the removal with the lowest revision.
func (m *TargetSet) forgetOldest() {
	oldest := ""
	for id, revision := range m.removed {
		if oldest == "" || revision < m.removed[oldest] {
			oldest = id
		}
	}
	m.completeSince = max(m.completeSince, m.removed[oldest])
	delete(m.removed, oldest)
}

// Expire drops targets whose grace is over and reports whether there were any.
func (m *TargetSet) Expire(now time.Duration) bool {
	changed := false
	for id, a := range m.missing {
		if now >= a.until && !m.down {
			m.drop(id, a.revision)
			changed = true
		}
	}
	return changed
}

// HasDeferredRemovals reports whether some targets are in their grace.
func (m *TargetSet) HasDeferredRemovals() bool { return len(m.missing) > 0 }

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
