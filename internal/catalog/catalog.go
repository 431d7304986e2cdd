// Package catalog holds what a VM believes of the operators' configuration and
// of the targets, and decides which news change that. It has no network or clock.
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
	ID         string
	Service    string
	Addr       string
	DataCentre string
	// Slots is how many requests it runs at a time.
	Slots int
	// Draining targets take no new requests.
	Draining bool
	// Born is the start of its process, Unix milliseconds. An id may come back
	// with a later one.
	Born int64
	// Cold is how much longer it was to be slow when it wrote its entry.
	Cold time.Duration
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Hash is a target's id, short, for what VMs tell each other of targets.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Targets is a list of targets at a revision of the store.
type Targets struct {
	Revision uint64
	List     []Target
}

// lapseGrace is how long after the store's return an entry may be missing:
// targets that live write theirs again within about two seconds.
const lapseGrace = 2 * time.Second

// Members is the list of targets with the times that decide who is still one. It
// belongs to one goroutine.
type Members struct {
	revision uint64
	entries  map[string]Target
	// missing dates when a target that was removed around an outage counts as
	// gone.
	missing map[string]time.Duration
	down    bool
	// graceEnds is until when removals are taken for lapses of an outage.
	graceEnds time.Duration
}

// NewMembers returns an empty list.
func NewMembers() *Members {
	return &Members{entries: make(map[string]Target), missing: make(map[string]time.Duration)}
}

// StoreLost notes that the store does not answer.
func (m *Members) StoreLost() { m.down = true }

// StoreBack notes an answer of the store.
func (m *Members) StoreBack(now time.Duration) {
	if m.down {
		m.down = false
		m.graceEnds = now + lapseGrace
	}
}

// Replace takes in a whole list.
func (m *Members) Replace(t Targets, now time.Duration) {
	if t.Revision < m.revision {
		return
	}
	m.revision = t.Revision
	listed := make(map[string]bool, len(t.List))
	for _, e := range t.List {
		listed[e.ID] = true
		m.put(e)
	}
	for id := range m.entries {
		if !listed[id] {
			m.remove(id, now)
		}
	}
}

// Put takes in a new or changed entry.
func (m *Members) Put(t Target, revision uint64) {
	if revision > m.revision {
		m.revision = revision
	}
	m.put(t)
}

func (m *Members) put(t Target) {
	if old, ok := m.entries[t.ID]; ok && old.Revision > t.Revision {
		return
	}
	m.entries[t.ID] = t
	delete(m.missing, t.ID)
}

// Remove takes in that an entry is gone.
func (m *Members) Remove(id string, revision uint64, now time.Duration) {
	if revision > m.revision {
		m.revision = revision
	}
	m.remove(id, now)
}

// remove drops a target, or keeps it for a while after an outage.
//
// Failure: the store is away and the entries of living targets lapse. When it
// returns, its list is empty, and every request would be refused until the targets
// have written again. Those that were draining stay out.
func (m *Members) remove(id string, now time.Duration) {
	t, ok := m.entries[id]
	if !ok {
		return
	}
	if now >= m.graceEnds || t.Draining {
		m.drop(id)
		return
	}
	if _, waits := m.missing[id]; !waits {
		m.missing[id] = m.graceEnds
	}
}

func (m *Members) drop(id string) {
	delete(m.entries, id)
	delete(m.missing, id)
}

// Expire drops targets whose grace is over and tells whether there were any.
func (m *Members) Expire(now time.Duration) bool {
	changed := false
	for id, at := range m.missing {
		if now >= at && !m.down {
			m.drop(id)
			changed = true
		}
	}
	return changed
}

// Waiting tells whether some targets are in their grace.
func (m *Members) Waiting() bool { return len(m.missing) > 0 }

// Snapshot returns the targets in order of their ids.
func (m *Members) Snapshot() Targets {
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
