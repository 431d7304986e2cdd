package pipeline

import (
	"context"
	"time"

	"hemlockquay/internal/socket"
)

// arrival is when bytes arrived, on the clock of Limits.
type arrival struct {
	at    time.Duration
	bytes int
}

// arrivals are when the bytes of conn.received arrived, in their order.
type arrivals []arrival

const (
	// maxArrivals bounds the arrivals of a connection. With more, bytes count as having arrived with those behind them.
	maxArrivals = 8
	// arrivalResolution is the time between two arrivals below which they are one. Time limits are not kept more exactly.
	arrivalResolution = 20 * time.Millisecond
)

// add records that bytes arrived behind the others.
func (a *arrivals) add(bytes int, at time.Duration) {
	if n := len(*a); n > 0 && (n == maxArrivals || at-(*a)[n-1].at < arrivalResolution) {
		(*a)[n-1] = arrival{at: at, bytes: (*a)[n-1].bytes + bytes}
		return
	}
	*a = append(*a, arrival{at: at, bytes: bytes})
}

// take removes the first bytes, and returns when the last of them arrived.
func (a *arrivals) take(bytes int) time.Duration {
	var at time.Duration
	for bytes > 0 && len(*a) > 0 {
		first := &(*a)[0]
		at = first.at
		n := min(bytes, first.bytes)
		bytes -= n
		if first.bytes -= n; first.bytes == 0 {
			*a = (*a)[1:]
		}
	}
	if len(*a) == 0 {
		*a = nil
	}
	return at
}

// stallNoticed is the length of a stall of the process from which on the system is asked how long bytes have waited.
const stallNoticed = 100 * time.Millisecond

// arrivedAt returns when bytes arrived that were just read. held reports whether the connection was not read before, although
// the process ran.
func (c *conn) arrivedAt(held bool) time.Duration {
	now := c.listener.clock.Now()
	if !held && c.listener.limits.Stalls.Recent() < stallNoticed {
		return now
	}
	since := socket.SinceReceived(c.raw)
	c.listener.metrics.unreadTime.Update(since)
	return now - since
}

// Waited returns how long ago the head of the request of a context arrived, also while it was unread, or 0 if that is not known.
func Waited(ctx context.Context) time.Duration {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return 0
	}
	return max(l.conn.listener.clock.Now()-l.arrived, 0)
}

// Left implements caller.Connection.
func (l *lane) Left() bool {
	c := l.conn
	c.mu.Lock()
	ended := c.closed || l.ended || c.readErr != nil
	c.mu.Unlock()
	return ended || socket.HungUp(c.raw)
}
