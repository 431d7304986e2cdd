package journal

import (
	"fmt"
	"testing"

	"hemlockquay/internal/capacity"
)

// BenchmarkSlopeEntries measures adding an entry to a full journal, and the memory that the journal
// takes, by its length.
func BenchmarkSlopeEntries(b *testing.B) {
	for _, n := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			fill := func() *Journal {
				j := New("entry-vm-00001", "hq-agent", n)
				for i := range n {
					j.Add("grant", fmt.Sprintf("took the group over: grantor entry-vm-%05d was silent for 190 ms", i), GroupSubject("shelf", uint64(i)))
				}
				return j
			}
			kept := capacity.Retained(func() any { return fill() })
			j := fill()
			for b.Loop() {
				j.Add("grant", "text", "shelf/1")
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}
