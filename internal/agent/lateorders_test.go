package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership/grants"
	"hemlockquay/internal/ring"
	"hemlockquay/internal/standin"
	"hemlockquay/internal/standin/link"
	"hemlockquay/internal/standin/link/linktest"
	"hemlockquay/internal/target"
)

// groupSlice is the slice of the scenario's group.
var groupSlice = keyspace.Slice{First: 0, Last: 99}

// fencedTarget is a target with a simulated clock, which differs from the agent's by clockOffset.
type fencedTarget struct {
	*link.Link
	name        string
	clockOffset time.Duration
	// countFromArrival makes the target count a grant's validity from its arrival, which the
	// protocol forbids. It shows that the scenario can detect two owners.
	countFromArrival bool

	mu     sync.Mutex
	now    time.Duration
	fences *standin.Fences
	// grants counts the grants received.
	grants int
}

func newFencedTarget(t *testing.T, name string, clockOffset time.Duration) *fencedTarget {
	ft := &fencedTarget{name: name, clockOffset: clockOffset, fences: standin.NewFences(name + "-1")}
	ft.Link = linktest.Serve(t, ft)
	return ft
}

func (ft *fencedTarget) clock() int64 { return int64(ft.now + ft.clockOffset) }

// ServeHTTP implements http.Handler.
func (ft *fencedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ft.mu.Lock()
	defer ft.mu.Unlock()
	if g := &o.Groups[0]; g.Until > 0 {
		ft.grants++
		if ft.countFromArrival {
			g.Until = ft.clock() + int64(defaultParams().GrantTTL)
		}
	}
	_ = json.NewEncoder(w).Encode(ft.fences.Apply(&o, ft.clock(), func(string, []keyspace.Slice) int { return 0 }))
}

func (ft *fencedTarget) setTime(now time.Duration) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.now = now
}

func (ft *fencedTarget) grantsReceived() int {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return ft.grants
}

func (ft *fencedTarget) servesSlice() bool {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return ft.fences.Serves("s", groupSlice.First, ft.clock())
}

// defaultParams are the default timings.
func defaultParams() grants.Params {
	return grants.Params{
		VM: "vm1", Incarnation: "vm1-1", Started: 1, ChecksFences: true,
		RenewInterval: 75 * time.Millisecond, GrantTTL: 400 * time.Millisecond, AuthorityTTL: 160 * time.Millisecond,
		ClockMargin: 10 * time.Millisecond, FastPathTimeout: 25 * time.Millisecond, ReleaseTimeout: time.Second, UnservedTimeout: unservedTimeout,
	}
}

// partitionScenario is an agent that grants one group, with three targets, over real connections.
type partitionScenario struct {
	t                       *testing.T
	grantor                 *grantor
	group                   *grants.Group
	now                     time.Duration
	owner, standby, witness *fencedTarget
}

func newPartitionScenario(t *testing.T) *partitionScenario {
	ps := &partitionScenario{t: t, now: time.Hour}
	ps.owner, ps.standby, ps.witness = newFencedTarget(t, "owner", time.Minute), newFencedTarget(t, "standby", 0), newFencedTarget(t, "witness", time.Hour)
	ref := func(ft *fencedTarget) model.TargetRef {
		return model.TargetRef{Name: ft.name, Incarnation: ft.name + "-1"}
	}
	ps.group = grants.New(defaultParams(), model.Group{
		Epoch: 1, Grantors: []string{"vm1"}, Author: "planner-1", Slices: []keyspace.Slice{groupSlice},
		Owner: ref(ps.owner), Standby: ref(ps.standby), Witness: ref(ps.witness),
	}, ps.now)
	ps.grantor = &grantor{
		timeout: time.Minute, commander: target.NewOrderClient(), log: &log.Logger{Level: log.PanicLevel},
		unansweredOrders: metrics.NewCounter(), inbox: ring.New[response]("grantor", inboxLength, ring.DropOldest, metrics.NewRegistry()),
	}
	t.Cleanup(ps.grantor.commander.Close)
	return ps
}

// advance advances the time of the agent and of all targets.
func (ps *partitionScenario) advance(d time.Duration) {
	ps.now += d
	for _, ft := range []*fencedTarget{ps.owner, ps.standby, ps.witness} {
		ft.setTime(ps.now)
	}
}

// orders returns the orders that the agent decides on now.
func (ps *partitionScenario) orders() []grants.Order {
	return ps.group.Tick(ps.now, grants.Observation{Live: func(string) bool { return true }})
}

// sendOrder sends one order as the grantor does, and handles its report if there is one.
func (ps *partitionScenario) sendOrder(ctx context.Context, o grants.Order) {
	addr := map[string]string{"owner": ps.owner.Addr(), "standby": ps.standby.Addr(), "witness": ps.witness.Addr()}[o.Target]
	b := &orderBatch{target: model.Target{Name: o.Target, Addr: addr}, groups: []uint64{0}, orders: []grants.Order{o}}
	ps.grantor.sendBatch(ctx, "s", b)
	select {
	case a := <-ps.grantor.inbox.Entries():
		ps.group.HandleReport(&o, groupReport(a.report, 0), ps.now)
	default:
	}
}

// renew runs one renewal.
func (ps *partitionScenario) renew() {
	ps.advance(defaultParams().RenewInterval)
	for _, o := range ps.orders() {
		ps.sendOrder(ps.t.Context(), o)
	}
}

// abandonRenewal partitions the owner and sends it a renewal that is cancelled once it is in
// flight.
func (ps *partitionScenario) abandonRenewal() {
	ps.owner.Cut()
	ps.advance(defaultParams().RenewInterval)
	for _, o := range ps.orders() {
		if o.Target != ps.owner.name {
			ps.sendOrder(ps.t.Context(), o)
			continue
		}
		require.NotZero(ps.t, o.Until, "the order must be a grant")
		ctx, cancel := context.WithCancel(ps.t.Context())
		go func() {
			ps.owner.AwaitHeld()
			cancel()
		}()
		ps.sendOrder(ctx, o)
	}
	require.EqualValues(ps.t, 1, ps.grantor.unansweredOrders.Count(), "the renewal must remain unanswered")
}

// run partitions the owner until the standby is granted the keys, and then heals the partition.
func (ps *partitionScenario) run() {
	for range 3 {
		ps.renew()
	}
	require.True(ps.t, ps.owner.servesSlice())
	before := ps.owner.grantsReceived()
	ps.abandonRenewal()
	for began := ps.now; !ps.standby.servesSlice(); {
		require.Less(ps.t, ps.now, began+3*defaultParams().GrantTTL, "the keys have no owner")
		ps.renew()
		require.False(ps.t, ps.owner.servesSlice() && ps.standby.servesSlice(), "two targets hold the keys during the partition")
	}
	ps.owner.AwaitEnded()
	ps.grantor.commander.Close()
	ps.owner.Heal()
	ps.owner.Drain()
	require.Equal(ps.t, before+1, ps.owner.grantsReceived(), "the abandoned renewal must arrive")
}

// Guards against two owners after a partition. The kernel goes on sending what was written to a
// closed connection, so a renewal that the grantor had abandoned arrived when the partition
// healed, and the target counted the grant's validity from the arrival. An agent's grant must end
// at a time of the target's own clock, computed from a reading that the target reported before
// the send, and the grantor waits for that time whether or not the order was answered. The
// renewal has therefore expired when it arrives.
func TestAbandonedGrantIsExpiredOnArrival(t *testing.T) {
	ps := newPartitionScenario(t)
	ps.run()
	require.True(t, ps.standby.servesSlice())
	require.False(t, ps.owner.servesSlice(), "two targets hold the keys")
	for range 3 {
		ps.renew()
		require.True(t, ps.standby.servesSlice())
		require.False(t, ps.owner.servesSlice(), "two targets hold the keys")
	}
}

// Shows that the scenario above detects two owners if a target counts the validity of a grant
// from its arrival.
func TestGrantCountedFromArrivalMakesTwoOwners(t *testing.T) {
	ps := newPartitionScenario(t)
	ps.owner.countFromArrival = true
	ps.run()
	require.True(t, ps.standby.servesSlice() && ps.owner.servesSlice())
}
