package quarantine

import (
	"fmt"
	"testing"
	"time"

	"hemlockquay/internal/capacity"
)

func slopeTracker(n int) *Tracker {
	tr := New("entry-vm-00001")
	for i := range n {
		fp := Fingerprint(i)
		tr.Admit(fp, testPool, "booth-1", time.Second)
		tr.Started(fp, testPool, "booth-1", time.Second)
		tr.Finished(fp, testPool, "booth-1", true, time.Second)
	}
	return tr
}

// BenchmarkSlopeProven measures one request with n proven fingerprints in memory.
func BenchmarkSlopeProven(b *testing.B) {
	for _, n := range []int{1 << 12, 1 << 14, 1 << 16} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			kept := capacity.Retained(func() any { return slopeTracker(n) })
			tr := slopeTracker(n)
			for b.Loop() {
				tr.Admit(1, testPool, "booth-1", time.Second)
				tr.Started(1, testPool, "booth-1", time.Second)
				tr.Finished(1, testPool, "booth-1", true, time.Second)
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}
