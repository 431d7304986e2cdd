package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/capacity"
	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

const slopeStartTime = 1796255323000000000

func slopeMember(i int) wire.Member {
	return wire.Member{
		VM: fmt.Sprintf("entry-vm-%05d", i), DataCentre: fmt.Sprintf("dc-%02d", i%15), Incarnation: fmt.Sprintf("entry-vm-%05d-%d", i, slopeStartTime),
		AgentAddr: "10.101.102.103:7001", DispatchAddr: "10.101.102.103:7002", EntryAddr: "10.101.102.103:7003", AdminAddr: "10.101.102.103:7004",
		Revision: 123456789, Held: 123456789, Holds: true,
	}
}

// slopeMembers returns an agent's members with n live peers.
func slopeMembers(n int) *members {
	m := newMembers(slopeMember(0), boottime.System{}, time.Hour, func() {})
	var vms []platform.VM
	for i := range n + 1 {
		member := slopeMember(i)
		vms = append(vms, platform.VM{Name: member.VM, DataCentre: member.DataCentre, AgentAddr: member.AgentAddr, State: platform.VMLive})
	}
	m.setList(vms)
	for i := range n {
		m.recordHeartbeat(slopeMember(i + 1))
	}
	return m
}

func slopeGrants(n int) []wire.Grant {
	var out []wire.Grant
	for i, s := range keyspace.Divide(n) {
		target := fmt.Sprintf("shelf-%05d", i/8)
		out = append(out, wire.Grant{
			Service: "shelf", Group: uint64(i), Slices: []keyspace.Slice{s},
			Target: model.TargetRef{Name: target, Incarnation: fmt.Sprintf("%s-%d", target, slopeStartTime)},
			Rank:   wire.Rank{Epoch: 17, Incarnation: slopeStartTime, Agent: "entry-vm-00001"},
		})
	}
	return out
}

func slopeRelay(peers, grants int) *relay {
	r := newRelay("entry-vm-00000-1")
	r.members, r.grants, r.config = slopeMembers(peers), newGrantTable(func() {}), newConfiguration(func() {})
	for _, g := range slopeGrants(grants) {
		g.Rank.Agent = slopeMember(int(g.Group)%peers + 1).VM
		p := r.members.peers[g.Rank.Agent]
		p.grants = append(p.grants, g)
	}
	return r
}

func encodedSize(b *testing.B, v any) float64 {
	var out bytes.Buffer
	enc := msgpack.NewEncoder(&out)
	enc.SetOmitEmpty(true)
	enc.UseCompactInts(true)
	require.NoError(b, enc.Encode(v))
	return float64(out.Len())
}

// BenchmarkSlopeBeatRound measures one round of heartbeats of an agent with n peers without the
// network: what it receives and checks. beat-B is the number of bytes in both directions with all
// peers.
func BenchmarkSlopeBeatRound(b *testing.B) {
	for _, n := range []int{8, 64, 512} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r := slopeRelay(n, n)
			r.members.changed = r.refreshMembers
			var senders []wire.Member
			for i := range n {
				senders = append(senders, slopeMember(i+1))
			}
			for b.Loop() {
				for i := range senders {
					var reply wire.BeatReply
					_ = r.Beat(&wire.BeatArgs{Member: senders[i], Source: r.incarnation}, &reply)
				}
				r.refreshMembers()
			}
			bytesPerPeer := encodedSize(b, &wire.BeatArgs{Member: senders[0], Source: r.incarnation, State: 1234}) + encodedSize(b, &wire.BeatReply{Member: senders[0], State: 1234})
			b.ReportMetric(float64(n)*bytesPerPeer, "beat-B")
		})
	}
}

// BenchmarkSlopeBeatCalls measures the CPU time of a heartbeat to each of n peers, on both sides
// and including the loopback network. This is the cost for an agent that sends heartbeats to n
// peers and receives theirs.
func BenchmarkSlopeBeatCalls(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r := slopeRelay(n, n)
			server, err := peer.Listen("127.0.0.1:0")
			require.NoError(b, err)
			defer server.Close()
			require.NoError(b, server.Register("Agent", r))
			go server.Serve()
			var clients []*peer.Client
			for range n {
				c := peer.NewClient(server.Addr(), 1)
				defer c.Close()
				clients = append(clients, c)
			}
			args := wire.BeatArgs{Member: slopeMember(1), Source: r.incarnation}
			before := cpuTime(b)
			for b.Loop() {
				var round errgroup.Group
				for _, c := range clients {
					round.Go(func() error { return c.Call(b.Context(), wire.MethodHeartbeat, &args, &wire.BeatReply{}) })
				}
				require.NoError(b, round.Wait())
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns")
		})
	}
}

func cpuTime(b *testing.B) time.Duration {
	var u unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSlopeRefreshGrants measures the cost of one changed grant of n for each agent. pull-B
// is what the agent then sends to each of its daemons.
func BenchmarkSlopeRefreshGrants(b *testing.B) {
	for _, n := range []int{128, 1024, 8192} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r := slopeRelay(8, n)
			retained := capacity.Retained(func() any { return slopeGrants(n) })
			// The last group is changed, so that the whole tables are compared.
			peerGrants := r.members.peers[slopeMember((n-1)%8+1).VM].grants
			for b.Loop() {
				peerGrants[len(peerGrants)-1].Rank.Epoch++
				r.refresh()
			}
			b.ReportMetric(encodedSize(b, &wire.PullReply{Grants: r.allGrants}), "pull-B")
			b.ReportMetric(retained, "heap-B")
		})
	}
}

// BenchmarkSlopeRefreshMembers measures the cost of one changed member of n.
func BenchmarkSlopeRefreshMembers(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r := slopeRelay(n, 8)
			retained := capacity.Retained(func() any { return slopeMembers(n) })
			for b.Loop() {
				r.members.self.Leaving = !r.members.self.Leaving
				r.refresh()
			}
			b.ReportMetric(encodedSize(b, &wire.PullReply{Members: r.liveMembers, Listed: r.listedPlaces}), "pull-B")
			b.ReportMetric(retained, "heap-B")
		})
	}
}

func slopeContracts(n int) []platform.Object {
	var out []platform.Object
	for i := range n {
		name := fmt.Sprintf("customer-%07d", i)
		spec, _ := json.Marshal(model.Contract{
			Customer: name, TokenSHA256: fmt.Sprintf("%064x", i),
			Services: []model.Allowance{{Service: "shelf", Rate: 300, Burst: 300, Concurrency: 30, Class: model.Interactive, Weight: 1}},
		})
		out = append(out, platform.Object{Kind: model.KindContract, Name: name, Version: uint64(i + 1), Writer: "hqctl/1796255323000000000/1", Spec: spec})
	}
	return out
}

// BenchmarkSlopeDelta measures a change of n contracts of 16,000: applied from a peer's delta,
// and sent on as a delta for a daemon. delta-B is the size of the message.
func BenchmarkSlopeDelta(b *testing.B) {
	for _, n := range []int{1, 16, 128, 512} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			objects := slopeContracts(16000)
			revision := uint64(len(objects))
			c := newConfiguration(func() {})
			require.NoError(b, c.replace(platform.Listing{Objects: objects, Revision: revision}))
			var reply wire.PullReply
			for b.Loop() {
				for i := range n {
					o := objects[i]
					o.Version = revision + uint64(i) + 1
					objects[i] = o
				}
				change := wire.PullReply{Ready: true, Revision: revision + uint64(n), Objects: objects[:n]}
				require.NoError(b, c.applyReply(revision, &change))
				reply = wire.PullReply{}
				c.changesSince(revision, isDaemonKind, &reply)
				revision += uint64(n)
			}
			require.Len(b, reply.Objects, n)
			b.ReportMetric(encodedSize(b, &reply), "delta-B")
		})
	}
}

// BenchmarkSlopeSnapshot measures a snapshot of n contracts for a daemon or peer that has no
// configuration.
func BenchmarkSlopeSnapshot(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			objects := slopeContracts(n)
			c := newConfiguration(func() {})
			require.NoError(b, c.replace(platform.Listing{Objects: objects, Revision: uint64(n)}))
			retained := capacity.Retained(func() any { return slopeContracts(n) })
			var reply wire.PullReply
			for b.Loop() {
				reply = wire.PullReply{}
				c.changesSince(0, isDaemonKind, &reply)
			}
			b.ReportMetric(encodedSize(b, &reply), "snapshot-B")
			b.ReportMetric(retained, "heap-B")
		})
	}
}

// BenchmarkSlopePlanLook measures the assigner's check, which each agent makes twice a second,
// with n objects of which none has changed.
func BenchmarkSlopePlanLook(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			a := assigner{config: newConfiguration(func() {})}
			require.NoError(b, a.config.replace(platform.Listing{Objects: slopeContracts(n), Revision: uint64(n)}))
			for b.Loop() {
				a.refreshDecoded()
			}
			require.Len(b, a.decoded.versions, n)
		})
	}
}

// BenchmarkSlopePlanChange measures the same check after one object has changed.
func BenchmarkSlopePlanChange(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			a := assigner{config: newConfiguration(func() {})}
			objects := slopeContracts(n)
			require.NoError(b, a.config.replace(platform.Listing{Objects: objects, Revision: uint64(n)}))
			for b.Loop() {
				o := objects[0]
				revision, _ := a.config.heldRevision()
				o.Version = revision + 1
				a.config.apply(platform.Event{Type: platform.EventPut, Object: o, Revision: o.Version})
				a.refreshDecoded()
			}
		})
	}
}

// BenchmarkSlopeForeignLook measures a tick of the grantor, of which each agent runs 67 a second,
// with n groups that name other VMs as grantors.
func BenchmarkSlopeForeignLook(b *testing.B) {
	for _, n := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			record := &model.Assignment{Service: "shelf"}
			for i, s := range keyspace.Divide(n) {
				record.Groups = append(record.Groups, model.Group{
					ID: uint64(i), Slices: []keyspace.Slice{s}, Epoch: 1, Author: "vm1-1", Grantors: []string{"vm1", "vm2", "vm3"},
					Owner: model.TargetRef{Name: "t1"}, Standby: model.TargetRef{Name: "t2"}, Witness: model.TargetRef{Name: "t3"},
				})
			}
			gr := &grantor{params: grants.Params{VM: "vm9", Incarnation: "vm9-1", RenewInterval: time.Second}, clock: boottime.System{}, table: newGrantTable(func() {})}
			newService := func() *serviceState {
				svc := &serviceState{service: &model.Service{Name: "shelf"}, record: record, groups: make(map[uint64]*grants.Group)}
				gr.updateGroups(svc)
				return svc
			}
			retained := capacity.Retained(func() any { return newService() })
			svc := newService()
			observe := func(string, uint64) grants.Observation {
				return grants.Observation{Live: func(string) bool { return true }, Served: true}
			}
			for b.Loop() {
				if len(gr.collectOrders(svc, gr.clock.Now(), observe)) > 0 {
					b.Fatal("orders for groups that name other grantors")
				}
				gr.proposals(svc, gr.clock.Now(), observe)
			}
			b.ReportMetric(retained, "heap-B")
		})
	}
}

// BenchmarkSlopeSnapshotRecord measures a snapshot for a daemon that has no configuration, with a
// record of n groups in the store.
func BenchmarkSlopeSnapshotRecord(b *testing.B) {
	for _, n := range []int{256, 1024, 2048} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			record := &model.Assignment{Service: "shelf", NextGroup: uint64(n)}
			for i, s := range keyspace.Divide(n) {
				record.Groups = append(record.Groups, model.Group{ID: uint64(i), Slices: []keyspace.Slice{s}, Owner: model.TargetRef{Name: "t1"}, Grantors: []string{"vm1"}})
			}
			spec, err := json.Marshal(record)
			require.NoError(b, err)
			c := newConfiguration(func() {})
			o := platform.Object{Kind: model.KindAssignment, Name: "shelf", Version: 1, Spec: spec}
			require.NoError(b, c.replace(platform.Listing{Objects: []platform.Object{o}, Revision: 1}))
			var reply wire.PullReply
			for b.Loop() {
				reply = wire.PullReply{}
				c.changesSince(0, isDaemonKind, &reply)
			}
			b.ReportMetric(encodedSize(b, &reply), "snapshot-B")
		})
	}
}
