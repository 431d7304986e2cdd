// Package freshness tracks how long ago any VM confirmed with the store what all VMs know, and decides when a VM
// that does not watch the store reads it.
//
// Load pattern: a few VMs watch the store for all, because each call has a cost, and the store may leave the
// calls of single VMs unanswered. A watcher whose call hangs counts as one that watches until the call times out,
// and so does the VM that replaces it. Without a limit on the age of the last confirmation, these timeouts add
// up, and VMs that reach the store wait for others that do not.
//
// Confirmations are counted, not dated: a heartbeat that was delayed carries a count that is known already, so
// it cannot make old knowledge look recent, and clocks of VMs need not agree.
//
// Invariant: if the latest confirmation that a VM knows has the age d, the VM has heard of every change that was
// committed more than d, and the time that a heartbeat takes to spread, ago. It may still have to fetch the change.
package freshness

import (
	"math/bits"
	"time"
)

const (
	// MaxAge is the age of the last confirmation from which VMs that do not watch the store read it. It exceeds
	// the usual time between two confirmations by the three watchers, with the time that one takes to spread.
	MaxAge = time.Second
	// groupDelay is the time between the reads of two groups of VMs. It suffices for a read and an announcement.
	groupDelay = 60 * time.Millisecond
	// firstGroup is the number of VMs that read the store first. Each group has twice the VMs of the one before,
	// so that the last VM of a fleet has few groups before it.
	firstGroup = 3
)

// Mark identifies the latest confirmation of the objects of one kind that a VM knows of.
type Mark struct {
	// Count increases with each confirmation.
	Count uint64 `msgpack:"c"`
	// Revision is a revision of the store up to which all changes are included in Version. It is 0 for kinds whose
	// version is itself a revision of the store.
	Revision uint64 `msgpack:"r"`
	// Version is the newest known version of the objects. It is 0 for kinds whose objects a heartbeat contains.
	Version uint64 `msgpack:"v"`
}

// Merge returns the mark that includes both.
func (m Mark) Merge(other Mark) Mark {
	return Mark{Count: max(m.Count, other.Count), Revision: max(m.Revision, other.Revision), Version: max(m.Version, other.Version)}
}

// Tracker tracks the latest confirmation of one kind. It is not safe for concurrent use.
type Tracker struct {
	mark Mark
	// since is when the count of mark was first known here, versionSince when its version was.
	since, versionSince time.Duration
}

// NewTracker returns a tracker of a VM that starts. Until MaxAge has passed, the VM waits for the confirmations of
// others.
func NewTracker(now time.Duration) *Tracker { return &Tracker{since: now} }

// Mark returns the latest confirmation, for a heartbeat.
func (t *Tracker) Mark() Mark { return t.mark }

// Merge records the mark of another VM's heartbeat.
func (t *Tracker) Merge(m Mark, now time.Duration) {
	if m.Count > t.mark.Count {
		t.since = now
	}
	if m.Version > t.mark.Version {
		t.versionSince = now
	}
	t.mark = t.mark.Merge(m)
}

// Confirm records that the store has answered this VM with all changes up to a revision, the newest version
// included.
func (t *Tracker) Confirm(revision, version uint64, now time.Duration) {
	t.Merge(Mark{Count: t.mark.Count + 1, Revision: revision, Version: version}, now)
}

// Age returns the time since the latest confirmation was first known here.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - t.since }

// MissingFor returns for how long a later version than the given one has been known to exist, or 0 if none is.
func (t *Tracker) MissingFor(version uint64, now time.Duration) time.Duration {
	if t.mark.Version <= version {
		return 0
	}
	return now - t.versionSince
}

// Delay returns how much longer than MaxAge a VM waits before it reads the store. place is the VM's place, from 0,
// in the order of preference among all live VMs, whether or not they reach the store: what others believe of
// their paths may be out of date.
func Delay(place int) time.Duration {
	group := bits.Len(uint(place/firstGroup+1)) - 1
	return time.Duration(group) * groupDelay
}
