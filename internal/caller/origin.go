package caller

import "time"

// MaxUnread is how long a request of another process may have waited unread. What its sender withdrew meanwhile may lie unread on
// another connection, so a request that may have waited longer is refused as not run. It is above the pauses of a VM whose share of a core is
// used up, which last up to 100 ms, and below the half second in which nothing may be passed on any more.
const MaxUnread = 250 * time.Millisecond

// Origin is embedded in messages that carry a request from another process. The codec that decodes them sets it.
type Origin struct {
	connection Connection
	waited     time.Duration
}

// SetOrigin sets the connection on which the message came, and the longest time in which it may have waited unread.
func (o *Origin) SetOrigin(c Connection, waited time.Duration) { o.connection, o.waited = c, waited }

// From returns the connection on which the message came, or nil.
func (o *Origin) From() Connection { return o.connection }

// WaitedTooLong reports whether the request may have waited unread for longer than MaxUnread.
func (o *Origin) WaitedTooLong() bool { return o.waited > MaxUnread }

// Receiver is a message that carries a request.
type Receiver interface {
	SetOrigin(c Connection, waited time.Duration)
}
