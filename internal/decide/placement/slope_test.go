package placement

import (
	"fmt"
	"testing"
	"time"

	"hemlockquay/internal/model"
)

func benchmarkPlan(b *testing.B, targets, groups int) {
	w := newSimulation(targets, 3, 9, groups, model.Weights{})
	for i := range groups {
		w.in.Load[uint64(i)] = float64(i % 7)
	}
	p := New()
	for b.Loop() {
		w.in.Now += 500 * time.Millisecond
		p.Plan(&w.in)
	}
}

func BenchmarkSlopePlanGroups(b *testing.B) {
	for _, n := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) { benchmarkPlan(b, 16, n) })
	}
}

func BenchmarkSlopePlanTargets(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) { benchmarkPlan(b, n, 1024) })
	}
}
