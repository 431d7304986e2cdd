package virtualnet

import (
	"io"
	"net"
	"sync"
	"time"
)

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string

	mu sync.Mutex
	// received has arrived and is not read yet, lost waits for its retransmission.
	received, lost []byte
	// pause is the pause before the next retransmission.
	pause time.Duration
	// ended reports whether the sender's end has arrived, closed whether the reader has closed the connection.
	ended, closed bool
	changed       *sync.Cond
}

func newStream(n *Network, from, to string) *stream {
	s := &stream{network: n, from: from, to: to}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// send delivers bytes, or keeps them for a retransmission if the path is cut or earlier bytes are kept.
func (s *stream) send(p []byte) error {
	cut := s.network.isCut(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.ended {
		return net.ErrClosed
	}
	if cut || len(s.lost) > 0 {
		if len(s.lost) == 0 {
			s.pause = streamRetransmission
			time.AfterFunc(s.pause, s.retransmit)
		}
		s.lost = append(s.lost, p...)
		return nil
	}
	s.received = append(s.received, p...)
	s.changed.Broadcast()
	return nil
}

func (s *stream) retransmit() {
	cut := s.network.isCut(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.ended {
		return
	}
	if cut {
		s.pause = min(2*s.pause, maxRetransmission)
		time.AfterFunc(s.pause, s.retransmit)
		return
	}
	s.received, s.lost = append(s.received, s.lost...), nil
	s.changed.Broadcast()
}

// end resets the stream: bytes that have not arrived are dropped. The reader learns of it unless the path is cut.
func (s *stream) end() {
	cut := s.network.isCut(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = nil
	if !cut {
		s.ended = true
	}
	s.changed.Broadcast()
}

// close ends reads.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.received) == 0 && !s.ended && !s.closed {
		s.changed.Wait()
	}
	if s.closed {
		return 0, net.ErrClosed
	}
	if len(s.received) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.received)
	s.received = s.received[n:]
	return n, nil
}

// conn implements net.Conn without deadlines.
type conn struct {
	in, out       *stream
	local, remote address
}

func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *conn) Write(p []byte) (int, error) {
	if err := c.out.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *conn) Close() error {
	c.in.close()
	c.out.end()
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return c.local }
func (c *conn) RemoteAddr() net.Addr             { return c.remote }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
