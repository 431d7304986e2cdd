package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fillTimeout is the time without a response after which a dial shows that the queue is full.
	fillTimeout = 50 * time.Millisecond
	// fillChecks is the number of dials in a row that must get no response.
	fillChecks = 2
	// maxFillers bounds the connections that fill the queue.
	maxFillers = 16
	// defaultBacklog is the length of the listener's queue while packets are not dropped.
	defaultBacklog = 128
	// Links have ports from firstPort on, in blocks of blockSize, of which each process has one. The system
	// gives out higher ones by itself, and processes under test get ports between these and those.
	firstPort, blocks, blockSize = 4_000, 29, 200
	// maxListenAttempts bounds the search for a free port.
	maxListenAttempts = 1000
)

// portBlock is the block of ports of this process. Its first port is a listener that keeps other processes
// out: two sockets can bind one port unless one of them listens, and a link that refuses connections does not.
var portBlock = struct {
	sync.Mutex
	lock  net.Listener
	first int
	next  int
}{}

// NextPort returns the next port of the block of this process. It may be in use by this process.
func NextPort() (int, error) {
	portBlock.Lock()
	defer portBlock.Unlock()
	for attempt := 0; portBlock.lock == nil; attempt++ {
		first := firstPort + blockSize*rand.N(blocks)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil && attempt < maxListenAttempts {
			continue
		}
		if err != nil {
			return 0, fmt.Errorf("no block of ports: %w", err)
		}
		portBlock.lock, portBlock.first = lock, first
	}
	portBlock.next = portBlock.next%(blockSize-1) + 1
	return portBlock.first + portBlock.next, nil
}

// listen listens at a free port that is bound explicitly. The kernel releases any other when the
// listener stops listening.
func listen() (listener net.Listener, failed error) {
	for range maxListenAttempts {
		port, err := NextPort()
		if err != nil {
			return nil, err
		}
		if listener, failed = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); failed == nil {
			return listener, nil
		}
	}
	return nil, failed
}

// fillQueue makes the kernel drop the packets that open new connections: no connection is accepted
// any more, and the listener's queue is short and full.
func (l *Link) fillQueue() error {
	if err := l.setBacklog(0); err != nil {
		return err
	}
	_ = l.listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	l.awaitPaused()
	for dropped := 0; len(l.fillers) < maxFillers; {
		filler, err := net.DialTimeout("tcp", l.Addr(), fillTimeout)
		if err != nil {
			if dropped++; dropped == fillChecks {
				return nil
			}
			continue
		}
		dropped = 0
		l.mu.Lock()
		l.fillers = append(l.fillers, filler)
		l.mu.Unlock()
	}
	return fmt.Errorf("link at %s: its queue is not full after %d connections", l.Addr(), maxFillers)
}

// emptyQueue ends the effects of fillQueue and stopListening.
func (l *Link) emptyQueue() {
	l.mu.Lock()
	fillers := l.fillers
	l.fillers = nil
	l.mu.Unlock()
	for _, filler := range fillers {
		reset(filler)
	}
	_ = l.setBacklog(defaultBacklog)
	_ = l.listener.(*net.TCPListener).SetDeadline(time.Time{})
}

// setBacklog makes the listener listen with a queue of this length.
func (l *Link) setBacklog(connections int) error {
	return l.control("listen", func(fd int) error { return unix.Listen(fd, connections) })
}

// stopListening makes the kernel refuse new connections. The port stays in use.
func (l *Link) stopListening() error {
	return l.control("stop listening", func(fd int) error { return unix.Shutdown(fd, unix.SHUT_RDWR) })
}

func (l *Link) control(step string, call func(fd int) error) error {
	raw, err := l.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("link at %s: %s: %w", l.Addr(), step, err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = call(int(fd)) })
	if err := errors.Join(err, failed); err != nil {
		return fmt.Errorf("link at %s: %s: %w", l.Addr(), step, err)
	}
	return nil
}

// awaitListening waits while new connections are dropped or refused. It reports whether the link is
// open.
func (l *Link) awaitListening() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	l.changed.Broadcast()
	for !l.closed && (l.dropNew || l.refuseNew) {
		l.changed.Wait()
	}
	l.paused = false
	return !l.closed
}

// awaitPaused waits until no connections are accepted.
func (l *Link) awaitPaused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && !l.paused {
		l.changed.Wait()
	}
}
