package mesh

import "context"

// ConfirmEnded reports whether a process of a VM, which the caller knew of before the call, has certainly ended. The addresses of two
// processes that run at a time differ. So it has if another incarnation answers at its address now.
//
// What heartbeats have shown before is not enough: incarnations are numbered by the VM's wall clock. After that has stepped back, the
// process that is known here with a higher number may be the one before.
func (m *Mesh) ConfirmEnded(ctx context.Context, vm, addr string, incarnation uint64) bool {
	r := m.remote(vm)
	if r == nil || r.member.Addr != addr || r.member.Incarnation == incarnation {
		return false
	}
	heartbeat := m.buildHeartbeat(r.member).brief()
	var reply Heartbeat
	if err := callWithin(ctx, callTimeout, r.client, "Mesh.Heartbeat", &heartbeat, &reply); err != nil {
		m.log.Warn().Str("step", "mesh").Str("peer", vm).Uint64("incarnation", incarnation).Err(err).Msg("not known whether a process has ended")
		return false
	}
	m.receive(reply)
	return reply.From.VM == vm && reply.From.Addr == addr && reply.From.Incarnation != incarnation
}
