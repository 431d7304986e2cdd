package fairqueue

import (
	"fmt"
	"testing"

	"hemlockquay/internal/capacity"
)

func fullQueue(waiting, customers int) *Queue[int] {
	q := New[int](waiting, 0.1)
	for n := range waiting {
		q.Push(&Item[int]{Customer: fmt.Sprint("customer-", n%customers), Weight: 1, Cost: 0.01})
	}
	return q
}

// BenchmarkSlopeWaiting measures taking out and pushing one request by queue length.
func BenchmarkSlopeWaiting(b *testing.B) {
	for _, n := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			kept := capacity.Retained(func() any { return fullQueue(n, 50) })
			q := fullQueue(n, 50)
			for b.Loop() {
				q.Push(q.Next(true))
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}

// BenchmarkSlopeQueueCustomers measures taking out and pushing one request by the number
// of customers with waiting requests.
func BenchmarkSlopeQueueCustomers(b *testing.B) {
	for _, n := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			q := fullQueue(4096, n)
			for b.Loop() {
				q.Push(q.Next(true))
			}
		})
	}
}

// BenchmarkSlopeOverflow measures pushing a request into a full queue by the number of
// customers with waiting requests.
func BenchmarkSlopeOverflow(b *testing.B) {
	for _, n := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			q := fullQueue(4096, n)
			for b.Loop() {
				q.Push(&Item[int]{Customer: "customer-1", Weight: 1, Cost: 0.01})
			}
		})
	}
}
