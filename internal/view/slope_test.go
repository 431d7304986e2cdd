package view

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/capacity"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// newAssignment returns an assignment of n groups of one slice each over n/8 targets.
func newAssignment(n int) *model.Assignment {
	a := &model.Assignment{Service: "shelf", NextGroup: uint64(n + 1)}
	target := func(i int) model.TargetRef {
		return model.TargetRef{Name: fmt.Sprintf("shelf-%05d", i%max(n/8, 3)), Incarnation: fmt.Sprintf("shelf-%05d-1796255323000000000", i%max(n/8, 3))}
	}
	for i, s := range keyspace.Divide(n) {
		a.Groups = append(a.Groups, model.Group{
			ID: uint64(i + 1), Slices: []keyspace.Slice{s}, Owner: target(i), Standby: target(i + 1), Witness: target(i + 2),
			Epoch: 17, Grantors: []string{"entry-vm-00001", "entry-vm-00002", "entry-vm-00003"}, Author: "entry-vm-00001-1796255323000000000",
		})
	}
	return a
}

func grantsOf(a *model.Assignment) []wire.Grant {
	var out []wire.Grant
	for _, g := range a.Groups {
		rank := wire.Rank{Epoch: g.Epoch, Incarnation: 1796255323000000000, Agent: g.Grantors[0]}
		out = append(out, wire.Grant{Service: a.Service, Group: g.ID, Slices: g.Slices, Target: g.Owner, Rank: rank})
	}
	return out
}

func assignmentObject(b *testing.B, n int) platform.Object {
	text, err := json.Marshal(newAssignment(n))
	require.NoError(b, err)
	return platform.Object{Kind: model.KindAssignment, Name: "shelf", Version: 5, Spec: text}
}

var groupCounts = []int{256, 1024, 4096}

func BenchmarkSlopeRecordDecode(b *testing.B) {
	for _, n := range groupCounts {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			o := assignmentObject(b, n)
			for b.Loop() {
				if _, err := model.Decode(o.Kind, o.Name, o.Spec); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(o.Spec)), "json-B")
		})
	}
}

// BenchmarkSlopeViewGrants builds a new view after one of n grants changed.
func BenchmarkSlopeViewGrants(b *testing.B) {
	for _, n := range groupCounts {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			objects, grants := []platform.Object{assignmentObject(b, n)}, grantsOf(newAssignment(n))
			var c Cache
			c.Build(objects, nil, grants)
			kept := capacity.Retained(func() any { return Build(objects, nil, grantsOf(newAssignment(n))) })
			for b.Loop() {
				c.Build(objects, nil, grants)
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}

func BenchmarkSlopeOwner(b *testing.B) {
	for _, n := range groupCounts {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			v := Build(nil, nil, grantsOf(newAssignment(n)))
			for b.Loop() {
				if v.Owner("shelf", keyspace.PointOf("key")) == nil {
					b.Fatal("no owner")
				}
			}
		})
	}
}

func contracts(n int) []platform.Object {
	var out []platform.Object
	for i := range n {
		name := fmt.Sprintf("customer-%07d", i)
		o := contract(name, fmt.Sprintf("%064x", i), uint64(i+1))
		out = append(out, o)
	}
	return out
}

var contractCounts = []int{1000, 4000, 16000}

// BenchmarkSlopeViewContracts builds a new view after one of n contracts changed.
func BenchmarkSlopeViewContracts(b *testing.B) {
	for _, n := range contractCounts {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			objects := contracts(n)
			var c Cache
			c.Build(objects, nil, nil)
			kept := capacity.Retained(func() any {
				var c Cache
				return []any{c.Build(contracts(n), nil, nil), &c}
			})
			for b.Loop() {
				objects[n/2].Version++
				c.Build(objects, nil, nil)
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}

func BenchmarkSlopeContractLookup(b *testing.B) {
	for _, n := range contractCounts {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			v := Build(append(contracts(n), contract("a", tokenHash, uint64(n+1))), nil, nil)
			for b.Loop() {
				if v.ContractOf("a") == nil {
					b.Fatal("no contract")
				}
			}
		})
	}
}
