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

// Guards against requests refused as without an owner while VMs are replaced one after the other.
// The restarted agent of a grantor reports no grants at first, but the targets still hold those
// of its previous incarnation.
func TestGrantIsRetainedUntilNextOne(t *testing.T) {
	r := newRetainedGrants()
	r.merge([]wire.Grant{grantOf(1, 5, "a"), grantOf(2, 5, "a")}, 0)
	require.Len(t, r.merge(nil, time.Second), 2)
	got := r.merge([]wire.Grant{grantOf(1, 6, "b")}, 2*time.Second)
	require.Equal(t, []wire.Grant{grantOf(1, 6, "b"), grantOf(2, 5, "a")}, got)
}

func TestOlderGrantDoesNotReplaceNewerOne(t *testing.T) {
	r := newRetainedGrants()
	r.merge([]wire.Grant{grantOf(1, 6, "b")}, 0)
	require.Equal(t, "b", r.merge([]wire.Grant{grantOf(1, 5, "a")}, time.Second)[0].Target.Name)
	require.Equal(t, "a", r.merge([]wire.Grant{grantOf(1, 5, "a")}, retention+time.Second)[0].Target.Name, "the newer grant is no longer advertised")
}

func TestUnadvertisedGrantExpires(t *testing.T) {
	r := newRetainedGrants()
	r.merge([]wire.Grant{grantOf(1, 5, "a")}, 0)
	require.Empty(t, r.merge(nil, retention+time.Second))
}
