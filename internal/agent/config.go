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

// maxLogLength is how many changes are kept for deltas. A reader that lags further behind gets a
// snapshot. At 13 changes a second the log covers five minutes.
const maxLogLength = 4096

// Reasons for which a configuration is rejected.
var (
	// errOlderRevision reports that the sender's configuration is older than the one held.
	errOlderRevision = errors.New("older than the configuration in force")
	// errBaseMismatch reports that a delta does not start at the revision held.
	errBaseMismatch = errors.New("delta does not start at the current revision")
	// errNoConfiguration reports that the sender has no configuration.
	errNoConfiguration = errors.New("sender has no configuration")
)

// configuration holds the objects of the store at one revision. It is safe for concurrent use.
//
// Invariant: the revision never decreases, an object is never replaced by an older version of
// itself, and every object has passed its check.
type configuration struct {
	mu       sync.Mutex
	ready    bool
	revision uint64
	objects  map[platform.ID]platform.Object
	// refused holds the reason of each stored object that failed its check. The last valid
	// version of such an object stays in objects.
	refused map[platform.ID]string
	// log holds the latest changes in ascending order of revision. It is complete for readers at
	// revision floor or above.
	log     []change
	floor   uint64
	changed func()
}

// change is an entry of the log.
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

// replace replaces the configuration by a listing. Objects missing from the listing are deleted.
//
// A store restored from a backup, or a peer that was partitioned, may return an older state. A
// listing of a lower revision is therefore rejected, and in a newer listing each object of a
// lower version is ignored.
func (c *configuration) replace(l platform.Listing) error {
	c.mu.Lock()
	if c.ready && l.Revision < c.revision {
		held := c.revision
		c.mu.Unlock()
		return fmt.Errorf("listing at revision %d, current revision %d: %w", l.Revision, held, errOlderRevision)
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

// mergeListing merges a listing that is newer than the configuration. The caller must hold c.mu.
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

// put stores an object if it is newer than the one held and passes its check, and reports whether
// it did. The caller must hold c.mu.
//
// A rejected object is shown in the VM's status, in a metric and in the log; its last valid
// version stays in force.
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

// remove deletes an object. The caller must hold c.mu.
func (c *configuration) remove(id platform.ID) {
	delete(c.objects, id)
	delete(c.refused, id)
}

// appendChanges appends to the log and drops its oldest entries beyond maxLogLength. The caller
// must hold c.mu.
func (c *configuration) appendChanges(changes ...change) {
	c.log = append(c.log, changes...)
	if excess := len(c.log) - maxLogLength; excess > 0 {
		c.floor = c.log[excess-1].revision
		c.log = slices.Delete(c.log, 0, excess)
	}
}

// apply applies one watch event. An event at or below the current revision is a duplicate and is
// ignored.
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

// applyReply applies a peer's reply to a query that asked for changes since base. A delta with
// another base would skip changes, so it is rejected, and the next query starts at the current
// revision.
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
		return fmt.Errorf("delta up to revision %d: %w", r.Revision, errOlderRevision)
	case !c.ready || base != c.revision:
		c.mu.Unlock()
		return fmt.Errorf("delta from revision %d: %w", base, errBaseMismatch)
	case r.Revision == c.revision:
		c.mu.Unlock()
		return nil
	}
	c.mergeDelta(r)
	c.mu.Unlock()
	c.changed()
	return nil
}

// mergeDelta merges a delta that starts at the current revision. The caller must hold c.mu.
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

// changesSince adds to the reply what changed after the revision: a delta if the log reaches back
// that far, otherwise a snapshot. include selects the kinds of objects.
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

// sortedObjects returns the included objects sorted by version. The caller must hold c.mu.
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

// heldRevision returns the current revision, and whether there is a configuration at all.
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

// problems returns, sorted, why stored objects are not in force.
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

// allKinds selects every kind. Agents use it, because they relay the objects.
func allKinds(model.Kind) bool { return true }

// isDaemonKind selects what entries and dispatchers use: services and contracts. The leases of
// assigners and the status of VMs concern only agents. So do the records of assignments, since
// daemons use the grants, which name the current owners.
//
// Load pattern: every move sends the whole record, 175 to 440 bytes per group, and the daemons of
// every VM would decode it without using it.
func isDaemonKind(k model.Kind) bool { return k == model.KindService || k == model.KindContract }
