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
	// grantTimeout limits a grant, which targets answer at once.
	grantTimeout = 300 * time.Millisecond
	// releaseTimeout limits a release, which is answered when the requests for the keys have ended.
	releaseTimeout = 4 * time.Second
	// maxConcurrentReleases limits the connections to a target for releases; see Spread.maxReleases.
	maxConcurrentReleases = 6
	// incarnationCheckInterval is the minimum time between two checks of incarnations, each of which
	// calls the store.
	incarnationCheckInterval = 250 * time.Millisecond
	// maxMovingToRebalance is the number of moving slices from which no more slices are moved only to
	// even out their number.
	maxMovingToRebalance = 16
	// resignRetryInterval is the time between two attempts to resign while the store does not answer.
	resignRetryInterval = 200 * time.Millisecond
	// finalResignWindow is how long before its process exits a grantor resigns although no VM stays to
	// succeed it. It allows for a few calls to the store.
	finalResignWindow = 2 * resignRetryInterval
	// planInterval is the minimum time between two plans of the owners.
	planInterval = 100 * time.Millisecond
	// publishIntervalPerVM, multiplied by the number of VMs, is the minimum time between two published
	// versions, but not less than leaderTick. Each VM gets every version, so the grantor sends at most 2,500 a
	// second.
	publishIntervalPerVM = 400 * time.Microsecond
	// minOwnerSilence is how long an owner has left orders unanswered when it counts as silent: two
	// orders in a row have timed out. Targets that leave half of their orders unanswered must not make
	// one grantor after the other resign.
	minOwnerSilence = 2 * grantTimeout
	// demotionTime is how long a VM that resigned ranks last in the succession.
	demotionTime = 8 * time.Second
	// eventQueueSize limits the results of orders and store calls that wait for the leader.
	eventQueueSize = 1024
)

// leader acts as the grantor of one service. Its goroutine owns the state of the grants. Orders and
// calls to the store run in other goroutines and report their results as events.
type leader struct {
	*candidate
	grants       *lease.Grantor
	version      uint64
	publishedSeq uint64
	// published is the version that was published last.
	published   *lease.Routing
	broadcaster *leaseBroadcaster

	events chan func()
	// epochEnded reports whether this grantor resigned or lost its epoch.
	epochEnded    bool
	writingRecord bool
	// writeAmbiguous reports whether the answer to the last write was lost, so that the store may or may
	// not have applied it.
	writeAmbiguous bool
	// resigning reports whether the resignation is being written. No orders are sent then.
	resigning            bool
	nextResign           time.Duration
	readingEpoch         bool
	checkingIncarnations bool
	nextIncarnationCheck time.Duration
	nextPlan             time.Duration
	nextStandbyMove      time.Duration
	nextStandbyWrite     time.Duration
	// nextPublish is when changed leases may be published again.
	nextPublish time.Duration
	// yieldUntil is until when this grantor tries to resign because another VM reaches the owners that it
	// does not reach. goneUntil is until when silent owners count as gone because no other VM does.
	yieldUntil, goneUntil time.Duration
	// ownerRetries holds the silent targets that own no keys and are dialled again.
	ownerRetries   map[lease.Owner]ownerRetry
	nextOwnerRetry time.Duration
	// queryingReach reports whether other VMs are being asked which owners they reach.
	queryingReach  bool
	nextReachQuery time.Duration
	senders        map[lease.Owner]*orderSender
	load           *loadView
	lagMeter       *fitness.Meter
	// latestBorn is the start of each target's latest incarnation, by target id.
	latestBorn map[string]int64
	orders     orderReport
	reliefs    reliefs
}

func newLeader(c *candidate, g *lease.Grantor, version uint64) *leader {
	l := &leader{
		candidate: c, grants: g, version: version, events: make(chan func(), eventQueueSize),
		broadcaster: newLeaseBroadcaster(c.pushLeases, c.Log, c.Self.LinkBytesPerSecond(), c.Leases.Get(c.service)),
		senders:     make(map[lease.Owner]*orderSender), latestBorn: make(map[string]int64), load: newLoadView(),
		ownerRetries: make(map[lease.Owner]ownerRetry), reliefs: make(reliefs),
		lagMeter: fitness.NewMeter(leaderTick),
	}
	l.load.rates.Surges = c.Spread.Surges
	l.orderDeadline.Store(int64(g.ConfirmedAt() + lease.Authority))
	l.orders.answeredAt = c.Clock.Now()
	return l
}

// run leads until the epoch has ended or the context ends.
func (l *leader) run(ctx context.Context) {
	l.ledServices.Add(1)
	defer l.ledServices.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.orderDeadline.Store(0)
	tick := time.NewTicker(leaderTick)
	defer tick.Stop()
	for !l.epochEnded {
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

// enqueue passes an event to the leader's goroutine.
func (l *leader) enqueue(ctx context.Context, event func()) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

func (l *leader) step(ctx context.Context) {
	now := l.Clock.Now()
	if l.superseded() || l.grants.FencesExhausted() {
		l.epochEnded = true
		return
	}
	slow := l.lagMeter.RecordStep(now)
	l.yieldIfIsolated(ctx, now)
	if slow || l.shouldHandOver() || now < l.yieldUntil {
		l.tryResign(ctx, now)
	}
	if l.resigning {
		return
	}
	l.orderDeadline.Store(int64(l.grants.ConfirmedAt() + lease.Authority))
	l.moveToStandbys(now)
	l.planAndWrite(ctx, now)
	for _, o := range l.grants.DueOrders(now) {
		l.send(ctx, o)
	}
	l.retrySilentTargets(ctx, now)
	l.logMoveEvents(now)
	l.logOrders(now)
	l.queryLoad(ctx, now)
	l.confirmIncarnations(ctx, now)
	l.confirmEpoch(ctx, now)
	l.updateLimits(now)
	l.publishChanges(now)
}

// shouldHandOver reports whether this VM is leaving and another one should be the grantor: one that
// stays, or any other once this VM's process is about to exit.
func (l *leader) shouldHandOver() bool {
	return l.LocalState.Leaving() && (l.Mesh.NonLeavingPeers() > 0 || l.LocalState.TimeUntilExit() < finalResignWindow)
}

// tryResign resigns if the store answers. Without the store no VM could take over, and all keys would
// expire within a hold.
func (l *leader) tryResign(ctx context.Context, now time.Duration) {
	if l.resigning || l.writingRecord || l.readingEpoch || now < l.nextResign {
		// A write or read in flight ends first.
		return
	}
	l.nextResign = now + resignRetryInterval
	l.queryEpoch(ctx, func(err error) {
		l.Log.Info().Str("step", "leases").Str("service", l.service).Err(err).Msg("not resigned: the store did not answer, so no VM could take over")
	}, func() {
		if !l.epochEnded && !l.writingRecord {
			l.resign(ctx)
		}
	})
}

// resign stops the orders of a grantor that is leaving, too slow or cut off from the owners. It then
// marks the record as resigned, so that the successor need not wait until the authority expires.
func (l *leader) resign(ctx context.Context) {
	l.orderDeadline.Store(0)
	l.resigning = true
	l.demotedUntil.Store(int64(l.Clock.Now() + demotionTime))
	next := l.grants.Plan(l.Clock.Now(), nil)
	next.Resigned = true
	version, lag, waited := l.version, l.lagMeter.Lag(), l.lagMeter.GrantWait()
	go func() {
		_, err := l.writeRecord(ctx, next, version)
		l.Log.Info().Str("step", "leases").Str("service", l.service).Uint64("epoch", next.Epoch).Dur("lag", lag).Dur("waited", waited).
			Bool("leaving", l.LocalState.Leaving()).Err(err).Msg("grantor resigned")
		l.enqueue(ctx, func() { l.handleResignation(err) })
	}()
}

// handleResignation handles the result of writing the resignation. If the store certainly has not
// applied the write and never will, the grantor continues.
func (l *leader) handleResignation(err error) {
	if errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrAmbiguous) {
		l.resigning = false
		return
	}
	l.epochEnded = true
	l.publish(l.vacantRouting())
}

// vacantRouting returns the leases without a grantor, upon which another VM takes over at once.
func (l *leader) vacantRouting() *lease.Routing {
	now := l.Clock.Now()
	l.publishedSeq++
	r := l.currentRouting(l.publishedSeq, now)
	r.Holder = ""
	return r
}

// superseded reports whether a later epoch is known.
func (l *leader) superseded() bool {
	r := l.Leases.Get(l.service)
	return r != nil && r.Epoch > l.grants.Record().Epoch
}

// publishChanges publishes the leases if they have changed, at most once per interval: a
// succession changes hundreds of slices one after another.
func (l *leader) publishChanges(now time.Duration) {
	if now < l.nextPublish {
		return
	}
	l.nextPublish = now + max(leaderTick, time.Duration(l.Mesh.Size())*publishIntervalPerVM)
	routing := l.currentRouting(l.publishedSeq+1, now)
	if routing.SameAs(l.published) {
		return
	}
	l.publishedSeq++
	l.publish(routing)
}

// currentRouting returns the current leases as the version seq.
func (l *leader) currentRouting(seq uint64, now time.Duration) *lease.Routing {
	record := l.grants.Record()
	r := lease.NewRouting(record, seq, func(i int) lease.SliceState { return l.grants.State(i, now) })
	r.SetLimits(func(i int) lease.Limit { return l.load.limits[record.Slices[i].From] })
	return r
}

// publish applies leases on this VM and replicates them to the other VMs.
func (l *leader) publish(routing *lease.Routing) {
	l.published = routing
	l.Leases.Set(routing)
	l.broadcaster.Publish(l.ctx, routing, l.Mesh.Others())
}
