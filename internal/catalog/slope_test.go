package catalog

import (
	"fmt"
	"testing"
)

// BenchmarkSlopeChangesSince measures ChangesSince with one changed target, by the number of targets.
func BenchmarkSlopeChangesSince(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			m := NewTargetSet()
			t := Targets{Revision: 1}
			for i := range n {
				t.List = append(t.List, Target{ID: fmt.Sprint(i), Revision: 1})
			}
			m.Replace(t, 0)
			m.Put(Target{ID: "0", Revision: 2, Draining: true}, 2)
			for b.Loop() {
				if c, known := m.ChangesSince(1); !known || len(c.Changed) != 1 {
					b.Fatal(c, known)
				}
			}
		})
	}
}
