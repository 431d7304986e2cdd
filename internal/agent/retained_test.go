package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

func grantOf(group, epoch uint64, target string) wire.Grant {
	return wire.Grant{Service: "shelf", Group: group, Target: model.TargetRef{Name: target}, Rank: wire.Rank{Epoch: epoch}}
}

// Callers are refused for want of an owner while the VMs are replaced one after the
// other. The restarted agent of the grantor reports no grants at first; the targets
// still hold the ones of its earlier life.
func TestGrantIsToldUntilTheNextOne(t *testing.T) {
	l := newRetainedGrants()
	l.merge([]wire.Grant{grantOf(1, 5, "a"), grantOf(2, 5, "a")}, 0)
	require.Len(t, l.merge(nil, time.Second), 2)
	got := l.merge([]wire.Grant{grantOf(1, 6, "b")}, 2*time.Second)
	require.Equal(t, []wire.Grant{grantOf(1, 6, "b"), grantOf(2, 5, "a")}, got)
}

func TestOlderGrantDoesNotReplaceANewerOne(t *testing.T) {
	l := newRetainedGrants()
	l.merge([]wire.Grant{grantOf(1, 6, "b")}, 0)
	require.Equal(t, "b", l.merge([]wire.Grant{grantOf(1, 5, "a")}, time.Second)[0].Target.Name)
	require.Equal(t, "a", l.merge([]wire.Grant{grantOf(1, 5, "a")}, retainFor+time.Second)[0].Target.Name, "nobody tells the newer one any more")
}

func TestGrantOfNobodyEnds(t *testing.T) {
	l := newRetainedGrants()
	l.merge([]wire.Grant{grantOf(1, 5, "a")}, 0)
	require.Empty(t, l.merge(nil, retainFor+time.Second))
}
