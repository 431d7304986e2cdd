package agent

import (
	"slices"
	"sync"

	"hemlockquay/internal/wire"
)

// grantTable holds the confirmed grants of this agent as a grantor. It is safe for concurrent
// use.
type grantTable struct {
	changed func()

	mu     sync.Mutex
	grants map[groupID]wire.Grant
	state  uint64
}

// groupID identifies a group among those of all services.
type groupID struct {
	service string
	group   uint64
}

func newGrantTable(changed func()) *grantTable {
	return &grantTable{changed: changed, grants: make(map[groupID]wire.Grant)}
}

// update stores confirmed grants and removes those of groups that this agent no longer grants.
func (t *grantTable) update(confirmed []wire.Grant, gone []groupID) {
	if t.put(confirmed, gone) {
		t.changed()
	}
}

// put reports whether the table changed.
func (t *grantTable) put(confirmed []wire.Grant, gone []groupID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	differs := false
	for _, g := range confirmed {
		id := groupID{g.Service, g.Group}
		old, held := t.grants[id]
		if held && old.Rank == g.Rank && old.Target == g.Target && slices.Equal(old.Slices, g.Slices) {
			continue
		}
		t.grants[id] = g
		differs = true
	}
	for _, id := range gone {
		if _, held := t.grants[id]; held {
			delete(t.grants, id)
			differs = true
		}
	}
	if differs {
		t.state++
	}
	return differs
}

// snapshot returns the grants and the state number, which increases with each change.
func (t *grantTable) snapshot() ([]wire.Grant, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wire.Grant, 0, len(t.grants))
	for _, g := range t.grants {
		out = append(out, g)
	}
	return out, t.state
}

func (t *grantTable) list() []wire.Grant {
	grants, _ := t.snapshot()
	return grants
}
