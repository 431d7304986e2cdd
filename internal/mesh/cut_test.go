package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/peer"
	"hemlockquay/internal/standin/virtualnet"
)

// reconnectBound is the time within which two VMs hear each other again after the end of a cut between them.
const reconnectBound = 500 * time.Millisecond

// sinceBegin is a clock that counts from the start of a test in virtual time.
type sinceBegin struct{ begin time.Time }

func (c sinceBegin) Now() time.Duration { return time.Hour + time.Since(c.begin) }

// fleet is a fleet of meshes on a simulated network. It needs a bubble of synctest.
type fleet struct {
	network *virtualnet.Network
	meshes  []*Mesh
	servers []*peer.Server
}

func newFleet(t *testing.T, vms int) *fleet {
	f := &fleet{network: virtualnet.New()}
	clock := sinceBegin{time.Now()}
	for i := range vms {
		addr := fmt.Sprintf("vm-%03d:1", i)
		self := Member{VM: addr[:6], Addr: addr, Incarnation: 1}
		m := New(self, clock, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		m.UseClients(func(to string) Client {
			c := peer.NewClient(to, 1)
			c.UseDial(func(ctx context.Context, to string) (net.Conn, error) { return f.network.Dial(ctx, addr, to) })
			return c
		})
		m.Start(staticLocal{self})
		s, err := peer.NewServer(f.network.Listen(addr))
		require.NoError(t, err)
		require.NoError(t, s.Register("Mesh", Service{m}))
		go s.Serve()
		f.meshes, f.servers = append(f.meshes, m), append(f.servers, s)
	}
	for _, m := range f.meshes {
		for _, other := range f.meshes {
			m.Add(other.self)
		}
	}
	return f
}

func (f *fleet) stop() {
	for _, m := range f.meshes {
		m.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
}

// pairs calls do for both directions of each pair of one of the first VMs and a later one.
func (f *fleet) pairs(first int, do func(from, to string)) {
	for _, a := range f.meshes[:first] {
		for _, b := range f.meshes[first:] {
			do(a.self.Addr, b.self.Addr)
			do(b.self.Addr, a.self.Addr)
		}
	}
}

// apart returns the number of pairs, one of the first VMs and a later one, that have not heard each other since an
// instant.
func (f *fleet) apart(first int, since time.Duration) (apart int) {
	heard := func(m, other *Mesh) bool {
		at, known := m.LastHeard(other.self.VM, 1)
		return known && at >= since
	}
	for _, a := range f.meshes[:first] {
		for _, b := range f.meshes[first:] {
			if !heard(a, b) || !heard(b, a) {
				apart++
			}
		}
	}
	return apart
}

// Guards against VMs that stay apart after the end of a cut for as long again as the cut lasted.
func TestVMsHearEachOtherSoonAfterACutOfAnyLength(t *testing.T) {
	for _, size := range []struct{ vms, cut int }{{2, 1}, {9, 3}, {30, 3}, {30, 15}} {
		for _, cut := range []time.Duration{2 * time.Second, 7 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%d of %d VMs cut for %v", size.cut, size.vms, cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, size.vms)
					defer f.stop()
					time.Sleep(3 * time.Second)
					f.pairs(size.cut, f.network.Cut)
					time.Sleep(cut)
					f.pairs(size.cut, f.network.Heal)
					healed, at := time.Now(), f.meshes[0].clock.Now()
					for f.apart(size.cut, at) > 0 && time.Since(healed) < time.Minute {
						time.Sleep(10 * time.Millisecond)
					}
					t.Log("after", time.Since(healed))
					require.LessOrEqual(t, time.Since(healed), reconnectBound)
				})
			})
		}
	}
}
