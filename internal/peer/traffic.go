package peer

import (
	"io"
	"sync"
	"sync/atomic"
)

// sentBytes counts the bytes that this process has sent to other VMs, by method. The reply to a method
// counts as "METHOD reply".
var sentBytes sync.Map

const replySuffix = " reply"

// SentBytes returns the bytes that this process has sent in calls and replies so far, by method.
func SentBytes() map[string]int64 {
	out := make(map[string]int64)
	sentBytes.Range(func(method, n any) bool {
		out[method.(string)] = n.(*atomic.Int64).Load()
		return true
	})
	return out
}

func countSent(method string, n int64) {
	counter, ok := sentBytes.Load(method)
	if !ok {
		counter, _ = sentBytes.LoadOrStore(method, new(atomic.Int64))
	}
	counter.(*atomic.Int64).Add(n)
}

// countingWriter counts the bytes written.
type countingWriter struct {
	io.Writer
	n int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n += int64(n)
	return n, err
}
