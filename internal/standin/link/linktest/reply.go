package linktest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/socket"
)

// Ending is how a server ends a connection.
type Ending int

// The endings.
const (
	// KeepOpen: the connection is kept for another request.
	KeepOpen Ending = iota
	// Reset: the connection is reset.
	Reset
	// CloseUnread: the connection is closed while a part of the request is unread, which makes the system reset it. The request
	// must be larger than what a server reads at once.
	CloseUnread
	// HalfClose: the server ends its direction and reads the rest of the request.
	HalfClose
	// HalfCloseUnread: the server ends its direction and reads no more.
	HalfCloseUnread
	// HalfCloseReset: the server ends its direction and resets the connection after the delay.
	HalfCloseReset
)

// Reply is what a server sends in answer to a request, and how it ends the connection.
type Reply struct {
	// Text is sent as it is, but for "$id", which stands for the id of the request.
	Text string
	// Early makes the server answer before it reads the body of the request.
	Early bool
	End   Ending
	// Delay passes between the text and the end.
	Delay time.Duration
}

// Server is a server that sends its replies byte for byte.
type Server struct {
	Addr string
	// Requests counts the requests, and Conns the connections on which there was one.
	Requests, Conns atomic.Int64

	idHeader string
	replies  []Reply
	byPath   bool
	closed   chan struct{}

	mu sync.Mutex
	// followed holds the numbers of the requests, from 0 on, behind which another one arrived on the same connection.
	followed map[int64]bool
}

// Followed reports whether another request arrived on the connection of the n-th request, counted from 0.
func (s *Server) Followed(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed[int64(n)]
}

// ServeReplies starts a server whose n-th request gets the n-th reply, and all after the last reply that one. idHeader is the name of
// the header that carries the ids of requests.
func ServeReplies(t *testing.T, idHeader string, replies ...Reply) *Server {
	t.Helper()
	return serveReplies(t, &Server{idHeader: idHeader, replies: replies})
}

// ServeRepliesByPath starts a server that gives the n-th reply, counted from 0, to requests whose path ends with /reply-n, and the last reply
// to all others.
func ServeRepliesByPath(t *testing.T, idHeader string, replies ...Reply) *Server {
	t.Helper()
	return serveReplies(t, &Server{idHeader: idHeader, replies: replies, byPath: true})
}

func serveReplies(t *testing.T, s *Server) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.Addr, s.closed, s.followed = l.Addr().String(), make(chan struct{}), make(map[int64]bool)
	t.Cleanup(func() {
		_ = l.Close()
		close(s.closed)
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for last := int64(-1); ; {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if last < 0 {
			s.Conns.Add(1)
		} else {
			s.mu.Lock()
			s.followed[last] = true
			s.mu.Unlock()
		}
		last = s.Requests.Add(1) - 1
		reply := s.replyTo(request, last)
		if !reply.Early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(reply.Text, "$id", request.Header.Get(s.idHeader)))
		if reply.End != KeepOpen {
			s.end(c, reply)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// replyTo returns the reply to a request, which is the n-th.
func (s *Server) replyTo(r *http.Request, n int64) Reply {
	last := int64(len(s.replies) - 1)
	if s.byPath {
		n = last
		if number, ok := strings.CutPrefix(path.Base(r.URL.Path), "reply-"); ok {
			n, _ = strconv.ParseInt(number, 10, 64)
		}
	}
	return s.replies[min(n, last)]
}

func (s *Server) end(c *net.TCPConn, reply Reply) {
	if reply.End >= HalfClose {
		_ = c.CloseWrite()
	}
	time.Sleep(reply.Delay)
	switch reply.End {
	case Reset, HalfCloseReset:
		_ = c.SetLinger(0)
	case CloseUnread:
		for socket.Peek(c) == socket.Quiet {
			time.Sleep(time.Millisecond)
		}
	case HalfClose:
		_, _ = io.Copy(io.Discard, c)
	case HalfCloseUnread:
		<-s.closed
	}
}
