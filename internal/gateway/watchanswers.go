package gateway

import (
	"time"

	"hemlockquay/internal/platform"
)

// maxHidden exceeds the time for which a store that is about to drop its history may hide changes from watches. The
// users' platform does so for a second.
const maxHidden = 1500 * time.Millisecond

// watchAnswers chooses the revision from which a watch continues. A store that is about to drop its history may answer
// that there are no changes, with a revision that includes some. So the watch continues from the revision of an answer
// only when that is older than maxHidden: the next call brings hidden changes, or finds that the history is gone.
type watchAnswers struct {
	// from is the revision from which the next call watches. All changes up to it are known.
	from uint64
	// empty are the later answers without changes, oldest first.
	empty []emptyAnswer
}

type emptyAnswer struct {
	revision uint64
	at       time.Duration
}

// add records an answer that arrived now.
func (a *watchAnswers) add(changes platform.Changes, now time.Duration) {
	if len(changes.Events) > 0 {
		a.from, a.empty = max(a.from, changes.Revision), nil
		return
	}
	a.empty = append(a.empty, emptyAnswer{changes.Revision, now})
	for len(a.empty) > 0 && now-a.empty[0].at >= maxHidden {
		a.from = max(a.from, a.empty[0].revision)
		a.empty = a.empty[1:]
	}
}

// completeTo returns a revision up to which all changes are known after an answer to a call that asked for those since
// from.
func completeTo(from uint64, changes platform.Changes) uint64 {
	if len(changes.Events) == 0 {
		return from
	}
	return max(from, changes.Revision)
}
