package permit

import "time"

const (
	// windowSpan is the time over which targets count requests. It is divided into windowParts parts.
	windowSpan  = 4 * time.Second
	windowParts = 16
	partSpan    = windowSpan / windowParts
)

// Window counts the requests that a VM has sent to a target in the last windowSpan. The zero value has counted
// none.
type Window struct {
	counts [windowParts]int
	// current is the number of the latest part, counted from time 0.
	current int64
}

// Add counts a request.
func (w *Window) Add(now time.Duration) {
	w.advance(now)
	w.counts[w.current%windowParts]++
}

// Count returns the number of requests.
func (w *Window) Count(now time.Duration) int {
	w.advance(now)
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

func (w *Window) advance(now time.Duration) {
	at := int64(now / partSpan)
	if at-w.current >= windowParts {
		w.counts, w.current = [windowParts]int{}, at
	}
	for w.current < at {
		w.current++
		w.counts[w.current%windowParts] = 0
	}
}
