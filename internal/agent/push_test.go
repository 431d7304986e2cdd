package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// Guards against requests to a lost owner until the next heartbeat. A target is lost, and its
// grantor grants the standby and pushes the grant. The reply to an earlier heartbeat, which still
// names the lost owner, arrives afterwards and must not replace it.
func TestPushedGrantsAreNotOverwritten(t *testing.T) {
	peer := wire.Member{VM: "vm2", Incarnation: "vm2-1"}
	m := newMembers(wire.Member{VM: "vm1", Incarnation: "vm1-1"}, boottime.System{}, time.Second, func() {})
	m.grantsChanged = func() {}
	m.setList([]platform.VM{{Name: "vm1"}, {Name: "vm2"}})
	m.recordHeartbeat(peer)
	receive := func(state uint64, target string) {
		g := wire.Grant{Service: "s"}
		g.Target.Name = target
		m.setPeerGrants("vm2", &wire.BeatReply{Member: peer, State: state, Grants: []wire.Grant{g}})
	}
	receive(1, "lost")
	receive(2, "standby")
	receive(1, "lost")
	require.Equal(t, "standby", m.peerGrants()[0].Target.Name)
	peer.Incarnation = "vm2-2" // A restarted agent counts from 1 again.
	receive(1, "other")
	require.Equal(t, "other", m.peerGrants()[0].Target.Name)
}
