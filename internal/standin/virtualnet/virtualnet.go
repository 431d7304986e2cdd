// Package virtualnet simulates a network for tests in virtual time (testing/synctest): streams between named
// addresses whose paths are cut and healed.
//
// A stream behaves as TCP does over a partition: bytes that were sent while the path is cut are retransmitted
// after pauses that double, so a stream stays silent after the end of a cut for up to as long as the cut lasted.
// A dial retransmits its first packet in the same way, with a longer first pause.
package virtualnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// streamRetransmission is the first pause before lost bytes of a stream are sent again.
	streamRetransmission = 200 * time.Millisecond
	// dialRetransmission is the first pause before the first packet of a dial is sent again.
	dialRetransmission = time.Second
	// maxRetransmission bounds the pauses.
	maxRetransmission = 2 * time.Minute
	// acceptQueue is the number of connections that a listener keeps until they are accepted.
	acceptQueue = 1024
)

// Network connects addresses. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), cut: make(map[[2]string]bool)}
}

// Cut stops all packets from one address to another.
func (n *Network) Cut(from, to string) { n.set(from, to, true) }

// Heal lets packets from one address to another pass again.
func (n *Network) Heal(from, to string) { n.set(from, to, false) }

func (n *Network) set(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// Listen returns a listener at an address.
func (n *Network) Listen(addr string) net.Listener {
	l := &listener{network: n, addr: address(addr), accepted: make(chan net.Conn, acceptQueue), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Dial connects two addresses. It retransmits until ctx ends. It fails at once if nothing listens at the address.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	for wait := dialRetransmission; n.isCut(from, to) || n.isCut(to, from); wait = min(2*wait, maxRetransmission) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
		}
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: connection refused", to)
	}
	there, here := newStream(n, from, to), newStream(n, to, from)
	select {
	case l.accepted <- &conn{in: there, out: here, local: address(to), remote: address(from)}:
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: connection refused", to)
	}
	return &conn{in: here, out: there, local: address(from), remote: address(to)}, nil
}

type listener struct {
	network  *Network
	addr     address
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.addr)] == l {
			delete(l.network.listeners, string(l.addr))
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

// address implements net.Addr.
type address string

func (address) Network() string  { return "virtual" }
func (a address) String() string { return string(a) }
