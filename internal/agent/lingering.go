package agent

import (
	"cmp"
	"slices"
	"time"

	"hemlockquay/internal/wire"
)

// lingerFor is how long a grant is told on after its grantor stopped telling it:
// a takeover takes under a second, the replacement of a VM a few.
const lingerFor = 10 * time.Second

// lingering keeps the last grant told of each group.
//
// Failure: a VM is replaced. Its agent, and with it the word of the grants it gave,
// is gone before the next in line has told its own, while the targets still serve.
// It shows as refusals without an owner. A grant that is told for too long does no
// harm: the target refuses a request whose grant is out, and the dispatcher waits
// for the next view.
type lingering struct{ held map[groupID]toldGrant }

type toldGrant struct {
	grant wire.Grant
	at    time.Duration
}

func newLingering() *lingering { return &lingering{held: make(map[groupID]toldGrant)} }

// merge takes the grants that are told now and returns what is to be told on, one
// for each group, sorted.
func (l *lingering) merge(told []wire.Grant, now time.Duration) []wire.Grant {
	for _, g := range told {
		id := groupID{g.Service, g.Group}
		h, ok := l.held[id]
		if !ok || g.Rank.Compare(h.grant.Rank) >= 0 || now-h.at > lingerFor {
			l.held[id] = toldGrant{g, now}
		}
	}
	out := make([]wire.Grant, 0, len(l.held))
	for id, h := range l.held {
		if now-h.at > lingerFor {
			delete(l.held, id)
			continue
		}
		out = append(out, h.grant)
	}
	slices.SortFunc(out, func(a, b wire.Grant) int {
		if c := cmp.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return cmp.Compare(a.Group, b.Group)
	})
	return out
}
