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

// heldKeys is the slice of the group in heldPlay.
var heldKeys = keyspace.Slice{First: 0, Last: 99}

// holder is a target whose clock is the test's, ahead by an offset.
type holder struct {
	*link.Link
	name  string
	ahead time.Duration
	// fromArrival makes it count a grant's life from its arrival, which the protocol
	// rules out: it shows that the play can find two owners.
	fromArrival bool

	mu     sync.Mutex
	now    time.Duration
	fences *standin.Fences
	// grants counts those that arrived.
	grants int
}

func newHolder(t *testing.T, name string, ahead time.Duration) *holder {
	h := &holder{name: name, ahead: ahead, fences: standin.NewFences(name + "-1")}
	h.Link = linktest.Serve(t, h)
	return h
}

func (h *holder) clock() int64 { return int64(h.now + h.ahead) }

// ServeHTTP implements http.Handler.
func (h *holder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := &o.Groups[0]; g.Until > 0 {
		h.grants++
		if h.fromArrival {
			g.Until = h.clock() + int64(heldParams().GrantTTL)
		}
	}
	_ = json.NewEncoder(w).Encode(h.fences.Apply(&o, h.clock(), func(string, []keyspace.Slice) int { return 0 }))
}

func (h *holder) at(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = now
}

func (h *holder) arrived() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grants
}

func (h *holder) holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fences.Serves("s", heldKeys.First, h.clock())
}

// heldParams are the default times.
func heldParams() grants.Params {
	return grants.Params{
		VM: "vm1", Incarnation: "vm1-1", Started: 1, ChecksFences: true,
		RenewInterval: 75 * time.Millisecond, GrantTTL: 400 * time.Millisecond, AuthorityTTL: 160 * time.Millisecond,
		ClockMargin: 10 * time.Millisecond, FastPathTimeout: 25 * time.Millisecond, ReleaseTimeout: time.Second, UnservedTimeout: unserved,
	}
}

// heldPlay is an agent that grants one group of three targets over real connections.
type heldPlay struct {
	t                       *testing.T
	duty                    *grantorDuty
	group                   *grants.Group
	now                     time.Duration
	owner, standby, witness *holder
}

func newHeldPlay(t *testing.T) *heldPlay {
	p := &heldPlay{t: t, now: time.Hour}
	p.owner, p.standby, p.witness = newHolder(t, "owner", time.Minute), newHolder(t, "standby", 0), newHolder(t, "witness", time.Hour)
	ref := func(h *holder) model.TargetRef { return model.TargetRef{Name: h.name, Incarnation: h.name + "-1"} }
	p.group = grants.New(heldParams(), model.Group{
		Epoch: 1, Grantors: []string{"vm1"}, Author: "planner-1", Slices: []keyspace.Slice{heldKeys},
		Owner: ref(p.owner), Standby: ref(p.standby), Witness: ref(p.witness),
	}, p.now)
	p.duty = &grantorDuty{
		timeout: time.Minute, commander: target.NewOrderClient(), log: &log.Logger{Level: log.PanicLevel},
		errors: metrics.NewCounter(), inbox: ring.New[answer]("grantor", grantorRing, ring.DropOldest, metrics.NewRegistry()),
	}
	t.Cleanup(p.duty.commander.Close)
	return p
}

// pass lets time go on at all.
func (p *heldPlay) pass(d time.Duration) {
	p.now += d
	for _, h := range []*holder{p.owner, p.standby, p.witness} {
		h.at(p.now)
	}
}

// orders lets the agent decide.
func (p *heldPlay) orders() []grants.Order {
	return p.group.Tick(p.now, grants.Observation{Live: func(string) bool { return true }})
}

// carry sends one order as the duty does, and takes its report in, if one comes.
func (p *heldPlay) carry(ctx context.Context, o grants.Order) {
	addr := map[string]string{"owner": p.owner.Addr(), "standby": p.standby.Addr(), "witness": p.witness.Addr()}[o.Target]
	b := &batch{target: model.Target{Name: o.Target, Addr: addr}, groups: []uint64{0}, orders: []grants.Order{o}}
	p.duty.carry(ctx, "s", b)
	select {
	case a := <-p.duty.inbox.Entries():
		p.group.HandleReport(&o, reportOf(a.report, 0), p.now)
	default:
	}
}

// beat plays a renewal.
func (p *heldPlay) beat() {
	p.pass(heldParams().RenewInterval)
	for _, o := range p.orders() {
		p.carry(p.t.Context(), o)
	}
}

// giveUp cuts the owner off and sends it a renewal, which is given up once it is in flight.
func (p *heldPlay) giveUp() {
	p.owner.Cut()
	p.pass(heldParams().RenewInterval)
	for _, o := range p.orders() {
		if o.Target != p.owner.name {
			p.carry(p.t.Context(), o)
			continue
		}
		require.NotZero(p.t, o.Until, "it is a grant")
		ctx, cancel := context.WithCancel(p.t.Context())
		go func() {
			p.owner.AwaitHeld()
			cancel()
		}()
		p.carry(ctx, o)
	}
	require.EqualValues(p.t, 1, p.duty.errors.Count(), "it had no answer")
}

// run plays a cut of the owner until the standby holds the keys, and its end.
func (p *heldPlay) run() {
	for range 3 {
		p.beat()
	}
	require.True(p.t, p.owner.holds())
	before := p.owner.arrived()
	p.giveUp()
	for began := p.now; !p.standby.holds(); {
		require.Less(p.t, p.now, began+3*heldParams().GrantTTL, "the keys have no owner")
		p.beat()
		require.False(p.t, p.owner.holds() && p.standby.holds(), "two targets hold the keys in the cut")
	}
	p.owner.AwaitEnded()
	p.duty.commander.Close()
	p.owner.Heal()
	p.owner.Drain()
	require.Equal(p.t, before+1, p.owner.arrived(), "the renewal that was given up arrives")
}

// Two targets held the same keys, after a cut of their owner had ended: a renewal that the
// grantor had given up arrived, since the system goes on sending what was written to a closed
// connection, and the hold was counted from its arrival. Agents' grants end at a time of the
// target's own clock that the target showed before the send, and the grantor waits that time
// out whether or not the order was answered: the renewal is out when it arrives.
func TestGrantsThatWereGivenUpAreOutWhenTheyArrive(t *testing.T) {
	p := newHeldPlay(t)
	p.run()
	require.True(t, p.standby.holds())
	require.False(t, p.owner.holds(), "two targets hold the keys")
	for range 3 {
		p.beat()
		require.True(t, p.standby.holds())
		require.False(t, p.owner.holds(), "two targets hold the keys")
	}
}

// The play of the test above finds two owners where the end of a grant is not what the
// grantor named: a target that counts its life from the arrival.
func TestGivenUpGrantsThatCountFromTheirArrivalMakeTwoOwners(t *testing.T) {
	p := newHeldPlay(t)
	p.owner.fromArrival = true
	p.run()
	require.True(t, p.standby.holds() && p.owner.holds())
}
