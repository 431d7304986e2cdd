package agent

import (
	"sort"
	"sync"

	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// tombstones is how many deletions are kept for deltas; a reader that lags
// further gets a snapshot.
const tombstones = 1024

// configuration is the objects that the agent holds, at one revision. It is
// safe for concurrent use.
//
// Invariant: the revision never falls, and an object is never replaced by an
// older version of itself.
type configuration struct {
	mu       sync.Mutex
	ready    bool
	revision uint64
	objects  map[platform.ID]platform.Object
	deleted  []tombstone
	// floor is the oldest revision from which a delta can be given.
	floor   uint64
	changed func()
}

type tombstone struct {
	id       platform.ID
	revision uint64
}

func newConfiguration(changed func()) *configuration {
	return &configuration{objects: make(map[platform.ID]platform.Object), changed: changed}
}

// replace takes a listing. One of an older revision is ignored.
func (c *configuration) replace(l platform.Listing) {
	c.mu.Lock()
	if c.ready && l.Revision < c.revision {
		c.mu.Unlock()
		return
	}
	c.objects = make(map[platform.ID]platform.Object, len(l.Objects))
	for _, o := range l.Objects {
		c.objects[o.ID()] = o
	}
	c.deleted, c.floor = nil, l.Revision
	c.revision, c.ready = l.Revision, true
	c.mu.Unlock()
	c.changed()
}

// apply takes one event of a watch. An event at or below the revision is a
// repeat and is ignored.
func (c *configuration) apply(e platform.Event) {
	c.mu.Lock()
	if e.Revision <= c.revision {
		c.mu.Unlock()
		return
	}
	switch e.Type {
	case platform.EventPut:
		c.objects[e.Object.ID()] = e.Object
	case platform.EventDelete:
		delete(c.objects, e.Object.ID())
		c.bury(tombstone{e.Object.ID(), e.Revision})
	}
	c.revision = e.Revision
	c.mu.Unlock()
	c.changed()
}

func (c *configuration) bury(t tombstone) {
	c.deleted = append(c.deleted, t)
	if len(c.deleted) > tombstones {
		c.floor = c.deleted[0].revision
		c.deleted = c.deleted[1:]
	}
}

// since fills in what changed after the revision, or everything.
func (c *configuration) since(revision uint64, reply *wire.PullReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Ready, reply.Revision = c.ready, c.revision
	if !c.ready || revision >= c.revision {
		return
	}
	reply.Snapshot = revision < c.floor
	for _, o := range c.objects {
		if reply.Snapshot || o.Version > revision {
			reply.Objects = append(reply.Objects, o)
		}
	}
	for _, t := range c.deleted {
		if !reply.Snapshot && t.revision > revision {
			reply.Deleted = append(reply.Deleted, t.id)
		}
	}
	sort.Slice(reply.Objects, func(i, j int) bool { return reply.Objects[i].Version < reply.Objects[j].Version })
}

// state returns the revision held and whether there is any.
func (c *configuration) state() (revision uint64, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.ready
}

// list returns all objects.
func (c *configuration) list() []platform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]platform.Object, 0, len(c.objects))
	for _, o := range c.objects {
		out = append(out, o)
	}
	return out
}
