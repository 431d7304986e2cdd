// Package freshness tracks how long ago any VM confirmed with the store what all VMs know, and decides when a VM
// that does not watch the store reads it.
//
// Load pattern: a few VMs watch the store for all, because each call has a cost, and the store may leave the
// calls of single VMs unanswered. A watcher whose call hangs counts as one that watches until the call times out,
// and so does the VM that replaces it. Without a limit on the age of the last confirmation, these timeouts add
// up, and VMs that reach the store wait for others that do not.
//
// The VM that gets a confirmation dates it from its request to the store, and heartbeats carry its age. The receiver
// adds an upper bound of the heartbeat's transit time, measured on its own clock (mesh.Heartbeat). So clocks of VMs need
// not agree, and a delay makes knowledge look older, never more recent.
//
// Invariant: if the latest confirmation that a VM knows has the age d, the VM has heard of every change that was
// committed more than d ago. It may still have to fetch the change.
package freshness

import (
	"math"
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

// Mark is the latest confirmation of the objects of one kind that a VM knows of.
type Mark struct {
	// Count increases with each confirmation. VMs of an earlier version date confirmations by it.
	Count uint64 `msgpack:"c"`
	// Revision is a revision of the store up to which all changes are included in Version, both from one read. It
	// is 0 for kinds whose version is itself a revision of the store.
	Revision uint64 `msgpack:"r"`
	Version  uint64 `msgpack:"v"`
	// Newest is the newest version that is known to exist. It is 0 for kinds whose objects a heartbeat contains.
	Newest uint64 `msgpack:"n"`
	// AgeMs is the age of the confirmation when the mark was sent, in milliseconds, or UnknownAgeMs.
	AgeMs uint32 `msgpack:"a"`
}

// UnknownAgeMs is the age of a mark of a VM that knows of no confirmation.
const UnknownAgeMs = math.MaxUint32

// Tracker tracks the latest confirmation of one kind. It is not safe for concurrent use.
type Tracker struct {
	// mark is the latest confirmation. Its AgeMs is not used.
	mark Mark
	// started is when the VM started. All changes that were committed before confirmedAt are known, which is 0 if there
	// is no confirmation.
	started, confirmedAt time.Duration
	// newestSince is when mark.Newest was first known here.
	newestSince time.Duration
}

// NewTracker returns a tracker of a VM that starts.
func NewTracker(now time.Duration) *Tracker { return &Tracker{started: now} }

// Mark returns the latest confirmation, for a heartbeat that is sent now or later.
func (t *Tracker) Mark(now time.Duration) Mark {
	m := t.mark
	m.AgeMs = UnknownAgeMs
	if age := (now - t.confirmedAt + time.Millisecond - 1).Milliseconds(); t.Confirmed() && age < UnknownAgeMs {
		m.AgeMs = uint32(max(0, age))
	}
	return m
}

// Merge records the mark of another VM's heartbeat. sentAt is a time before which the heartbeat was not sent, or 0 if
// none is known. Without it only the versions are recorded, because the age of the confirmation is not known.
func (t *Tracker) Merge(m Mark, sentAt, now time.Duration) {
	t.mark.Count = max(t.mark.Count, m.Count)
	t.Announce(max(m.Version, m.Newest), now)
	if sentAt == 0 || m.AgeMs == UnknownAgeMs {
		return
	}
	t.confirmedAt = max(t.confirmedAt, sentAt-time.Duration(m.AgeMs)*time.Millisecond)
	t.mergePair(m.Revision, m.Version)
}

// Announce records that a version exists.
func (t *Tracker) Announce(version uint64, now time.Duration) {
	if version > t.mark.Newest {
		t.mark.Newest, t.newestSince = version, now
	}
}

// mergePair records that all changes up to a revision are included in a version.
func (t *Tracker) mergePair(revision, version uint64) {
	if revision > t.mark.Revision || revision == t.mark.Revision && version > t.mark.Version {
		t.mark.Revision, t.mark.Version = revision, version
	}
}

// Confirm records an answer of the store to this VM: a version that includes all changes up to a revision, and all that
// were committed before at.
func (t *Tracker) Confirm(revision, version uint64, at, now time.Duration) {
	t.mark.Count++
	t.Announce(version, now)
	t.confirmedAt = max(t.confirmedAt, at)
	t.mergePair(revision, version)
}

// Confirmed reports whether any confirmation is known.
func (t *Tracker) Confirmed() bool { return t.confirmedAt > 0 }

// Age returns the age of the latest confirmation, or the time since the VM started if none is known.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - max(t.confirmedAt, t.started) }

// MissingFor returns for how long a later version than the given one has been known to exist, or 0 if none is.
func (t *Tracker) MissingFor(version uint64, now time.Duration) time.Duration {
	if t.mark.Newest <= version {
		return 0
	}
	return now - t.newestSince
}

// Delay returns how much longer than MaxAge a VM waits before it reads the store. place is the VM's place, from 0,
// in the order of preference among all live VMs, whether or not they reach the store: what others believe of
// their paths may be out of date.
func Delay(place int) time.Duration {
	group := bits.Len(uint(place/firstGroup+1)) - 1
	return time.Duration(group) * groupDelay
}
