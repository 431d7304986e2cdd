package shares

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hemlockquay/internal/decide/admission"
)

// The account and contract used by the fleet tests.
var (
	testAccount  = Account{Customer: "studio", Service: "booth"}
	testContract = admission.Share{Rate: 40, Burst: 12, Concurrency: 10}
)

const testMaxDuration = 3 * time.Second

// node is the entry of one VM.
type node struct {
	name        string
	ledger      *Ledger
	gate        *admission.Gate
	incarnation int64
	seq         uint64
	want        Units
	running     []time.Duration
	list        []string
	partitioned bool
}

// message is an ask or an answer in flight.
type message struct {
	from, to    string
	ask         Ask
	answer      *Answer
	asked       time.Duration
	incarnation int64
}

// fleet is a set of entries, the network between them and the platform's list.
type fleet struct {
	t        *rapid.T
	now      time.Duration
	nodes    []*node
	inFlight []message
	listed   []string
	admitted []time.Duration
	restarts int
	// warm is set if every entry had a base at the start.
	warm bool
}

func (f *fleet) start(n *node) {
	n.incarnation++
	n.ledger = New(n.name, n.incarnation, f.now)
	n.gate = admission.New()
	n.running, n.seq, n.list = nil, 0, nil
}

func (f *fleet) wallTime() time.Time { return time.Unix(1000, 0).Add(f.now) }

func fractionOf(u Units, of float64) float64 { return float64(u) / float64(Whole) * of }

// refresh ends finished requests, sets the ledger's demand and applies the share to the gate.
func (f *fleet) refresh(n *node) {
	for len(n.running) > 0 && n.running[0] <= f.now {
		n.running = n.running[1:]
		n.gate.Done(time.Second)
	}
	busy := Units(math.Ceil(float64(len(n.running)) / testContract.Concurrency * float64(Whole)))
	n.ledger.SetDemand(testAccount, Demand{Want: n.want, InUse: busy, Reserve: Whole / 16, MaxDuration: testMaxDuration}, f.now)
	rate, concurrency := n.ledger.Share(testAccount, f.now)
	n.gate.Set(admission.Share{
		Rate:        fractionOf(rate, testContract.Rate),
		Burst:       fractionOf(rate, testContract.Burst),
		Concurrency: fractionOf(concurrency, testContract.Concurrency),
	}, f.wallTime())
}

func (f *fleet) offer(n *node, count int) {
	for range count {
		f.refresh(n)
		if n.gate.Admit(f.wallTime()).OK {
			f.admitted = append(f.admitted, f.now)
			n.running = append(n.running, f.now+time.Duration(rapid.IntRange(1, int(testMaxDuration/time.Millisecond)).Draw(f.t, "work"))*time.Millisecond)
			slices.Sort(n.running)
		}
	}
}

func (f *fleet) node(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (f *fleet) askAll(n *node) {
	f.refresh(n)
	for _, peer := range f.nodes {
		if peer == n {
			continue
		}
		n.seq++
		f.inFlight = append(f.inFlight, message{from: n.name, to: peer.name, ask: n.ledger.Ask(peer.name, n.seq, f.now), asked: f.now, incarnation: n.incarnation})
	}
}

// deliver delivers one message, or drops it if either end is partitioned.
func (f *fleet) deliver(i int) {
	m := f.inFlight[i]
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	to, from := f.node(m.to), f.node(m.from)
	if to == nil || from == nil || to.partitioned || from.partitioned {
		return
	}
	f.refresh(to)
	switch {
	case m.answer == nil:
		answer := to.ledger.HandleAsk(m.ask, f.now)
		f.inFlight = append(f.inFlight, message{from: m.to, to: m.from, ask: m.ask, answer: &answer, asked: m.asked, incarnation: m.incarnation})
	case to.incarnation == m.incarnation:
		to.ledger.HandleAnswer(m.ask, *m.answer, m.asked, f.now)
	}
	f.refresh(to)
}

func (f *fleet) check() {
	var rate Units
	running := 0
	for _, n := range f.nodes {
		f.refresh(n)
		r, _ := n.ledger.Share(testAccount, f.now)
		rate += r
		running += len(n.running)
	}
	require.LessOrEqual(f.t, rate, Whole, "shares of rate and burst")
	require.LessOrEqual(f.t, running, int(testContract.Concurrency), "requests in flight")
}

func (f *fleet) checkWindows() {
	for i := range f.admitted {
		for j := i; j < len(f.admitted); j++ {
			window := (f.admitted[j] - f.admitted[i]).Seconds()
			require.LessOrEqual(f.t, float64(j-i+1), testContract.Burst+testContract.Rate*window+0.01, "admitted in %v s", window)
		}
	}
}

func (f *fleet) pick() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "node")] }

func (f *fleet) step() {
	n := f.pick()
	switch rapid.IntRange(0, 19).Draw(f.t, "action") {
	case 0, 1, 2:
		f.now += time.Duration(rapid.IntRange(1, 400).Draw(f.t, "ms")) * time.Millisecond
	case 3:
		f.now += time.Duration(rapid.IntRange(1, 12).Draw(f.t, "s")) * time.Second
	case 4, 5, 6:
		f.offer(n, rapid.IntRange(1, 15).Draw(f.t, "offered"))
	case 7, 8, 9:
		f.askAll(n)
	case 10, 11, 12, 13, 14:
		for k := rapid.IntRange(1, 8).Draw(f.t, "deliveries"); k > 0 && len(f.inFlight) > 0; k-- {
			f.deliver(rapid.IntRange(0, len(f.inFlight)-1).Draw(f.t, "message"))
		}
	case 15:
		n.want = Units(rapid.IntRange(0, 100).Draw(f.t, "want")) * (Whole / 100)
	case 16:
		n.partitioned = !n.partitioned
	case 17:
		// The package comment excludes the case in which every reachable entry was
		// restarted recently, one is partitioned and VMs were added. At most two restarts
		// among four entries with a base, or no added VM, keep the test out of it.
		if !f.warm || f.restarts < 2 {
			f.restarts++
			f.start(n)
		}
	case 18:
		if !n.partitioned {
			n.list = slices.Clone(f.listed)
			n.ledger.SetVMs(n.list, f.now)
		}
	case 19:
		if f.warm {
			f.join()
		}
	}
	n.ledger.Expire(f.now)
}

// join adds a VM to the platform's list and starts its entry, up to six VMs.
func (f *fleet) join() {
	if len(f.nodes) == 6 {
		return
	}
	n := &node{name: fmt.Sprintf("vm%d", len(f.nodes)+1)}
	f.nodes = append(f.nodes, n)
	f.listed = append(f.listed, n.name)
	f.start(n)
}

// exchangeFor runs rounds of asks and answers among all entries for the time d, without losses.
func (f *fleet) exchangeFor(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += RenewInterval {
		for _, n := range f.nodes {
			n.ledger.SetVMs(f.listed, f.now)
			f.askAll(n)
		}
		for len(f.inFlight) > 0 {
			f.deliver(0)
		}
	}
}

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{t: t}
	for range n {
		f.join()
	}
	return f
}

// A customer sends through all entries at once while entries are partitioned, restarted
// and added, and messages are lost or delayed by seconds. Guards against share that is
// counted twice: the customer would get more than its contract, and others less.
func TestSharesNeverExceedTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(4, 5).Draw(t, "entries"))
		if rapid.Bool().Draw(t, "warm") {
			f.exchangeFor(2 * time.Second)
			f.warm = true
		}
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			f.step()
			f.check()
		}
		f.checkWindows()
	})
}

// All demand of a customer arrives at one entry: within two seconds the entry holds most of
// the contract. When it is partitioned, it falls back to the limit divided by the number of
// VMs, and the others get back what they have lent.
func TestShareFollowsDemandAndFallsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 4)
		hot, cold := f.nodes[0], f.nodes[1]
		f.exchangeFor(time.Second)
		hot.want = Whole
		f.exchangeFor(2 * time.Second)
		rate, _ := hot.ledger.Share(testAccount, f.now)
		require.Greater(t, rate, Whole*7/10, "the share follows the demand")

		hot.partitioned = true
		cold.want = Whole
		f.exchangeFor(testMaxDuration + 3*time.Second)
		rate, _ = hot.ledger.Share(testAccount, f.now)
		require.Equal(t, Whole/4, rate, "partitioned: limit / number of VMs")
		rate, _ = cold.ledger.Share(testAccount, f.now)
		require.Greater(t, rate, Whole/2)
		f.check()
	})
}

// Two entries that both want the whole contract get about equal shares.
func TestCompetingEntriesShareEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 4)
		f.exchangeFor(time.Second)
		f.nodes[0].want = Whole
		f.exchangeFor(2 * time.Second)
		f.nodes[1].want = Whole
		f.exchangeFor(4 * time.Second)
		a, _ := f.nodes[0].ledger.Share(testAccount, f.now)
		b, _ := f.nodes[1].ledger.Share(testAccount, f.now)
		require.InEpsilon(t, float64(a), float64(b), 0.2)
		require.Greater(t, a+b, Whole*8/10)
	})
}

// Found by TestSharesNeverExceedTheContract. An entry that is partitioned from the
// platform learns of a new VM from that VM's messages and confirms that it counts it.
// Guards against removing the VM after holdDown because the stale list does not contain it:
// the entry's base would grow while the new VM has one, and both would admit too much.
func TestVMMissingFromStaleListIsNotRemoved(t *testing.T) {
	b := New("vm1", 1, 0)
	b.SetVMs([]string{"vm1", "vm2"}, 0)
	answer := b.HandleAsk(Ask{From: "vm3", Incarnation: 1, Seq: 1, Counted: []string{"vm1", "vm2", "vm3"}}, time.Second)
	require.True(t, answer.Confirmed)
	b.SetVMs([]string{"vm1", "vm2"}, 2*holdDown)
	b.Expire(2 * holdDown)
	require.Contains(t, b.members.countedVMs(), "vm3")
	b.SetVMs([]string{"vm1", "vm2", "vm3"}, 2*holdDown)
	b.SetVMs([]string{"vm1", "vm2"}, 2*holdDown)
	b.Expire(2 * holdDown)
	require.NotContains(t, b.members.countedVMs(), "vm3", "the platform no longer lists it")
}

// A lender restarts while a borrower's requests run on its loan. The new incarnation does
// not know of the loan and would use the same share at once, so the borrower drops the loan
// and confirms only when its requests in flight fit without it.
func TestRestartedLenderWaitsForItsBorrowers(t *testing.T) {
	b := New("vm1", 1, 0)
	b.SetVMs([]string{"vm1", "vm2"}, 0)
	use := Demand{Want: Whole, InUse: 0, MaxDuration: time.Minute}
	b.SetDemand(testAccount, use, 0)
	ask := b.Ask("vm2", 1, 0)
	loan := Answer{From: "vm2", Incarnation: 1, Confirmed: true, Based: true, Loans: []Loan{{testAccount, Whole / 4}}}
	b.HandleAnswer(ask, loan, 0, 0)
	rate, _ := b.Share(testAccount, 0)
	require.Equal(t, Whole*3/4, rate)

	use.InUse = Whole * 3 / 4
	b.SetDemand(testAccount, use, 0)
	hello := Ask{From: "vm2", Incarnation: 2, Seq: 1, Counted: []string{"vm1", "vm2"}}
	require.False(t, b.HandleAsk(hello, 0).Confirmed)
	rate, _ = b.Share(testAccount, 0)
	require.Equal(t, Whole/2, rate, "the loan of the earlier incarnation is dropped")

	use.InUse = Whole / 2
	b.SetDemand(testAccount, use, 0)
	hello.Seq++
	require.True(t, b.HandleAsk(hello, 0).Confirmed)
}

// Found by TestSharesNeverExceedTheContract. vm1 and vm3 have bases and are partitioned
// from the others, which are restarted or new; vm1 does not know of vm5. Guards against the
// three taking up bases as a majority: vm1's base is a fourth, the other four are fifths.
func TestMajorityOfRestartedEntriesIsNotEnough(t *testing.T) {
	b := New("vm2", 2, 0)
	b.SetVMs([]string{"vm1", "vm2", "vm3", "vm4", "vm5"}, 0)
	now := silenceTimeout + time.Second
	for i, peer := range []string{"vm4", "vm5"} {
		ask := b.Ask(peer, uint64(i+1), now)
		b.HandleAnswer(ask, Answer{From: peer, Incarnation: 1, Confirmed: true}, now, now)
	}
	rate, _ := b.Share(testAccount, now)
	require.Zero(t, rate)
	ask := b.Ask("vm3", 3, now)
	b.HandleAnswer(ask, Answer{From: "vm3", Incarnation: 2, Confirmed: true}, now, now)
	rate, _ = b.Share(testAccount, now)
	require.Equal(t, Whole/5, rate, "all VMs but one answer, and none has a base")
}
