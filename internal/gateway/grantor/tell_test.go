package grantor

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/lease"
)

// pushed plays another VM: it takes updates in, each after a delay.
type pushed struct {
	state   *state
	delay   time.Duration
	lost    int
	updates []*lease.Update
}

func (p *pushed) push(ctx context.Context, _ string, u *lease.Update) (bool, error) {
	time.Sleep(p.delay)
	if p.lost > 0 {
		p.lost--
		return false, errors.New("lost")
	}
	p.updates = append(p.updates, u)
	return p.state.updateRouting(u), ctx.Err()
}

// owners returns a routing in which the first slices of a hundred have moved.
func owners(seq uint64, moved int) *lease.Routing {
	r := lease.Record{Service: "s", Epoch: 3, Slices: lease.Even(100, []lease.Owner{{ID: "a"}, {ID: "b"}})}
	for i := range moved {
		r.Slices[i].Owner = lease.Owner{ID: "c"}
	}
	return lease.NewRouting(r, seq, func(int) lease.SliceState { return lease.Served })
}

// At the start of a fleet each grant changes the leases, hundreds in a second. A
// whole routing for each, to each VM, filled the grantor's link.
func TestSlowVMIsToldTheLatestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &pushed{state: testState(&handClock{}), delay: 50 * time.Millisecond}
		l := newTeller(peer.push, quiet())
		for seq := range 100 {
			l.tell(t.Context(), owners(uint64(seq+1), seq), []string{"vm"})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		require.True(t, peer.state.routingOf("s").SameAs(owners(100, 99)))
		require.LessOrEqual(t, len(peer.updates), 4, "one on its way at a time")
		slices := 0
		for _, u := range peer.updates[1:] {
			slices += len(u.Routing.From)
		}
		require.LessOrEqual(t, slices, 100, "each changed slice once")
	})
}

func TestVMThatHasAnotherVersionGetsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &pushed{state: testState(&handClock{})}
		l := newTeller(peer.push, quiet())
		l.tell(t.Context(), owners(1, 0), []string{"vm"})
		synctest.Wait()
		peer.state = testState(&handClock{})
		l.tell(t.Context(), owners(2, 1), []string{"vm"})
		synctest.Wait()
		require.True(t, peer.state.routingOf("s").SameAs(owners(2, 1)))
		require.Len(t, peer.updates, 3)
		require.Zero(t, peer.updates[2].Base)
	})
}

func TestLostUpdateIsFollowedByAWholeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &pushed{state: testState(&handClock{})}
		l := newTeller(peer.push, quiet())
		l.tell(t.Context(), owners(1, 0), []string{"vm"})
		synctest.Wait()
		peer.lost = 1
		l.tell(t.Context(), owners(2, 1), []string{"vm"})
		synctest.Wait()
		l.tell(t.Context(), owners(3, 2), []string{"vm"})
		synctest.Wait()
		require.True(t, peer.state.routingOf("s").SameAs(owners(3, 2)))
		require.Zero(t, peer.updates[1].Base)
	})
}
