package agent

import (
	"cmp"
	"slices"
	"time"

	"hemlockquay/internal/wire"
)

// retainFor is how long a grant is advertised after its grantor stopped doing so: longer than
// the replacement of a VM takes.
const retainFor = 10 * time.Second

// retainedGrants keeps the last advertised grant of each group while its grantor is replaced:
// the targets still serve meanwhile. An expired grant does no harm, since the target refuses it.
type retainedGrants struct{ held map[groupID]advertisedGrant }

type advertisedGrant struct {
	grant wire.Grant
	at    time.Duration
}

func newRetainedGrants() *retainedGrants {
	return &retainedGrants{held: make(map[groupID]advertisedGrant)}
}

// merge adds the grants that are advertised now and returns all that still are, one for each
// group, sorted.
func (l *retainedGrants) merge(advertised []wire.Grant, now time.Duration) []wire.Grant {
	for _, g := range advertised {
		id := groupID{g.Service, g.Group}
		h, ok := l.held[id]
		if !ok || g.Rank.Compare(h.grant.Rank) >= 0 || now-h.at > retainFor {
			l.held[id] = advertisedGrant{g, now}
		}
	}
	out := make([]wire.Grant, 0, len(l.held))
	for id, h := range l.held {
		if now-h.at > retainFor {
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
