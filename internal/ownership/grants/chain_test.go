package grants

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
)

// Guards against a takeover that leaves out targets of records before the last one, which their grantors may still grant.
func TestPreviousTargetsStayListedOverAChainOfRecords(t *testing.T) {
	ref := func(name string) model.TargetRef { return model.TargetRef{Name: name, Incarnation: "1"} }
	rec := model.Group{Epoch: 1, Owner: ref("a"), Standby: ref("b"), Witness: ref("w")}
	rec = ReplaceTargets(rec, ref("c"), ref("b"), ref("w"), "x-1")
	rec = ReplaceTargets(rec, ref("c"), ref("d"), ref("a"), "x-1")
	rec = ReplaceTargets(rec, ref("e"), ref("d"), ref("w"), "x-1")
	require.ElementsMatch(t, []model.TargetRef{ref("a"), ref("b"), ref("c"), ref("w")}, rec.Previous, "w was not the witness of the record before")

	g := New(Params{VM: "x", Incarnation: "x-2", Started: 2, ChecksFences: true}, rec, 0)
	require.False(t, g.onlyWitness(ref("a")), "it was an owner two records ago")
	next := g.nextEpoch()
	require.Equal(t, rec.Previous, next.Previous, "an agent that has not won keeps them")
}
