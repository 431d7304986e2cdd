// Package peer carries net/rpc calls between hemlockquay's own processes.
//
// net/rpc has no deadlines and sends all calls over one connection. Here every
// call has a context, and a client can have several connections, so that a large
// answer does not delay all small ones.
package peer

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/stall"
)

// Server serves the registered RPC receivers on one listener.
type Server struct {
	// OnAcceptError is called with each error of the listener after which Serve tries again. It may be nil, and is set
	// before Serve runs.
	OnAcceptError func(error)
	// Stalls says when the process did not run, so that messages may have waited unread. It may be nil, and is set before
	// Serve runs.
	Stalls *stall.Meter

	rpc      *rpc.Server
	listener net.Listener

	bounds                      Bounds
	evicted, rejected, tooLarge metrics.Counter

	mu sync.Mutex
	// conns holds the open connections, unproven those of them that have sent no message, the oldest first.
	conns    map[net.Conn]struct{}
	unproven []net.Conn
	closed   bool
	done     sync.WaitGroup
}

// Listen listens on the address and returns a server, which accepts connections once Serve runs.
func Listen(addr string) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return NewServer(l)
}

// NewServer returns a server that accepts connections from a listener once Serve runs. Close closes the listener.
func NewServer(l net.Listener) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), listener: l, conns: make(map[net.Conn]struct{})}
	s.Bound(defaultBounds())
	if err := s.Register(probeService, probeReceiver{}); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return s, nil
}

// Register publishes the methods of the receiver under the name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptPause is the pause after an error of accept.
const acceptPause = 50 * time.Millisecond

// Serve accepts connections until Close. Errors such as a lack of descriptors end by themselves.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if s.OnAcceptError != nil {
				s.OnAcceptError(err)
			}
			time.Sleep(acceptPause)
			continue
		}
		tracked, closed := s.track(conn)
		if !tracked {
			conn.Close()
		}
		if closed {
			return
		}
		if tracked {
			go s.serve(conn)
		}
	}
}

// track adds the connection to those that Close closes. It returns false if there is no room for it, or if the server is
// closed.
func (s *Server) track(conn net.Conn) (tracked, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false, true
	}
	if len(s.conns) >= s.bounds.Connections {
		if len(s.unproven) == 0 {
			s.rejected.Inc(1)
			return false, false
		}
		s.evicted.Inc(1)
		s.forgetLocked(s.unproven[0])
	}
	s.conns[conn] = struct{}{}
	s.unproven = append(s.unproven, conn)
	s.done.Add(1)
	return true, false
}

// forgetLocked closes a connection, which no longer counts. It needs s.mu.
func (s *Server) forgetLocked(conn net.Conn) {
	conn.Close()
	delete(s.conns, conn)
	s.proveLocked(conn)
}

// proveLocked records that a connection has sent a message. It needs s.mu.
func (s *Server) proveLocked(conn net.Conn) {
	if i := slices.Index(s.unproven, conn); i >= 0 {
		s.unproven = slices.Delete(s.unproven, i, i+1)
	}
}

func (s *Server) prove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proveLocked(conn)
}

func (s *Server) serve(conn net.Conn) {
	defer s.done.Done()
	m := &meter{conn: conn, memory: s.bounds.Memory, unproven: s.bounds.Unproven, tooLarge: s.tooLarge}
	defer m.release()
	s.rpc.ServeCodec(newServerCodec(conn, s, m))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLocked(conn)
}

// Close stops accepting, closes all connections and waits for running calls. Their
// replies are lost, so the process should be drained first.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.listener.Close()
	s.done.Wait()
}
