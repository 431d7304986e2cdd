package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
)

// Guards against two owners of a key. A VM grants a group as a grantor, a newer record names
// others, and a still newer one names the VM again before its first grant has expired. Had it
// forgotten the group meanwhile, it would grant another target without waiting for that expiry.
// Groups that have never named the VM are not kept.
func TestGroupIsKeptAfterVMStopsBeingGrantor(t *testing.T) {
	gr := &grantor{params: grants.Params{VM: "vm9", Incarnation: "vm9-1", RenewInterval: time.Second}, clock: boottime.System{}, table: newGrantTable(func() {})}
	svc := &serviceState{service: &model.Service{Name: "shelf"}, groups: make(map[uint64]*grants.Group)}
	adopt := func(epoch uint64, grantors ...string) {
		svc.record = &model.Assignment{Service: "shelf", Groups: []model.Group{{ID: 1, Epoch: epoch, Grantors: grantors}}}
		gr.updateGroups(svc)
	}
	adopt(1, "vm1", "vm2")
	require.Empty(t, svc.groups)
	adopt(2, "vm1", "vm9")
	first := svc.groups[1]
	require.NotNil(t, first)
	adopt(3, "vm1", "vm2")
	adopt(4, "vm9", "vm2")
	require.Same(t, first, svc.groups[1])
	require.Equal(t, uint64(4), first.Record().Epoch)
	svc.record = &model.Assignment{Service: "shelf"}
	gr.updateGroups(svc)
	require.Empty(t, svc.groups)
}
