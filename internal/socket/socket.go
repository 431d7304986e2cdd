// Package socket reads from the system what it knows of a connection and has not passed on yet: whether bytes wait to be
// read, whether the other side has ended it, and when bytes arrived last.
//
// A process that did not run for a while, or that does not read a connection, learns of these only as it reads, and what lies
// in front is read first. No function here reads or blocks, so another goroutine may read the connection at the same time.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what waits at the front of a connection.
type State int

// The states of a connection.
const (
	// Unknown: the connection is not one of the system, such as a net.Pipe.
	Unknown State = iota
	// Quiet: nothing waits to be read.
	Quiet
	// Readable: bytes wait to be read.
	Readable
	// Ended: the other side has ended its direction or reset the connection, or this side has closed it.
	Ended
)

// Peek returns what waits at the front of a connection.
func Peek(conn net.Conn) State {
	state := Unknown
	control(conn, &state, func(fd int) {
		var one [1]byte
		n, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Readable
		default:
			state = Ended
		}
	})
	return state
}

// HungUp reports whether the other side has ended its direction or reset the connection, also where bytes that it sent before
// that are unread. It is false for a connection that is not one of the system.
func HungUp(conn net.Conn) bool {
	switch Peek(conn) {
	case Ended:
		return true
	case Readable:
		return endedBehindUnread(conn)
	}
	return false
}

// endedBehindUnread reports whether an end follows the bytes that wait to be read.
func endedBehindUnread(conn net.Conn) bool {
	state := Readable
	control(conn, &state, func(fd int) {
		const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(polled, 0); err == nil && n > 0 && polled[0].Revents&ended != 0 {
			state = Ended
		}
	})
	return state == Ended
}

// SinceReceived returns the time since bytes arrived last on a TCP connection, or 0 where the system does not say it. Its
// resolution is some milliseconds.
func SinceReceived(conn net.Conn) time.Duration {
	var since time.Duration
	state := Unknown
	control(conn, &state, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// Closed reports whether a TCP connection is closed in both directions, as by a reset. It is false for a connection that is not one of
// the system.
func Closed(conn net.Conn) bool {
	state, closed := Ended, false
	control(conn, &state, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return closed
}

// control calls f with the descriptor of a connection. It sets state to Ended if the connection is closed, and leaves it as it
// is if the connection has no descriptor.
func control(conn net.Conn, state *State, f func(fd int)) {
	for {
		outer, wrapped := conn.(interface{ NetConn() net.Conn })
		if !wrapped {
			break
		}
		conn = outer.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
	if err != nil {
		*state = Ended
	}
}
