// Package link plays the network between two processes for tests: a proxy on the loopback
// interface that can be cut and healed.
//
// While a link is cut it holds what its ends have sent, as the machines at both ends of a
// real one do: bytes of a connection that its sender has closed are sent again until they
// arrive, and those of a connection that its sender has reset are dropped.
package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// chunk is how much is read from a connection at a time, bytes.
const readBytes = 4 << 10

// stateClosed is the system's state of a connection that was reset, TCP_CLOSE.
const stateClosed = 7

// Link forwards connections to an address.
type Link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	cut    bool
	closed bool
	// pipes counts the directions of connections that still carry something.
	pipes int
	// held is how many bytes wait in all pipes, open how many of them in pipes whose sender
	// has not ended its connection.
	held, heldOpen int
	// holds: new connections wait for the end of the cut.
	holdNew bool
	// resets counts the calls of Reset.
	resets int
	// changed wakes those who wait for something to send, or for the end of a cut.
	changed *sync.Cond
}

// New returns a link to the target at an address of its own.
func New(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	l := &Link{target: target, listener: listener}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Addr returns the address that leads over the link.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Cut lets nothing through any more. New connections are reset.
func (l *Link) Cut() { l.set(true, false) }

// Hold lets nothing through any more. New connections are held too, as if each had been
// opened right before the cut: their ends see silence.
func (l *Link) Hold() { l.set(true, true) }

// Heal delivers what was held, and lets everything through again.
func (l *Link) Heal() { l.set(false, false) }

func (l *Link) set(cut, holdNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.holdNew = cut, holdNew
	l.changed.Broadcast()
}

// Reset resets both ends of all connections that are open, without what is held of them.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resets++
	l.changed.Broadcast()
}

// AwaitHeld waits until the cut link holds something.
func (l *Link) AwaitHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && l.held == 0 {
		l.changed.Wait()
	}
}

// AwaitEnded waits until the senders of all that the cut link holds have ended their
// connections.
func (l *Link) AwaitEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && l.heldOpen > 0 {
		l.changed.Wait()
	}
}

// Drain waits until no connection carries anything: both ends have ended all of them, and
// what was held is delivered or dropped.
func (l *Link) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.pipes > 0 {
		l.changed.Wait()
	}
}

// Close ends the link. What it holds is dropped.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	_ = l.listener.Close()
}

// passes waits while new connections are held, and reports whether one may pass then.
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
			return
		}
		l.addPipes(1)
		go func() {
			defer l.addPipes(-1)
			l.connect(client)
		}()
	}
}

// connect leads a new connection to the target.
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

// carry forwards one direction of a connection. Reading goes on in a cut, since only a
// read returns how the sender has ended the connection.
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

// pipe is one direction of a connection, with the bytes that it holds.
type pipe struct {
	link *Link
	from net.Conn
	// resets is how often connections had been reset when this one was opened.
	resets int
	held   []byte
	ended  error
}

// read holds what arrives until the sender ends the connection.
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

// write delivers what is held while the link is whole, and then ends the connection as
// its sender has.
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

// next waits for bytes to deliver, or for the end of the connection.
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

// isReset asks the system whether the other end has reset a connection.
//
// Failure: a sender resets its connection, and the link heals right after. The read that
// reports the reset has not returned yet, and what was held is delivered all the same.
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

// take empties the pipe; the link's lock is held.
func (p *pipe) take() []byte {
	out := p.held
	p.held = nil
	p.link.held -= len(out)
	if p.ended == nil {
		p.link.heldOpen -= len(out)
	}
	return out
}

// reset ends a connection at once, without what it still holds.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
