package leasing

import (
	"context"
	"errors"
	"time"

	"hemlockquay/internal/decide/fitness"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/platform"
)

const (
	// grantTimeout bounds a grant: targets answer it at once.
	grantTimeout = 300 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when the work on the
	// keys has ended.
	releaseTimeout = 4 * time.Second
	// releasesAtOnce bounds the connections to a target for releases.
	releasesAtOnce = 6
	// checkPause is the least time between two checks of lives, each of which
	// costs calls to the store.
	checkPause = 250 * time.Millisecond
	// evenMoving is from how many slices on the move no more are moved only to
	// even out their number.
	evenMoving = 16
	// resignPause is the time between two tries to resign while the store does not
	// answer.
	resignPause = 200 * time.Millisecond
	// lastResignation is how long before its process ends a grantor resigns that no VM
	// succeeds: a few calls to the store.
	lastResignation = 2 * resignPause
	// planEvery is the least time between two plans of who should own what.
	planEvery = 100 * time.Millisecond
	// publishEvery is the least time between two published versions.
	publishEvery = leadStep
	// strayedSilence is for how long an owner has left orders unanswered when it counts
	// as silent: two orders in a row ran into their timeouts.
	// Targets that leave half of their orders unanswered must not make the grantors resign in turn.
	strayedSilence = 2 * grantTimeout
	// unfitTime is how long a VM that resigned is the last in the succession.
	unfitTime = 8 * time.Second
	// eventQueue bounds the ends of orders and calls that wait for the leader.
	eventQueue = 1024
)

// leader is the grantor of one service at work. Its goroutine owns the state of
// the grants; orders and calls to the store run beside it and report by events.
type leader struct {
	*candidate
	grants  *lease.Grantor
	version uint64
	seq     uint64
	// published is the last version that was published.
	published   *lease.Routing
	broadcaster *leaseBroadcaster

	events  chan func()
	deposed bool
	writing bool
	// unsettled reports whether the answer to the last write was lost.
	unsettled bool
	// resigning reports whether the resignation is being written; no orders are sent
	// any more.
	resigning  bool
	resignNext time.Duration
	reading    bool
	checking   bool
	checkNext  time.Duration
	planNext   time.Duration
	// publishNext is when changed leases may be published again.
	publishNext time.Duration
	strayNext   time.Duration
	lines       map[lease.Owner]*orderLine
	load        *loadView
	lag         *fitness.Meter
	bornKnown   map[string]int64
}

func newLeader(k *candidate, g *lease.Grantor, version uint64) *leader {
	l := &leader{
		candidate: k, grants: g, version: version, events: make(chan func(), eventQueue),
		broadcaster: newLeaseBroadcaster(k.pushLeases, k.Log, k.Self.LinkBytesPerSecond(), k.Leases.Of(k.service)),
		lines:       make(map[lease.Owner]*orderLine), bornKnown: make(map[string]int64), load: newLoadView(),
		lag: fitness.NewMeter(leadStep),
	}
	l.orderUntil.Store(int64(g.ConfirmedAt() + lease.Authority))
	return l
}

// run leads until another grantor took over or the context ends.
func (l *leader) run(ctx context.Context) {
	l.leading.Add(1)
	defer l.leading.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.orderUntil.Store(0)
	tick := time.NewTicker(leadStep)
	defer tick.Stop()
	for !l.deposed {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event()
			l.drainEvents()
		case <-tick.C:
		}
		l.step(ctx)
	}
	l.Log.Warn().Str("step", "leases").Str("service", l.service).Uint64("epoch", l.grants.Record().Epoch).Msg("no grantor any more")
}

func (l *leader) drainEvents() {
	for {
		select {
		case event := <-l.events:
			event()
		default:
			return
		}
	}
}

// enqueue hands an event to the leader's goroutine.
func (l *leader) enqueue(ctx context.Context, event func()) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

func (l *leader) step(ctx context.Context) {
	now := l.Clock.Now()
	if l.succeeded() || l.grants.FencesExhausted() {
		l.deposed = true
		return
	}
	slow := l.lag.RecordStep(now)
	if slow || l.replaceable() || l.strayed(now) {
		l.tryResign(ctx, now)
	}
	if l.resigning {
		return
	}
	l.orderUntil.Store(int64(l.grants.ConfirmedAt() + lease.Authority))
	l.writePlanned(ctx, now)
	for _, o := range l.grants.DueOrders(now) {
		l.send(ctx, o)
	}
	l.logMoves(now)
	l.queryLoad(ctx, now)
	l.confirmIncarnations(ctx, now)
	l.confirmEpoch(ctx, now)
	l.limit(now)
	l.publishChanges(now)
}

// replaceable reports whether this VM leaves, and another one should be the grantor: one that
// stays, or any while this VM's process is about to end.
func (l *leader) replaceable() bool {
	return l.LocalState.Leaving() && (l.Mesh.NonLeavingPeers() > 0 || l.LocalState.EndsIn() < lastResignation)
}

// strayed reports whether most owners leave orders unanswered.
func (l *leader) strayed(now time.Duration) bool {
	if now < l.strayNext {
		return false
	}
	l.strayNext = now + planEvery
	silent, owners := 0, make(map[lease.Owner]bool)
	for _, s := range l.grants.Record().Slices {
		if owners[s.Owner] || !l.listed(s.Owner) {
			continue
		}
		owners[s.Owner] = true
		if l.grants.SilentFor(s.Owner, now) >= strayedSilence {
			silent++
		}
	}
	return fitness.Isolated(silent, len(owners))
}

// tryResign resigns if the store answers. Without it nobody could take over, and all keys would
// expire within a hold.
func (l *leader) tryResign(ctx context.Context, now time.Duration) {
	if l.resigning || l.writing || l.reading || now < l.resignNext {
		// A write in flight comes first.
		return
	}
	l.resignNext = now + resignPause
	l.queryEpoch(ctx, func(err error) {
		l.Log.Info().Str("step", "leases").Str("service", l.service).Err(err).Msg("not resigned, nobody could take over")
	}, func() {
		if !l.deposed && !l.writing {
			l.resign(ctx)
		}
	})
}

// resign ends the orders of a grantor that leaves or is too slow, then marks
// the record, so that its successor need not wait for its authority to end.
func (l *leader) resign(ctx context.Context) {
	l.orderUntil.Store(0)
	l.resigning = true
	l.unfitUntil.Store(int64(l.Clock.Now() + unfitTime))
	next := l.grants.Plan(nil)
	next.Resigned = true
	version, lag, waited := l.version, l.lag.Lag(), l.lag.GrantWait()
	go func() {
		_, err := l.write(ctx, next, version)
		l.Log.Info().Str("step", "leases").Str("service", l.service).Uint64("epoch", next.Epoch).Dur("lag", lag).Dur("waited", waited).
			Bool("leaving", l.LocalState.Leaving()).Err(err).Msg("grantor resigned")
		l.enqueue(ctx, func() { l.resigned(err) })
	}()
}

// resigned handles the end of the write. One that the store surely did not apply, and
// never will, changes nothing: the grantor goes on.
func (l *leader) resigned(err error) {
	if errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrAmbiguous) {
		l.resigning = false
		return
	}
	l.deposed = true
	l.publish(l.vacant())
}

// vacant returns leases without a grantor: another VM takes over at once.
func (l *leader) vacant() *lease.Routing {
	now := l.Clock.Now()
	l.seq++
	r := l.routing(l.seq, now)
	r.Holder = ""
	return r
}

// succeeded reports whether a later epoch is known.
func (l *leader) succeeded() bool {
	r := l.Leases.Of(l.service)
	return r != nil && r.Epoch > l.grants.Record().Epoch
}

// publishChanges publishes the leases when they have changed. A succession changes hundreds of
// slices one after another.
func (l *leader) publishChanges(now time.Duration) {
	if now < l.publishNext {
		return
	}
	l.publishNext = now + publishEvery
	routing := l.routing(l.seq+1, now)
	if routing.SameAs(l.published) {
		return
	}
	l.seq++
	l.publish(routing)
}

// routing returns the leases as they are now.
func (l *leader) routing(seq uint64, now time.Duration) *lease.Routing {
	record := l.grants.Record()
	r := lease.NewRouting(record, seq, func(i int) lease.SliceState { return l.grants.State(i, now) })
	r.SetLimits(func(i int) lease.Limit { return l.load.limits[record.Slices[i].From] })
	return r
}

// publish puts leases in force here and replicates them to the other VMs.
func (l *leader) publish(routing *lease.Routing) {
	l.published = routing
	l.Leases.Set(routing)
	l.broadcaster.Publish(l.ctx, routing, l.Mesh.Others())
}
