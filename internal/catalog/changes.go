package catalog

import (
	"cmp"
	"slices"
	"time"
)

// Removal is the removal of a target's entry.
type Removal struct {
	ID string `msgpack:"i"`
	// Revision is the store's revision of the removal.
	Revision uint64 `msgpack:"r"`
}

// Changes is the difference between a list of targets and a later one.
type Changes struct {
	Revision uint64    `msgpack:"r"`
	Changed  []Target  `msgpack:"c"`
	Removed  []Removal `msgpack:"d"`
}

// ChangesSince returns the changes after a revision of the store. It returns false if they are not
// completely known, so that the caller needs the complete list.
func (m *TargetSet) ChangesSince(revision uint64) (Changes, bool) {
	if m.completeSince == 0 || revision < m.completeSince || revision > m.revision {
		return Changes{}, false
	}
	c := Changes{Revision: m.revision}
	for _, t := range m.entries {
		if t.Revision > revision {
			c.Changed = append(c.Changed, t)
		}
	}
	for id, removed := range m.tombstones {
		if removed > revision {
			c.Removed = append(c.Removed, Removal{ID: id, Revision: removed})
		}
	}
	slices.SortFunc(c.Changed, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(c.Removed, func(a, b Removal) int { return cmp.Compare(a.ID, b.ID) })
	return c, true
}

// Apply applies changes since the revision of this set or an earlier one.
func (m *TargetSet) Apply(c Changes, now time.Duration) {
	for _, t := range c.Changed {
		m.put(t)
	}
	for _, r := range c.Removed {
		m.remove(r.ID, r.Revision, now)
	}
	m.revision = max(m.revision, c.Revision)
}
