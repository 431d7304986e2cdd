package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/target"
)

// meanWork and capacity describe a pool of 10 targets with 2 slots each.
const (
	meanWork = 8 * time.Millisecond
	capacity = 20 / 0.008
)

// overload offers load times the capacity from two customers. It returns the number of
// answers and the 99th percentiles of latencies and refusals, in 4 s after the first second.
func overload(t *testing.T, load float64) (answered int, p99, refused99 time.Duration) {
	withTestbed(t, 10, false, func(b *testbed) {
		for _, customer := range []string{"listeners", "walkers"} {
			b.offer(stream{customer: customer, rate: load * capacity / 2, lasts: 5 * time.Second})
		}
		time.Sleep(time.Second)
		b.mu.Lock()
		clear(b.tallies)
		b.mu.Unlock()
		time.Sleep(4 * time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		var latencies, refusals []time.Duration
		for _, y := range b.tallies {
			answered += y.answered
			latencies = append(latencies, y.latencies...)
			refusals = append(refusals, y.refusals...)
		}
		p99, refused99 = quantile(latencies, 0.99), quantile(refusals, 0.99)
	})
	return answered, p99, refused99
}

// Up to three times as many requests arrive as the pool can serve, for a long time. Requests
// that are served must be served about as quickly as at 90% load, all slots must do useful
// work, and the other requests must be refused at once.
func TestSustainedOverload(t *testing.T) {
	_, calm, _ := overload(t, 0.9)
	for _, load := range []float64{1.5, 3} {
		answered, p99, refused := overload(t, load)
		t.Logf("load %.1f: answered %d, p99 %v (at 0.9: %v), refusals p99 %v", load, answered, p99, calm, refused)
		require.GreaterOrEqual(t, float64(answered), 0.95*capacity*4)
		require.LessOrEqual(t, p99, 2*calm)
		require.LessOrEqual(t, refused, 5*time.Millisecond)
	}
}

// A thousand requests arrive at once at an idle pool. All can be served before their
// deadlines, so none may be refused.
func TestBurstIsServed(t *testing.T) {
	withTestbed(t, 10, false, func(b *testbed) {
		b.burst(stream{customer: "listeners", deadline: 2 * time.Second}, 1000)
		b.callers.Wait()
		require.Equal(t, 1000, b.tallies["listeners"].answered)
	})
}

// One customer sends ten times its share of the pool, and two others stay below theirs. Less
// than 1% of the others' requests may be refused, and their answers must stay quick.
func TestHotCustomerDoesNotAffectOthers(t *testing.T) {
	withTestbed(t, 10, false, func(b *testbed) {
		b.offer(stream{customer: "hot", rate: 10 * capacity / 3, lasts: 3 * time.Second})
		b.offer(stream{customer: "calm", rate: 0.25 * capacity, lasts: 3 * time.Second})
		b.offer(stream{customer: "quiet", rate: 0.25 * capacity, lasts: 3 * time.Second})
		b.callers.Wait()
		for _, customer := range []string{"calm", "quiet"} {
			y := b.tallies[customer]
			require.Less(t, float64(y.refused+y.unknown), 0.01*float64(y.sent()), customer)
			require.Less(t, quantile(y.latencies, 0.99), 150*time.Millisecond, customer)
		}
	})
}

// All requests of one customer are for one hot key, whose owner has two slots. Another
// customer's keys with the same owner must still be served.
func TestHotKey(t *testing.T) {
	withTestbed(t, 1, true, func(b *testbed) {
		b.offer(stream{customer: "hot", rate: 5 * capacity / 10, lasts: 4 * time.Second})
		b.offer(stream{customer: "calm", rate: 0.3 * capacity / 10, lasts: 4 * time.Second})
		b.callers.Wait()
		calm, hot := b.tallies["calm"], b.tallies["hot"]
		require.Less(t, float64(calm.refused), 0.01*float64(calm.sent()))
		require.Greater(t, float64(hot.answered+calm.answered), 0.93*4*capacity/10)
	})
}

// One target of ten is ten times slower, at 60% load. The 99th percentile of the pool's
// latency may grow by a factor of 1.5 at most.
func TestSlowTarget(t *testing.T) {
	p99 := func(factor float64) (d time.Duration) {
		withTestbed(t, 10, false, func(b *testbed) {
			b.set("master-1", func(f *fakeTarget) { f.factor = factor })
			b.offer(stream{customer: "listeners", rate: 0.6 * capacity, lasts: 10 * time.Second})
			b.callers.Wait()
			d = quantile(b.tallies["listeners"].latencies, 0.99)
		})
		return d
	}
	even, slow := p99(1), p99(10)
	t.Logf("p99 %v, with a slow target %v", even, slow)
	require.LessOrEqual(t, slow, even*3/2)
}

// All targets become ten times slower: the only owner of the keys, or a whole pool. There is
// no better target to wait for, so the slots must stay busy.
func TestSlowTargetsAreUsedIfAllAreSlow(t *testing.T) {
	for _, targets := range []int{1, 3} {
		withTestbed(t, targets, targets == 1, func(b *testbed) {
			rate := float64(targets) * capacity / 10
			b.offer(stream{customer: "listeners", rate: 0.05 * rate, lasts: 10 * time.Second})
			time.Sleep(2 * time.Second)
			for name := range b.targets {
				b.set(name, func(f *fakeTarget) { f.factor = 10 })
			}
			b.callers.Wait()
			y := b.tallies["listeners"]
			require.Greater(t, float64(y.answered), 0.99*float64(y.sent()))
		})
	}
}

// A slow target recovers. It is probed, and must then get its share of requests again.
func TestSlowTargetRecovers(t *testing.T) {
	withTestbed(t, 4, false, func(b *testbed) {
		b.set("master-1", func(f *fakeTarget) { f.factor = 10 })
		b.offer(stream{customer: "listeners", rate: 0.25 * capacity, lasts: 20 * time.Second})
		time.Sleep(5 * time.Second)
		b.set("master-1", func(f *fakeTarget) { f.factor, f.served = 1, 0 })
		b.set("master-2", func(f *fakeTarget) { f.served = 0 })
		b.callers.Wait()
		require.Greater(t, float64(b.targets["master-1"].served), 0.5*float64(b.targets["master-2"].served))
	})
}

// A slow target wrongly reports that it is idle and healthy. A choice by such reports would
// send all requests to it.
func TestWrongLoadReportAttractsNoLoad(t *testing.T) {
	withTestbed(t, 10, false, func(b *testbed) {
		for name, f := range b.targets {
			f.load.Running = 2
			if name == "master-1" {
				f.load.Running, f.factor, f.health = 0, 10, target.Health{Healthy: true}
			}
		}
		b.offer(stream{customer: "listeners", rate: 0.5 * capacity, lasts: 10 * time.Second})
		b.callers.Wait()
		require.Less(t, b.targets["master-1"].served, b.targets["master-2"].served/5)
	})
}

// All targets report that they are leaving, though they serve. Wrong reports must not leave
// the pool without targets.
func TestPoolServesIfAllTargetsReportLeaving(t *testing.T) {
	withTestbed(t, 3, false, func(b *testbed) {
		for _, f := range b.targets {
			f.health.Leaving = true
		}
		b.offer(stream{customer: "listeners", rate: 100, lasts: 4 * time.Second})
		b.callers.Wait()
		require.Zero(t, b.tallies["listeners"].refused)
	})
}

// The exports of one customer take a hundred times as long as the requests of another, and
// would fill all slots of the pool. The other customer must still be served.
func TestLongJobsDoNotFillAllSlots(t *testing.T) {
	withTestbed(t, 5, false, func(b *testbed) {
		b.offer(stream{customer: "listeners", rate: 150, lasts: 10 * time.Second})
		b.offer(stream{customer: "listeners2", path: "export", rate: 20, work: 800 * time.Millisecond, deadline: 20 * time.Second, lasts: 10 * time.Second})
		b.callers.Wait()
		y := b.tallies["listeners"]
		require.Less(t, quantile(y.latencies, 0.95), 250*time.Millisecond)
		require.Less(t, float64(y.refused), 0.02*float64(y.sent()))
	})
}

// Background requests arrive beside a full interactive load. They must get their floor of 20%
// of the slots.
func TestBackgroundFloorBesideFullLoad(t *testing.T) {
	withTestbed(t, 10, false, func(b *testbed) {
		b.offer(stream{customer: "ci", rate: 1.5 * capacity, lasts: 5 * time.Second})
		b.burst(stream{customer: "audit", class: model.Background, deadline: 60 * time.Second}, 900)
		b.callers.Wait()
		audit := b.tallies["audit"]
		require.Equal(t, 900, audit.answered)
		// 900 requests of 8 ms on a fifth of 20 slots take 1.8 s.
		require.Less(t, quantile(audit.latencies, 1), 2500*time.Millisecond)
	})
}

// All targets are down for 700 ms, and then callers reconnect at once. While the targets refuse
// connections there must be few attempts, and afterwards the pool must serve again at once.
func TestMassReconnect(t *testing.T) {
	withTestbed(t, 10, false, func(b *testbed) {
		b.offer(stream{customer: "listeners", rate: 0.3 * capacity, lasts: 4 * time.Second, idempotent: true})
		time.Sleep(time.Second)
		down := func(down bool) {
			for name := range b.targets {
				b.set(name, func(f *fakeTarget) { f.down = down })
			}
		}
		down(true)
		sends := b.sent()
		time.Sleep(700 * time.Millisecond)
		require.Less(t, b.sent()-sends, 200)
		down(false)
		b.burst(stream{customer: "returning", deadline: 2 * time.Second}, 400)
		b.callers.Wait()
		y := b.tallies["listeners"]
		require.Greater(t, float64(y.answered), 0.95*float64(y.sent()))
		require.Greater(t, b.tallies["returning"].answered, 395)
	})
}

// Three of ten answers are lost. Requests must be repeated, but this may add at most a tenth to
// the load of the targets.
func TestRetryAmplification(t *testing.T) {
	withTestbed(t, 10, false, func(b *testbed) {
		for _, f := range b.targets {
			f.loseShare = 0.3
		}
		b.offer(stream{customer: "listeners", rate: 0.6 * capacity, lasts: 5 * time.Second, idempotent: true})
		b.callers.Wait()
		fresh := b.tallies["listeners"].sent()
		require.Less(t, float64(b.sends), 1.1*float64(fresh))
		require.Greater(t, float64(b.sends), 1.08*float64(fresh))
	})
}
