package mesh

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// answeringClient answers heartbeats for the process at an address, or fails without one.
type answeringClient struct{ process *Member }

func (c answeringClient) Call(_ context.Context, _ string, _, reply any) error {
	b, ok := reply.(*Heartbeat)
	if !ok || c.process == nil {
		return errors.New("no answer")
	}
	b.From = *c.process
	return nil
}

func (answeringClient) Close() {}

// Guards against a live process that counts as ended, because its VM's clock stepped back before it started.
func TestEndOfAProcessIsConfirmedAtItsAddress(t *testing.T) {
	at := func(vm, addr string, incarnation uint64) Member {
		return Member{VM: vm, Addr: addr, Incarnation: incarnation}
	}
	const addr = "127.0.0.2:1"
	for _, c := range []struct {
		name    string
		known   Member
		running *Member
		asked   Member
		ended   bool
	}{
		{"a later process answers", at("b", addr, 2), &Member{VM: "b", Addr: addr, Incarnation: 2}, at("b", addr, 1), true},
		{"a later process with a lower number answers", at("b", addr, 2), &Member{VM: "b", Addr: addr, Incarnation: 2}, at("b", addr, 9), true},
		{"the process itself answers, after one with a higher number", at("b", addr, 9), &Member{VM: "b", Addr: addr, Incarnation: 5}, at("b", addr, 5), false},
		{"nobody answers", at("b", addr, 2), nil, at("b", addr, 1), false},
		{"the later process has another address", at("b", addr, 2), &Member{VM: "b", Addr: addr, Incarnation: 2}, at("b", "127.0.0.3:1", 1), false},
		{"another VM has the address", at("b", addr, 2), &Member{VM: "c", Addr: addr, Incarnation: 2}, at("b", addr, 1), false},
		{"the VM is not known", at("b", addr, 2), &Member{VM: "b", Addr: addr, Incarnation: 2}, at("c", addr, 1), false},
		{"no other process is known", at("b", addr, 1), &Member{VM: "b", Addr: addr, Incarnation: 1}, at("b", addr, 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, _ := newMesh(t)
			m.UseClients(func(string) Client { return answeringClient{c.running} })
			m.receiveHeartbeat(Heartbeat{From: c.known})
			require.Equal(t, c.ended, m.ConfirmEnded(t.Context(), c.asked.VM, c.asked.Addr, c.asked.Incarnation))
		})
	}
}
