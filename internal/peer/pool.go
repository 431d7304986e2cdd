package peer

import "sync"

// Pool keeps one Client for each peer address. It is safe for concurrent use.
type Pool struct {
	connections    int
	resetOnTimeout bool
	bounds         ReplyBounds

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns a pool of clients as NewClient returns them, each with the given number of
// connections.
func NewPool(connections int) *Pool {
	return &Pool{connections: connections, clients: make(map[string]*Client)}
}

// NewRequestPool returns a pool of clients as NewRequestClient returns them.
func NewRequestPool(connections int) *Pool {
	p := NewPool(connections)
	p.resetOnTimeout = true
	return p
}

// Within bounds the replies to all clients. Call it before the first call.
func (p *Pool) Within(b ReplyBounds) *Pool {
	p.bounds = b
	return p
}

// Get returns the client for an address and creates it if there is none.
func (p *Pool) Get(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = newClient(addr, p.connections, p.resetOnTimeout).Within(p.bounds)
		p.clients[addr] = c
	}
	return c
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
