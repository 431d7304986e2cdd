package mesh

import (
	"context"
	"time"

	"hemlockquay/internal/peer"
)

// Client calls one VM. It is implemented by peer.Client.
type Client interface {
	Call(ctx context.Context, method string, args, reply any) error
	Close()
}

// UseClients sets how the clients of other VMs are made. Call it before VMs are added. Default: TCP.
func (m *Mesh) UseClients(newClient func(addr string) Client) { m.newClient = newClient }

// Call calls one VM with a small message, on the connection that carries heartbeats.
func (m *Mesh) Call(ctx context.Context, vm, method string, args, reply any) error {
	r := m.remote(vm)
	if r == nil {
		return peer.ErrNotSent
	}
	return callWithin(ctx, callTimeout, r.client, method, args, reply)
}

// Transfer calls one VM with a message or a reply that may be large, on a connection separate
// from heartbeats.
func (m *Mesh) Transfer(ctx context.Context, vm, method string, args, reply any) error {
	r := m.remote(vm)
	if r == nil {
		return peer.ErrNotSent
	}
	return callWithin(ctx, transferTimeout, r.transfers, method, args, reply)
}

func callWithin(ctx context.Context, timeout time.Duration, client Client, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return client.Call(ctx, method, args, reply)
}

func (m *Mesh) remote(vm string) *remote {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.remotes[vm]
}
