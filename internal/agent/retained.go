package agent

import (
	"cmp"
	"slices"
	"time"

	"hemlockquay/internal/wire"
)

// retention is how long a grant is still reported after its grantor stopped reporting it. It is
// longer than the replacement of a VM takes.
const retention = 10 * time.Second

// retainedGrants keeps the last reported grant of each group while its grantor is being replaced,
// since the targets go on serving meanwhile. An expired grant does no harm, because the target
// refuses requests under it.
type retainedGrants struct{ last map[groupID]advertisedGrant }

type advertisedGrant struct {
	grant          wire.Grant
	lastAdvertised time.Duration
}

func newRetainedGrants() *retainedGrants {
	return &retainedGrants{last: make(map[groupID]advertisedGrant)}
}

// merge adds the grants that are reported now, and returns all that are retained: one per group,
// sorted.
func (r *retainedGrants) merge(advertised []wire.Grant, now time.Duration) []wire.Grant {
	for _, g := range advertised {
		id := groupID{g.Service, g.Group}
		prev, ok := r.last[id]
		if !ok || g.Rank.Compare(prev.grant.Rank) >= 0 || now-prev.lastAdvertised > retention {
			r.last[id] = advertisedGrant{g, now}
		}
	}
	out := make([]wire.Grant, 0, len(r.last))
	for id, adv := range r.last {
		if now-adv.lastAdvertised > retention {
			delete(r.last, id)
			continue
		}
		out = append(out, adv.grant)
	}
	slices.SortFunc(out, func(a, b wire.Grant) int {
		if c := cmp.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return cmp.Compare(a.Group, b.Group)
	})
	return out
}
