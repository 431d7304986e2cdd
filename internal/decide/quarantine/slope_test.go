package quarantine

import (
	"fmt"
	"testing"
	"time"

	"hemlockquay/internal/capacity"
)

func slopeWatch(n int) *Watch {
	w := New("entry-vm-00001")
	for i := range n {
		fp := Fingerprint(i)
		w.Admit(fp, testPool, "booth-1", time.Second)
		w.Started(fp, testPool, "booth-1", time.Second)
		w.Finished(fp, testPool, "booth-1", true, time.Second)
	}
	return w
}

// BenchmarkSlopeProven is one request beside n fingerprints that were answered.
func BenchmarkSlopeProven(b *testing.B) {
	for _, n := range []int{1 << 12, 1 << 14, 1 << 16} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			kept := capacity.Retained(func() any { return slopeWatch(n) })
			w := slopeWatch(n)
			for b.Loop() {
				w.Admit(1, testPool, "booth-1", time.Second)
				w.Started(1, testPool, "booth-1", time.Second)
				w.Finished(1, testPool, "booth-1", true, time.Second)
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}
