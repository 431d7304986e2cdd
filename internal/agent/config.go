package agent

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// maxLogLength is how many changes are kept for deltas; a reader that lags further
// gets a snapshot. At 13 changes a second it covers five minutes.
const maxLogLength = 4096

// Refusals of a configuration.
var (
	// errOlderRevision says that the sender's state is older than the one held.
	errOlderRevision = errors.New("older than the configuration held")
	// errBaseMismatch says that a delta does not begin where the configuration stands.
	errBaseMismatch = errors.New("delta of another base")
	// errNoConfiguration says that the sender holds no configuration itself.
	errNoConfiguration = errors.New("sender holds no configuration")
)

// configuration is the objects that the agent holds, at one revision. It is
// safe for concurrent use.
//
// Invariant: the revision never falls, an object is never replaced by an older
// version of itself, and every object passed its check.
type configuration struct {
	mu       sync.Mutex
	ready    bool
	revision uint64
	objects  map[platform.ID]platform.Object
	// refused holds the reason of each stored object that failed its check.
	// The last good version stays in objects.
	refused map[platform.ID]string
	// log is the last changes by rising revision; a reader at floor or above
	// finds all that it lacks in it.
	log     []change
	floor   uint64
	changed func()
}

// change is one entry of the log.
type change struct {
	id       platform.ID
	revision uint64
}

func newConfiguration(changed func()) *configuration {
	return &configuration{
		objects: make(map[platform.ID]platform.Object),
		refused: make(map[platform.ID]string),
		changed: changed,
	}
}

// replace takes a listing whole; objects that it lacks are deleted.
// A store that was restored from a copy, or a peer that was cut off, answers with an older state. A
// listing of a lower revision is refused, and of a newer one each object of a lower version.
func (c *configuration) replace(l platform.Listing) error {
	c.mu.Lock()
	if c.ready && l.Revision < c.revision {
		held := c.revision
		c.mu.Unlock()
		return fmt.Errorf("listing of revision %d, held %d: %w", l.Revision, held, errOlderRevision)
	}
	if c.ready && l.Revision == c.revision {
		c.mu.Unlock()
		return nil
	}
	c.mergeListing(l)
	c.mu.Unlock()
	c.changed()
	return nil
}

// mergeListing needs c.mu.
func (c *configuration) mergeListing(l platform.Listing) {
	listed := make(map[platform.ID]bool, len(l.Objects))
	var changes []change
	for _, o := range l.Objects {
		listed[o.ID()] = true
		if c.put(o) {
			changes = append(changes, change{o.ID(), o.Version})
		}
	}
	for id := range c.objects {
		if !listed[id] {
			c.remove(id)
			changes = append(changes, change{id, l.Revision})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
	if !c.ready {
		c.floor, changes = l.Revision, nil
	}
	c.revision, c.ready = l.Revision, true
	c.appendChanges(changes...)
}

// put takes an object that is newer than the one held and passes its check.
// It needs c.mu.
// What is refused shows in status, metric and log; the last good version stays in force.
func (c *configuration) put(o platform.Object) bool {
	held, ok := c.objects[o.ID()]
	if ok && o.Version <= held.Version {
		return false
	}
	if _, err := model.Decode(o.Kind, o.Name, o.Spec); err != nil {
		c.refused[o.ID()] = fmt.Sprintf("%s %s version %d: %v", o.Kind, o.Name, o.Version, err)
		return false
	}
	delete(c.refused, o.ID())
	c.objects[o.ID()] = o
	return true
}

// remove needs c.mu.
func (c *configuration) remove(id platform.ID) {
	delete(c.objects, id)
	delete(c.refused, id)
}

// appendChanges needs c.mu.
func (c *configuration) appendChanges(changes ...change) {
	c.log = append(c.log, changes...)
	if excess := len(c.log) - maxLogLength; excess > 0 {
		c.floor = c.log[excess-1].revision
		c.log = slices.Delete(c.log, 0, excess)
	}
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
		if c.put(e.Object) {
			c.appendChanges(change{e.Object.ID(), e.Revision})
		}
	case platform.EventDelete:
		c.remove(e.Object.ID())
		c.appendChanges(change{e.Object.ID(), e.Revision})
	}
	c.revision = e.Revision
	c.mu.Unlock()
	c.changed()
}

// applyReply puts a peer's answer to a question from the revision into force.
// A delta on another base would skip changes, so it is refused; the next query begins at the
// revision held.
func (c *configuration) applyReply(base uint64, r *wire.PullReply) error {
	if !r.Ready {
		return errNoConfiguration
	}
	if r.Snapshot {
		return c.replace(platform.Listing{Objects: r.Objects, Revision: r.Revision})
	}
	c.mu.Lock()
	switch {
	case r.Revision < c.revision:
		c.mu.Unlock()
		return fmt.Errorf("delta up to %d: %w", r.Revision, errOlderRevision)
	case !c.ready || base != c.revision:
		c.mu.Unlock()
		return fmt.Errorf("delta from %d: %w", base, errBaseMismatch)
	case r.Revision == c.revision:
		c.mu.Unlock()
		return nil
	}
	c.mergeDelta(r)
	c.mu.Unlock()
	c.changed()
	return nil
}

// mergeDelta needs c.mu.
func (c *configuration) mergeDelta(r *wire.PullReply) {
	for _, id := range r.Deleted {
		c.remove(id)
		c.appendChanges(change{id, r.Revision})
	}
	for _, o := range r.Objects {
		if c.put(o) {
			c.appendChanges(change{o.ID(), r.Revision})
		}
	}
	c.revision = r.Revision
}

// changesSince fills in what changed after the revision: a delta from the log, or a
// snapshot where the log does not reach back so far. wanted selects kinds.
func (c *configuration) changesSince(revision uint64, include func(model.Kind) bool, reply *wire.PullReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Ready, reply.Revision = c.ready, c.revision
	if !c.ready || revision >= c.revision {
		return
	}
	if revision == 0 || revision < c.floor {
		reply.Snapshot = true
		reply.Objects = c.sortedObjects(include)
		return
	}
	first, _ := slices.BinarySearchFunc(c.log, revision+1, func(e change, r uint64) int { return cmp.Compare(e.revision, r) })
	seen := make(map[platform.ID]bool)
	for _, e := range c.log[first:] {
		if seen[e.id] || !include(e.id.Kind) {
			continue
		}
		seen[e.id] = true
		if o, ok := c.objects[e.id]; ok {
			reply.Objects = append(reply.Objects, o)
		} else {
			reply.Deleted = append(reply.Deleted, e.id)
		}
	}
}

// sortedObjects returns the wanted objects by version. It needs c.mu.
func (c *configuration) sortedObjects(include func(model.Kind) bool) []platform.Object {
	out := make([]platform.Object, 0, len(c.objects))
	for _, o := range c.objects {
		if include(o.Kind) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// heldRevision returns the revision held and whether there is any.
func (c *configuration) heldRevision() (revision uint64, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.ready
}

// list returns all objects.
func (c *configuration) list() []platform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sortedObjects(allKinds)
}

// problems returns why stored objects are not in force, sorted.
func (c *configuration) problems() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.refused))
	for _, reason := range c.refused {
		out = append(out, reason)
	}
	slices.Sort(out)
	return out
}

// allKinds is wanted by agents, which pass objects on.
func allKinds(model.Kind) bool { return true }

// isDaemonKind selects what entries and dispatchers use: services and contracts.
// The leases of assigners and the status of VMs concern agents only, and so do
// the records of assignments: daemons go by the grants, which say who serves now.
//
// Load pattern: a record comes whole with each move, 175 to 440 bytes a group,
// and daemons would take and decode it on every VM for nothing.
func isDaemonKind(k model.Kind) bool { return k == model.KindService || k == model.KindContract }
