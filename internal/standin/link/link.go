// Package link simulates the network between two processes for tests: a TCP proxy on the
// loopback interface that can be cut and healed.
//
// While a link is cut, it holds the bytes that both sides send, as the TCP stacks on a real
// network do: the bytes of a connection that its sender has closed are retransmitted until
// they arrive, and those of a connection that its sender has reset are dropped.
package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// readBytes is the size of the read buffer in bytes.
const readBytes = 4 << 10

// stateClosed is TCP_CLOSE, the kernel's state of a connection that was reset.
const stateClosed = 7

// Link is a proxy that forwards TCP connections to one address.
type Link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	cut    bool
	closed bool
	// pipes counts the pipes, and the accepted connections that are still being set up.
	pipes int
	// held is the number of bytes held in all pipes, heldOpen the number of those in pipes
	// whose sender has not closed or reset its connection.
	held, heldOpen int
	// holdNew makes new connections wait for the end of the cut.
	holdNew bool
	// dropNew makes the kernel drop the packets that open new connections.
	dropNew bool
	// refuseNew refuses new connections, whether or not the link is cut.
	refuseNew bool
	// paused reports whether connections are not accepted because of dropNew or refuseNew.
	paused bool
	// fillers are the connections that fill the listener's queue while dropNew is set.
	fillers []net.Conn
	// resets counts the calls of Reset.
	resets int
	// changed wakes the waiting goroutines when bytes arrive, a connection ends, or the link
	// is cut, healed, reset or closed.
	changed *sync.Cond
}

// New returns a link to the target that listens at a free loopback address.
func New(target string) (*Link, error) {
	listener, err := listen()
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	return start(listener, target), nil
}

// NewAt returns a link to the target that listens at the given address, whose port is not 0.
func NewAt(addr, target string) (*Link, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	return start(listener, target), nil
}

func start(listener net.Listener, target string) *Link {
	l := &Link{target: target, listener: listener}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l
}

// Addr returns the address at which the link accepts connections.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Cut stops all traffic. New connections are reset.
func (l *Link) Cut() { l.set(true, false) }

// Hold stops all traffic. New connections are accepted and held, as if each had been opened
// right before the cut: the client gets no response.
func (l *Link) Hold() { l.set(true, true) }

// Drop stops all traffic, as a partition does: dials get no response at all.
func (l *Link) Drop() error {
	l.mu.Lock()
	l.cut, l.holdNew, l.dropNew = true, false, true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.fillQueue()
}

// Refuse refuses new connections as if nothing listened, until Heal. Open ones go on.
func (l *Link) Refuse() error {
	l.mu.Lock()
	l.refuseNew = true
	l.mu.Unlock()
	return l.stopListening()
}

// Heal delivers the held bytes and resumes all traffic.
func (l *Link) Heal() {
	l.emptyQueue()
	l.set(false, false)
}

func (l *Link) set(cut, holdNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.holdNew, l.dropNew, l.refuseNew = cut, holdNew, false, false
	l.changed.Broadcast()
}

// Reset resets both sides of all open connections and drops the bytes held for them.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resets++
	l.changed.Broadcast()
}

// AwaitHeld waits until the cut link holds bytes.
func (l *Link) AwaitHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && l.held == 0 {
		l.changed.Wait()
	}
}

// AwaitEnded waits until the senders of all bytes that the cut link holds have closed or
// reset their connections.
func (l *Link) AwaitEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && l.heldOpen > 0 {
		l.changed.Wait()
	}
}

// Drain waits until both sides have closed or reset all connections and all held bytes are
// delivered or dropped.
func (l *Link) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.pipes > 0 {
		l.changed.Wait()
	}
}

// Close closes the link and drops the held bytes.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	l.emptyQueue()
	_ = l.listener.Close()
}

// awaitAdmission waits while new connections are held, and then reports whether a new
// connection may be forwarded.
func (l *Link) awaitAdmission() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && l.cut && l.holdNew {
		l.changed.Wait()
	}
	return !l.closed && !l.cut
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			if !l.awaitListening() {
				return
			}
			continue
		}
		l.addPipes(1)
		go func() {
			defer l.addPipes(-1)
			l.connect(client)
		}()
	}
}

// connect forwards a new connection to the target.
func (l *Link) connect(client net.Conn) {
	if !l.awaitAdmission() {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(client)
		return
	}
	l.mu.Lock()
	resets := l.resets
	l.mu.Unlock()
	l.forward(client, server, resets)
	l.forward(server, client, resets)
}

// forward forwards one direction of a connection. It reads during a cut as well, because
// only a read shows whether the sender has closed or reset the connection.
func (l *Link) forward(from, to net.Conn, resets int) {
	p := &pipe{link: l, from: from, resets: resets}
	l.addPipes(1)
	go p.read()
	go func() {
		defer l.addPipes(-1)
		p.write(to)
	}()
}

func (l *Link) addPipes(pipes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pipes += pipes
	l.changed.Broadcast()
}

// pipe is one direction of a connection with its held bytes. The link's lock guards held
// and ended.
type pipe struct {
	link *Link
	from net.Conn
	// resets is the value of Link.resets when the connection was opened.
	resets int
	held   []byte
	ended  error
}

// read appends what arrives to the held bytes until the sender closes or resets the
// connection.
func (p *pipe) read() {
	buffer := make([]byte, readBytes)
	for {
		n, err := p.from.Read(buffer)
		p.link.mu.Lock()
		p.held = append(p.held, buffer[:n]...)
		p.link.held += n
		p.link.heldOpen += n
		if err != nil {
			p.link.heldOpen -= len(p.held)
			p.ended = err
			if !errors.Is(err, io.EOF) {
				p.take()
			}
		}
		p.link.changed.Broadcast()
		p.link.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// write delivers the held bytes while the link is not cut, and then closes or resets the
// connection as its sender did.
func (p *pipe) write(to net.Conn) {
	for {
		held, ended := p.next()
		if len(held) > 0 {
			if _, err := to.Write(held); err != nil {
				reset(to)
				return
			}
			continue
		}
		if errors.Is(ended, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
		} else {
			reset(to)
		}
		return
	}
}

// next waits for bytes to deliver or for the end of the connection, and returns the bytes
// and the error with which the connection ended.
func (p *pipe) next() ([]byte, error) {
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && p.resets == l.resets && (l.cut || len(p.held) == 0 && p.ended == nil) {
		l.changed.Wait()
	}
	if p.resets != l.resets {
		p.take()
	}
	if l.closed || p.resets != l.resets || p.ended == nil && isReset(p.from) {
		return nil, net.ErrClosed
	}
	return p.take(), p.ended
}

// isReset asks the kernel whether the peer has reset a connection.
//
// Failure: a sender resets its connection, and the link is healed right after. The read that
// reports the reset has not returned yet, and the held bytes would still be delivered.
func isReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return errors.Join(err, failed) != nil || info.State == stateClosed
}

// take returns the held bytes and empties the pipe. It requires the link's lock.
func (p *pipe) take() []byte {
	out := p.held
	p.held = nil
	p.link.held -= len(out)
	if p.ended == nil {
		p.link.heldOpen -= len(out)
	}
	return out
}

// reset resets a connection and drops its unsent bytes.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
