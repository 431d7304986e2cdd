package lease

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

// No two targets may ever hold the same key while three VMs succeed each other as the grantor, targets
// restart without memory, VMs are suspended, links and the store are cut, and orders are lost, up to twelve
// seconds late, or carried out without an answer.
func TestNoKeyHasTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newRandomSimulation(t)
		sim.takeOver(0)
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			injectRandomFault(t, sim)
			sim.step()
		}
	})
}

// injectRandomFault draws at most one event and applies it.
func injectRandomFault(t *rapid.T, sim *simulation) {
	vm := rapid.IntRange(0, simVMs-1).Draw(t, "vm")
	target := rapid.IntRange(0, simTargets-1).Draw(t, "target")
	span := func(maxSeconds int) time.Duration {
		return time.Duration(rapid.IntRange(1, maxSeconds).Draw(t, "span")) * time.Second
	}
	switch rapid.IntRange(0, 99).Draw(t, "event") {
	case 0, 1:
		sim.takeOver(vm)
	case 2, 3, 4, 5, 6, 7:
		sim.moveSlice(vm, rapid.IntRange(0, simUnits-1).Draw(t, "slice"), target)
	case 8, 9:
		sim.restartTarget(target)
	case 10:
		sim.suspend(vm, span(20))
	case 11:
		sim.cutStore(vm, span(20))
	case 12, 13:
		sim.cutTarget(vm, target, span(10))
	case 14, 15:
		sim.readEpoch(vm)
	case 16, 17, 18:
		sim.splitSlice(vm, rapid.IntRange(0, simUnits-1).Draw(t, "slice"), rapid.IntRange(0, simUnits-2).Draw(t, "unit"))
	case 19, 20, 21, 22, 23, 24:
		sim.moveFromSilent(vm, target)
	case 25, 26, 27, 28:
		sim.moveToStandby(vm, rapid.IntRange(0, simUnits-1).Draw(t, "slice"))
	}
}

// Guards against refused requests while a successor's first grants are in flight.
func TestSuccessorPresumesThatOwnersServeUntilTheirGrantsExpire(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	r := Record{Service: "s", Epoch: 4, Slices: EvenSlices(4, []Owner{a, b})}
	last := NewRouting(r, 9, func(i int) SliceState {
		if i == 3 {
			return Unserved
		}
		return Served
	})
	r.Epoch = 5
	r.Slices[2].Owner, r.Slices[2].Previous = b, a
	now := time.Hour
	g := NewGrantor(r, simTiming, now, now)
	g.PresumeServed(last, now+time.Second)
	require.Equal(t, Served, g.State(0, now))
	require.Equal(t, Served, g.State(1, now))
	require.Equal(t, Moving, g.State(2, now), "moving")
	require.Equal(t, Moving, g.State(3, now), "was not served before")
	require.Equal(t, Moving, g.State(0, now+time.Second))

	g.MarkConfirmed(a)
	o := g.DueOrders(now)[0]
	g.HandleResult(o, Unanswered, "", now, now)
	require.Equal(t, Unserved, g.State(0, now), "an order failed")
	require.Equal(t, Served, g.State(1, now))
}

// After the loss of a grantor, its successor must grant all keys to their present owners at once, so that no
// key moves and no request waits.
func TestSuccessorGrantsPresentOwnersAtOnce(t *testing.T) {
	owners := []Owner{{ID: "a"}, {ID: "b"}}
	r := Record{Service: "s", Epoch: 7, Slices: EvenSlices(4, owners)}
	g := NewGrantor(r, simTiming, time.Hour, time.Hour)
	for _, o := range g.Unconfirmed() {
		g.MarkConfirmed(o)
	}
	due := g.DueOrders(time.Hour)
	require.Len(t, due, 4)
	for _, o := range due {
		require.Equal(t, Grant, o.Kind)
		require.Greater(t, o.Fence, uint64(7)<<epochShift)
	}
}

// A grantor that was suspended for longer than its authority must send nothing when it resumes: another
// one may have moved the keys.
func TestNoOrdersAfterAuthorityExpires(t *testing.T) {
	r := Record{Service: "s", Epoch: 1, Slices: EvenSlices(2, []Owner{{ID: "a"}})}
	g := NewGrantor(firstEpoch(r), simTiming, time.Hour, time.Hour)
	g.MarkConfirmed(Owner{ID: "a"})
	require.Len(t, g.DueOrders(time.Hour+Authority-1), 2)
	require.Empty(t, g.DueOrders(time.Hour+Authority))
	g.ConfirmEpoch(time.Hour + Authority)
	require.False(t, g.MayOrder(time.Hour+2*Authority))
}

// The keys of a lost owner must be granted to another target after its last grant has expired, and no later
// than a second after that.
func TestKeysOfLostOwnerAreGrantedAfterHoldExpires(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	g := NewGrantor(firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{a})}), simTiming, time.Hour, time.Hour)
	g.MarkConfirmed(a)
	g.MarkConfirmed(b)
	now := time.Hour
	for _, o := range g.DueOrders(now) {
		g.HandleResult(o, Done, "", now, now)
	}
	g.Commit(g.Plan(now, []Change{{Slice: 0, To: b}}), now)
	granted := time.Duration(0)
	for ; granted == 0; now += 50 * time.Millisecond {
		for _, o := range g.DueOrders(now) {
			if o.Kind == Grant {
				require.Equal(t, b, o.Target)
				granted = now
				continue
			}
			g.HandleResult(o, Unanswered, "", now, now)
		}
	}
	require.GreaterOrEqual(t, granted, time.Hour+simTiming.Hold)
	require.LessOrEqual(t, granted, time.Hour+simTiming.Hold+time.Second)
}

// Guards against hundreds of connections a second to an owner with many slices that is gone, caused by
// retrying each order on its own. One order at a time may be sent until one is answered, and requests for
// the keys are refused until then.
func TestUnresponsiveTargetGetsOneOrderAtATime(t *testing.T) {
	a := Owner{ID: "a"}
	g := NewGrantor(firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(100, []Owner{a})}), simTiming, time.Hour, time.Hour)
	g.MarkConfirmed(a)
	now := time.Hour
	for _, o := range g.DueOrders(now) {
		g.HandleResult(o, Done, "", now, now)
	}
	orders := 0
	for ; now < time.Hour+10*time.Second; now += 20 * time.Millisecond {
		g.MarkConfirmed(a)
		for _, o := range g.DueOrders(now) {
			orders++
			g.HandleResult(o, Unanswered, "", now, now)
		}
	}
	require.Less(t, orders, 100+20, "all orders in flight fail at first")
	require.Equal(t, Unserved, g.State(5, now))
	require.Greater(t, g.SilentFor(a, now), 9*time.Second)
	g.MarkConfirmed(a)
	now += maxRetryDelay
	probe := g.DueOrders(now)
	require.Len(t, probe, 1)
	g.HandleResult(probe[0], Done, "", now, now)
	require.Len(t, g.DueOrders(now), 99)
}

// A planned move must carry the state of the previous owner to the new one and raise the fence above that of
// the release.
func TestMoveReleasesThenGrantsWithHandover(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	g := NewGrantor(firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{a})}), simTiming, time.Hour, time.Hour)
	g.MarkConfirmed(a)
	g.MarkConfirmed(b)
	first := g.DueOrders(time.Hour)[0]
	g.HandleResult(first, Done, "", time.Hour, time.Hour)
	g.Commit(g.Plan(time.Hour, []Change{{Slice: 0, To: b}}), time.Hour)
	release := g.DueOrders(time.Hour)[0]
	require.Equal(t, Release, release.Kind)
	require.Greater(t, release.Fence, first.Fence)
	require.Equal(t, Moving, g.State(0, time.Hour), "requests wait meanwhile")
	g.HandleResult(release, Done, "state", time.Hour, time.Hour)
	grant := g.DueOrders(time.Hour)[0]
	require.Equal(t, "state", grant.Handover)
	require.Greater(t, grant.Fence, release.Fence)
	g.HandleResult(grant, Done, "", time.Hour, time.Hour)
	require.Equal(t, Served, g.State(0, time.Hour))
}

func TestReassignSpreadsLostSlicesEvenlyAndKeepsOthers(t *testing.T) {
	a, b, c := Owner{ID: "a"}, Owner{ID: "b"}, Owner{ID: "c"}
	list := EvenSlices(12, []Owner{a, b, c})
	changes := Reassign(list, []Owner{a, b})
	require.Len(t, changes, 4)
	got := map[string]int{}
	for _, ch := range changes {
		require.Equal(t, "c", list[ch.Slice].Owner.ID)
		got[ch.To.ID]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2}, got)
}

// zeroLoad is a load that keeps no slice where it is.
var zeroLoad = TargetLoad{
	Moving: func(int) bool { return false },
	Rate:   func(int) float64 { return 0 },
	Busy:   func(Owner) bool { return false },
}

// Guards against slices that move back and forth. A slow new target gave up its hot slices and got the same
// ones back because it had the fewest, three times a second for ten seconds.
func TestRebalanceSkipsBusyOwners(t *testing.T) {
	a, b, slow := Owner{ID: "a"}, Owner{ID: "b"}, Owner{ID: "slow"}
	live := []Owner{a, b, slow}
	list := EvenSlices(30, []Owner{a, b})
	load := zeroLoad
	require.Len(t, Rebalance(list, live, load), 8)
	load.Busy = func(o Owner) bool { return o == slow }
	require.Empty(t, Rebalance(list, live, load))
	load.Busy = func(Owner) bool { return true }
	require.Empty(t, Rebalance(list, live, load))
}

// Guards against giving a new target a group of adjacent slices that are the hottest of all.
func TestRebalanceMovesSlicesOfAverageRate(t *testing.T) {
	a, b, c := Owner{ID: "a"}, Owner{ID: "b"}, Owner{ID: "c"}
	list := EvenSlices(12, []Owner{a, b})
	load := zeroLoad
	rates := []float64{60, 50, 40, 30, 1, 1, 2, 20, 3, 16, 18, 19}
	load.Rate = func(i int) float64 { return rates[i] }
	var got []float64
	for _, ch := range Rebalance(list, []Owner{a, b, c}, load) {
		got = append(got, rates[ch.Slice])
	}
	require.ElementsMatch(t, []float64{20, 19, 18, 40}, got, "each owner's slices closest to the mean rate of 21.7")
}

func TestRebalanceFillsNewTarget(t *testing.T) {
	a, b, c := Owner{ID: "a"}, Owner{ID: "b"}, Owner{ID: "c"}
	list := EvenSlices(12, []Owner{a, b})
	changes := Rebalance(list, []Owner{a, b, c}, zeroLoad)
	require.Len(t, changes, 4)
	require.True(t, Unbalanced(list, []Owner{a, b, c}))
	require.Empty(t, Rebalance(EvenSlices(12, []Owner{a, b, c}), []Owner{a, b, c}, zeroLoad))
	require.False(t, Unbalanced(EvenSlices(12, []Owner{a, b, c}), []Owner{a, b, c}))
}

// An owner that gave up hot slices, and so has a few less than the others, must not get cold ones in their
// place: it would give up more hot ones next.
func TestRebalanceIgnoresSmallDifferences(t *testing.T) {
	a, b, c := Owner{ID: "a"}, Owner{ID: "b"}, Owner{ID: "c"}
	list := EvenSlices(30, []Owner{a, b, c})
	list[0].Owner, list[3].Owner, list[6].Owner = b, b, c
	require.Empty(t, Rebalance(list, []Owner{a, b, c}, zeroLoad))
}

func TestIndexFindsTheSliceOfAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := EvenSlices(rapid.IntRange(1, 700).Draw(t, "slices"), []Owner{{ID: "a"}})
		require.NoError(t, (&Record{Slices: list}).Check())
		key := rapid.Uint16().Draw(t, "key")
		s := list[Index(list, key)]
		require.True(t, s.From <= key && key <= s.To)
		owner, state := NewRouting(Record{Slices: list}, 1, func(i int) SliceState {
			if list[i].From == s.From {
				return Served
			}
			return Unserved
		}).Find(key)
		require.Equal(t, "a", owner)
		require.Equal(t, Served, state)
	})
}

// Guards against two grantors that renew the same keys. A grantor loses the store and its peers, and keeps
// renewing at a target that its successor cannot reach. The successor gives the keys to another target after
// the authority and a hold have passed. The predecessor must have stopped by then.
func TestSucceededGrantorStopsRenewingBeforeKeysMove(t *testing.T) {
	sim := newSimulation(deterministicDraw, func(text string) { require.FailNow(t, text) })
	sim.noLostAnswers = true
	sim.takeOver(0)
	for range 20 {
		sim.step()
	}
	sim.vms[0].storeCutUntil = sim.now + time.Hour
	sim.vms[1].targetCutUntil[0] = sim.now + time.Hour
	sim.takeOver(1)
	sim.moveSlice(1, 0, 1)
	moved := sim.now
	for sim.now < moved+25*time.Second {
		sim.readEpoch(1)
		sim.step()
	}
	require.Greater(t, sim.targets[1].holdsUntil[0], moved+15*time.Second, "the new owner holds the keys")
}

// Rebalance must return no changes if Unbalanced is false, whatever the load.
func TestRebalanceDoesNothingUnlessUnbalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live []Owner
		for i := range rapid.IntRange(1, 8).Draw(t, "live") {
			live = append(live, Owner{ID: string(rune('a' + i))})
		}
		list := EvenSlices(rapid.IntRange(1, 60).Draw(t, "slices"), slices.Clone(live))
		for i := range list {
			list[i].Owner = live[rapid.IntRange(0, len(live)-1).Draw(t, "owner")]
		}
		if !Unbalanced(list, live) {
			require.Empty(t, Rebalance(list, live, zeroLoad))
		}
	})
}

// When a target is lost, its keys go to another one without their state and are slow there for some seconds,
// which senders of requests must know. Keys that were handed over are not slow, and neither are keys that had
// no owner before.
func TestKeysGrantedWithoutHandoverAreCold(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	timing := simTiming
	timing.Cold = 5 * time.Second
	now := time.Hour
	g := NewGrantor(firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(2, []Owner{a})}), timing, now, now)
	g.MarkConfirmed(a)
	g.MarkConfirmed(b)
	answer := func(r Result, handover string) {
		for _, o := range g.DueOrders(now) {
			g.HandleResult(o, r, handover, now, now)
		}
	}
	answer(Done, "")
	require.Equal(t, Served, g.State(0, now), "the first owner of the keys")
	g.Commit(g.Plan(now, []Change{{Slice: 0, To: b}, {Slice: 1, To: b}}), now)

	release := g.DueOrders(now)
	require.Len(t, release, 2)
	g.HandleResult(release[0], Done, "state", now, now)
	g.HandleResult(release[1], Unreached, "", now, now)
	answer(Done, "")
	require.Equal(t, Served, g.State(0, now), "handed over")
	for range 400 {
		now += 10 * time.Millisecond
		for _, o := range g.DueOrders(now) {
			r := Done
			if o.Kind == Release {
				r = Unreached
			}
			g.HandleResult(o, r, "", now, now)
		}
	}
	require.Equal(t, Cold, g.State(1, now), "the previous hold expired")
	require.True(t, Cold.Serves())
	for range 500 {
		now += 10 * time.Millisecond
		answer(Done, "")
		g.ConfirmEpoch(now)
	}
	require.Equal(t, Served, g.State(1, now))
	require.Equal(t, Served, g.State(0, now))
}

// Guards against keys of a silent owner that stay unavailable for five seconds longer than its hold. A renewal
// was in flight when the keys were given to another owner, and timed out 0.3 s later. The bound that had been
// assumed before its end must not remain in force.
func TestHoldOfSilentOwnerCountsFromEndOfLastGrant(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	g, renewal, now := grantorWithPendingRenewal(t, a)
	g.Commit(g.Plan(now, []Change{{Slice: 0, To: b}}), now)
	require.Empty(t, g.DueOrders(now+time.Minute), "no keys are free while the renewal is in flight")
	over := now + simOrderTimeout
	g.HandleResult(renewal, Unanswered, "", now, over)
	granted := runUntilGranted(t, g, over, a, b)
	require.GreaterOrEqual(t, granted, slowestExpiry(over))
	require.Less(t, granted, slowestExpiry(over)+time.Second)
}

// Guards against random walks that do not find a successor which ignores the standbys in its record.
func TestWalksFindASuccessorThatIgnoresStandbys(t *testing.T) {
	found, moves := false, 0
	for seed := uint64(1); seed <= 400 && !found; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		draw := func(low, high int, _ string) int { return low + r.IntN(high-low+1) }
		sim := newSimulation(draw, func(string) { found = true })
		sim.ignoreStandbys = true
		sim.takeOver(0)
		for range 400 {
			switch vm, slice := r.IntN(simVMs), r.IntN(simUnits); r.IntN(25) {
			case 0:
				sim.takeOver(vm)
			case 1, 2, 3:
				sim.moveSlice(vm, slice, r.IntN(simTargets))
			case 4, 5, 6:
				sim.moveToStandby(vm, slice)
			case 7:
				sim.cutStore(vm, time.Duration(1+r.IntN(10))*time.Second)
			}
			sim.step()
		}
		moves += sim.standbyMoves
	}
	require.Positive(t, moves)
	require.True(t, found)
}

// Guards against keys of a leaving owner that wait for the store, and against a record that never tells of the move.
func TestMoveToStandbyNeedsNoWrite(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	g := NewGrantor(firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(1, []Owner{a})}), simTiming, time.Hour, time.Hour)
	g.MarkConfirmed(a)
	g.MarkConfirmed(b)
	first := g.DueOrders(time.Hour)[0]
	g.HandleResult(first, Done, "", time.Hour, time.Hour)
	require.False(t, g.MoveToStandby(0), "the record names no standby")
	next := g.PlanStandbys(time.Hour, nil, func(Slice) Owner { return b })
	require.False(t, g.MoveToStandby(0), "the record is being written")
	g.Commit(next, time.Hour)
	require.False(t, g.Unwritten())
	require.True(t, g.MoveToStandby(0))
	release := g.DueOrders(time.Hour)[0]
	require.Equal(t, Release, release.Kind)
	require.Equal(t, a, release.Target)
	g.HandleResult(release, Done, "state", time.Hour, time.Hour)
	grant := g.DueOrders(time.Hour)[0]
	require.Equal(t, b, grant.Target)
	require.Equal(t, "state", grant.Handover)
	require.Greater(t, grant.Fence, release.Fence)
	require.True(t, g.Unwritten())
	g.Commit(g.Plan(time.Hour, nil), time.Hour)
	require.False(t, g.Unwritten())
	require.Equal(t, b, g.Record().Slices[0].Owner)
}

// Guards against a move to a standby that is undone by the record that was being written meanwhile.
func TestMoveToStandbyDuringAWriteStaysInForce(t *testing.T) {
	a, b, c := Owner{ID: "a"}, Owner{ID: "b"}, Owner{ID: "c"}
	g := NewGrantor(firstEpoch(Record{Service: "s", Epoch: 1, Slices: EvenSlices(2, []Owner{a})}), simTiming, time.Hour, time.Hour)
	g.Commit(g.PlanStandbys(time.Hour, nil, func(Slice) Owner { return b }), time.Hour)
	next := g.Plan(time.Hour, []Change{{Slice: 1, To: c}})
	require.True(t, g.MoveToStandby(0))
	require.False(t, g.MoveToStandby(1), "the write may take effect, and does not name the standby")
	g.Commit(next, time.Hour)
	require.Equal(t, b, g.Record().Slices[0].Owner)
	require.Equal(t, c, g.Record().Slices[1].Owner)
	require.True(t, g.Unwritten())
}

// Guards against a successor that serves no keys until it has asked each standby, or grants before that.
func TestSuccessorTakesTheKeysFromTheStandbyFirst(t *testing.T) {
	a, b := Owner{ID: "a"}, Owner{ID: "b"}
	r := Record{Service: "s", Epoch: 4, Slices: []Slice{{From: 0, To: keySpace - 1, Owner: a, Standby: b}}}
	last := NewRouting(r, 9, func(int) SliceState { return Served })
	next := r.Succeed(last, PredecessorMayGrant)
	next.Epoch = 5
	g := NewGrantor(next, simTiming, time.Hour, time.Hour)
	g.PresumeServed(last, time.Hour+time.Second)
	require.Equal(t, Served, g.State(0, time.Hour), "the owner still has its grant")
	g.MarkConfirmed(a)
	release := g.DueOrders(time.Hour)
	require.Len(t, release, 1)
	require.Equal(t, Release, release[0].Kind)
	require.Equal(t, b, release[0].Target)
	g.HandleResult(release[0], Done, "", time.Hour, time.Hour)
	grant := g.DueOrders(time.Hour)
	require.Len(t, grant, 1)
	require.Equal(t, a, grant[0].Target)
	moved := NewRouting(Record{Service: "s", Epoch: 4, Slices: []Slice{{From: 0, To: keySpace - 1, Owner: b}}}, 10, func(int) SliceState { return Served })
	require.Equal(t, b, r.Succeed(moved, PredecessorMayGrant).Slices[0].Owner, "the predecessor has published the move")
	r.Resigned = true
	require.Equal(t, r.Slices, r.Succeed(nil, PredecessorMayGrant).Slices, "its record is exact")
}
