package leasing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/standin/link/linktest"
	"hemlockquay/internal/upstream"
)

// stoppingCodec encodes orders in a process that is stopped meanwhile.
type stoppingCodec struct {
	jsonOrderCodec
	clock *manualClock
	span  time.Duration
}

func (c stoppingCodec) Order(o lease.Order) (*upstream.Request, error) {
	c.clock.advance(c.span)
	return c.jsonOrderCodec.Order(o)
}

// Guards against an order that is sent without authority, because its process was stopped after the check.
func TestOrderIsNotSentAfterAStopThatOutlastsTheAuthority(t *testing.T) {
	for _, c := range []struct {
		span    time.Duration
		arrives bool
	}{{0, true}, {lease.Authority - time.Millisecond, true}, {lease.Authority, false}, {time.Minute, false}} {
		for _, kind := range []lease.OrderKind{lease.Grant, lease.Release} {
			clock := newManualClock(time.Hour)
			n := testNode(clock)
			n.OrderCodec = stoppingCodec{clock: clock, span: c.span}
			owner := &fakeTarget{clock: clock}
			target := lease.Owner{ID: "t", Addr: linktest.Serve(t, owner).Addr()}
			record := lease.Record{Service: "s", Epoch: 1, Holder: "self", Incarnation: n.Self.Incarnation, Slices: lease.EvenSlices(1, []lease.Owner{target})}
			l := newLeader(&candidate{Manager: n.Manager, service: "s"}, lease.NewGrantor(firstEpoch(record), lease.Timing{Hold: lease.HoldTime}, clock.Now(), clock.Now()), 1)
			o := lease.Order{Kind: kind, Target: target, To: 65535, Fence: 7, Hold: lease.HoldTime}
			result := l.sendOrder(t.Context(), l.sender(t.Context(), target), o, upstream.NewConn, grantTimeout)
			want := map[bool]lease.Result{true: lease.Done, false: lease.Unreached}[c.arrives]
			require.Equal(t, want, result, "%s after a stop of %s", kind, c.span)
			require.Equal(t, c.arrives, owner.fence == o.Fence)
			n.mesh.Close()
		}
	}
}
