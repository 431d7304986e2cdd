package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/lease"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/upstream"
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
	// planEvery is the least time between two looks at who should own what.
	planEvery = 100 * time.Millisecond
	// pushTimeout bounds telling another VM of changed leases.
	pushTimeout = 300 * time.Millisecond
	// eventQueue bounds the ends of orders and calls that wait for the leader.
	eventQueue = 1024
)

// leader is the grantor of one service at work. Its goroutine owns the state of
// the grants; orders and calls to the store run beside it and report by events.
type leader struct {
	*keeper
	grants  *lease.Grantor
	version uint64
	seq     uint64
	told    *lease.Routing

	events  chan func()
	deposed bool
	writing bool
	// unsettled says that the answer to the last write was lost.
	unsettled bool
	// unfit says that this VM leaves, or is too slow to go on.
	unfit     bool
	resigning bool
	reading   bool
	checking  bool
	checkNext time.Duration
	planNext  time.Duration
	strayNext time.Duration
	lines     map[lease.Owner]*orderLine
	load      *loadView
	lag       lagMeter
	bornKnown map[string]int64
}

// orderLine sends the orders to one life of a target. Grants go one after the
// other over a connection that was opened before the life was confirmed.
type orderLine struct {
	pool     *upstream.Pool
	grants   chan lease.Order
	releases chan struct{}
}

func newLeader(k *keeper, g *lease.Grantor, version uint64) *leader {
	l := &leader{
		keeper: k, grants: g, version: version, events: make(chan func(), eventQueue),
		lines: make(map[lease.Owner]*orderLine), bornKnown: make(map[string]int64), load: newLoadView(),
	}
	l.orderUntil.Store(int64(g.ConfirmedAt() + lease.Authority))
	return l
}

// run leads until another grantor took over or the context ends.
func (l *leader) run(ctx context.Context) {
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
	l.n.log.Warn().Str("step", "leases").Str("service", l.service).Uint64("epoch", l.grants.Record().Epoch).Msg("no grantor any more")
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

// later hands an event to the leader's goroutine.
func (l *leader) later(ctx context.Context, event func()) {
	select {
	case l.events <- event:
	case <-ctx.Done():
	}
}

func (l *leader) step(ctx context.Context) {
	now := l.n.clock.Now()
	if l.succeeded() {
		l.deposed = true
		return
	}
	if l.lag.note(now) || l.n.leaving.Load() || l.strayed(now) {
		l.unfit = true
	}
	if l.unfit {
		l.resign(ctx)
		return
	}
	l.orderUntil.Store(int64(l.grants.ConfirmedAt() + lease.Authority))
	l.notePlanned(ctx, now)
	for _, o := range l.grants.Due(now) {
		l.send(ctx, o)
	}
	l.askLoad(ctx, now)
	l.confirmLives(ctx, now)
	l.confirmEpoch(ctx, now)
	l.tell(now)
}

// strayed tells whether most owners leave orders unanswered.
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
		if l.grants.Silent(s.Owner, now) > 0 {
			silent++
		}
	}
	return strayed(silent, len(owners))
}

// resign ends the orders of a grantor that leaves or is too slow, then says so in
// the record, so that its successor need not wait for its authority to end.
func (l *leader) resign(ctx context.Context) {
	l.orderUntil.Store(0)
	if l.resigning || l.writing {
		// A write that is on its way comes first.
		return
	}
	l.resigning = true
	l.n.unfitUntil.Store(int64(l.n.clock.Now() + unfitTime))
	next := l.grants.Plan(nil)
	next.Resigned = true
	version := l.version
	go func() {
		_, err := l.write(ctx, next, version)
		l.n.log.Info().Str("step", "leases").Str("service", l.service).Uint64("epoch", next.Epoch).Dur("lag", l.lag.mean).
			Bool("leaving", l.n.leaving.Load()).Err(err).Msg("grantor resigned")
		l.later(ctx, func() {
			l.deposed = true
			vacant := *l.told
			l.seq++
			vacant.Seq, vacant.Holder = l.seq, ""
			l.publish(&vacant)
		})
	}()
}

// succeeded tells whether a later epoch was heard of.
func (l *leader) succeeded() bool {
	r := l.n.state.routingOf(l.service)
	return r != nil && r.Epoch > l.grants.Record().Epoch
}

// send hands an order to its target's line.
func (l *leader) send(ctx context.Context, o lease.Order) {
	line := l.line(ctx, o.Target)
	if o.Kind == lease.Release {
		go l.release(ctx, line, o)
		return
	}
	select {
	case line.grants <- o:
	default:
		l.grants.Ended(o, lease.Unreached, "", l.n.clock.Now(), l.n.clock.Now())
	}
}

func (l *leader) line(ctx context.Context, o lease.Owner) *orderLine {
	line := l.lines[o]
	if line == nil {
		line = &orderLine{
			pool:   upstream.NewPool(o.Addr, metrics.GetOrRegisterCounter("orders.connections.opened", l.n.registry)),
			grants: make(chan lease.Order, len(l.grants.Record().Slices)+1), releases: make(chan struct{}, releasesAtOnce),
		}
		l.lines[o] = line
		go l.serveLine(ctx, line)
	}
	return line
}

// serveLine sends the grants to one target.
func (l *leader) serveLine(ctx context.Context, line *orderLine) {
	defer line.pool.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-line.grants:
			l.order(ctx, line, o, upstream.KeptConn, grantTimeout)
		}
	}
}

func (l *leader) release(ctx context.Context, line *orderLine, o lease.Order) {
	select {
	case line.releases <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-line.releases }()
	l.order(ctx, line, o, upstream.NewConn, releaseTimeout)
}

// order sends one order and reports its end.
//
// Failure: this VM is suspended between the decision and the send, another became
// the grantor and moved the keys. The authority is read again on a clock that
// counts suspended time, right before the bytes leave.
func (l *leader) order(ctx context.Context, line *orderLine, o lease.Order, conn upstream.Choice, timeout time.Duration) {
	sent := l.n.clock.Now()
	result, handover, err := lease.Unreached, "", errNoAuthority
	if int64(sent) < l.orderUntil.Load() {
		result, handover, err = l.exchange(ctx, line, o, conn, timeout)
	}
	over := l.n.clock.Now()
	if result == lease.Unanswered {
		// Failure: a target went silent with several connections kept to it. Each
		// was tried in turn, and each grant that may have arrived keeps its keys
		// from others for another hold.
		line.pool.Drop()
	}
	if err != nil || result != lease.Done {
		l.n.log.Warn().Str("step", "order").Str("service", l.service).Str("target", o.Target.ID).Int("kind", int(o.Kind)).
			Uint16("from", o.From).Uint64("fence", o.Fence).Int("result", int(result)).Dur("took", over-sent).Err(err).Msg("order not done")
	}
	l.later(ctx, func() { l.ended(ctx, o, result, handover, sent, over) })
}

var errNoAuthority = errors.New("authority has run out")

func (l *leader) exchange(ctx context.Context, line *orderLine, o lease.Order, conn upstream.Choice, timeout time.Duration) (lease.Result, string, error) {
	request, err := l.n.adapter.Order(o)
	if err != nil {
		return lease.Unreached, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := line.pool.Exchange(ctx, request, conn)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return lease.Unreached, "", err
	case err != nil:
		return lease.Unanswered, "", err
	}
	result, handover, err := l.n.adapter.OrderResult(answer)
	if result == lease.Unanswered && l.replaced(ctx, line, o.Target) {
		return lease.Misdirected, "", err
	}
	return result, handover, err
}

// replaced asks the process at a target's address for its id, and tells whether
// it is another target's.
//
// Failure: a target is gone and its address has passed to a target of a service
// without keys, which answers an order with an error. Until the last grant that
// might have reached the lost owner is out, twelve seconds longer after a
// succession, its keys had no service.
func (l *leader) replaced(ctx context.Context, line *orderLine, o lease.Owner) bool {
	table := l.n.state.view.Load().Routes
	if table == nil {
		return false
	}
	request := &upstream.Request{
		Method: http.MethodGet, URI: table.Config().Services[l.service].HealthPath, Host: o.Addr,
		Header: http.Header{l.n.headers.TargetID: {o.ID}},
	}
	answer, err := line.pool.Exchange(ctx, request, upstream.NewConn)
	if err != nil {
		return false
	}
	id := answer.Header.Get(l.n.headers.InstanceID)
	l.n.log.Warn().Str("step", "order").Str("target", o.ID).Str("addr", o.Addr).Str("answers", id).Msg("who answers at the address of an owner")
	return id != "" && id != o.ID
}

func (l *leader) ended(ctx context.Context, o lease.Order, r lease.Result, handover string, sent, over time.Duration) {
	l.grants.Ended(o, r, handover, sent, over)
	if r == lease.Fenced {
		l.readEpoch(ctx)
	}
}

// confirmEpoch has the store confirm the epoch from time to time.
func (l *leader) confirmEpoch(ctx context.Context, now time.Duration) {
	if now-l.grants.ConfirmedAt() > confirmEvery {
		l.readEpoch(ctx)
	}
}

// readEpoch asks the store whether the epoch stands.
func (l *leader) readEpoch(ctx context.Context) {
	if l.reading {
		return
	}
	l.reading = true
	go func() {
		sent := l.n.clock.Now()
		r, _, err := l.read(ctx)
		if err != nil {
			l.n.log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("epoch not confirmed")
			sleep(ctx, storePauseMost)
		}
		l.later(ctx, func() {
			l.reading = false
			if err == nil {
				l.noteEpoch(r, sent)
			}
		})
	}()
}

func (l *leader) noteEpoch(r lease.Record, sent time.Duration) {
	if r.Epoch != l.grants.Record().Epoch || r.Incarnation != l.n.self.Incarnation {
		l.deposed = true
		return
	}
	l.grants.Confirmed(sent)
}

// confirmLives opens connections to owners to which an order broke and then asks
// the store whether they are in the same life and the epoch stands.
//
// Failure: a target restarts under its id. It has forgotten its fences and would
// take a grant of a grantor that was succeeded meanwhile, for keys that another
// owns. A connection that was opened before the store was asked breaks with the
// life that it was opened to.
func (l *leader) confirmLives(ctx context.Context, now time.Duration) {
	if l.checking || now < l.checkNext {
		return
	}
	var owners []lease.Owner
	for _, o := range l.grants.Unconfirmed() {
		if l.listed(o) {
			owners = append(owners, o)
		}
	}
	if len(owners) == 0 {
		return
	}
	l.checking, l.checkNext = true, now+checkPause
	lines := make([]*orderLine, len(owners))
	for i, o := range owners {
		lines[i] = l.line(ctx, o)
	}
	go l.checkLives(ctx, owners, lines)
}

// listed tells whether the target is listed in this life.
func (l *leader) listed(o lease.Owner) bool {
	t := l.n.state.view.Load().ByID[o.ID]
	return t != nil && t.Born == o.Born
}

func (l *leader) checkLives(ctx context.Context, owners []lease.Owner, lines []*orderLine) {
	connected := connectAll(ctx, owners, lines)
	var confirmed []lease.Owner
	var record lease.Record
	sent := l.n.clock.Now()
	var err error
	if len(connected) > 0 {
		confirmed, err = l.askLives(ctx, connected)
		if err == nil {
			record, _, err = l.read(ctx)
		}
	}
	if err != nil {
		l.n.log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("lives of targets not confirmed")
	}
	l.later(ctx, func() {
		l.checking = false
		if err != nil || len(connected) == 0 {
			return
		}
		l.noteEpoch(record, sent)
		if l.deposed {
			return
		}
		for _, o := range confirmed {
			l.grants.LifeConfirmed(o)
		}
	})
}

func connectAll(ctx context.Context, owners []lease.Owner, lines []*orderLine) []lease.Owner {
	ok := make([]bool, len(owners))
	var wait sync.WaitGroup
	for i := range owners {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			lines[i].pool.Drop()
			ok[i] = lines[i].pool.Connect(ctx) == nil
		})
	}
	wait.Wait()
	var out []lease.Owner
	for i, o := range owners {
		if ok[i] {
			out = append(out, o)
		}
	}
	return out
}

// askLives returns those owners that the store lists in the same life.
func (l *leader) askLives(ctx context.Context, owners []lease.Owner) ([]lease.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := l.n.store.ListKind(ctx, l.n.adapter.TargetKind())
	l.n.noteStore(err)
	if err != nil {
		return nil, fmt.Errorf("list targets: %w", err)
	}
	born := make(map[string]int64, len(list.Objects))
	for _, o := range list.Objects {
		if t, ok := l.n.readTarget(o); ok {
			born[t.ID] = t.Born
		}
	}
	var out []lease.Owner
	for _, o := range owners {
		if at, ok := born[o.ID]; ok && at == o.Born {
			out = append(out, o)
		}
	}
	return out, nil
}

// notePlanned looks who should own what and has changes written.
func (l *leader) notePlanned(ctx context.Context, now time.Duration) {
	if l.writing || now < l.planNext || !l.n.storeUp.Load() {
		return
	}
	l.planNext = now + planEvery
	l.noteLives()
	var changes []lease.Change
	if !l.unsettled {
		if changes = l.plan(now); len(changes) == 0 {
			return
		}
	}
	next := l.grants.Plan(changes)
	for _, c := range changes {
		s := l.grants.Record().Slices[c.Slice]
		l.n.log.Info().Str("step", "move").Str("service", l.service).Uint16("from", s.From).Str("owner", s.Owner.ID).
			Str("to", c.To.ID).Uint64("targets", l.n.state.view.Load().Targets.Revision).Msg("keys get another owner")
	}
	l.writing = true
	version := l.version
	go func() {
		sent := l.n.clock.Now()
		written, err := l.write(ctx, next, version)
		over := l.n.clock.Now()
		l.later(ctx, func() { l.written(next, written, sent, over, err) })
	}()
}

func (l *leader) written(next lease.Record, version uint64, sent, over time.Duration, err error) {
	l.writing = false
	if err == nil {
		l.version, l.unsettled = version, false
		l.grants.Commit(next, sent, over)
		return
	}
	l.n.log.Warn().Str("step", "leases").Str("service", l.service).Err(err).Msg("record not written")
	switch {
	case errors.Is(err, platform.ErrConflict):
		// Another's write stands, or a lost one of ours: begin again from it.
		l.deposed = true
	case errors.Is(err, platform.ErrAmbiguous):
		// Failure: the store goes away with an answer. A grantor that gives up
		// then finds no store to begin again, and all keys lapse.
		l.unsettled = true
	case !l.unsettled:
		l.grants.Abandon()
	}
}

// noteLives notes the ends of lives: targets that are listed with a later start.
func (l *leader) noteLives() {
	for id, t := range l.n.state.view.Load().ByID {
		if l.bornKnown[id] == t.Born {
			continue
		}
		l.bornKnown[id] = t.Born
		for _, s := range l.grants.Record().Slices {
			for _, o := range []lease.Owner{s.Owner, s.Previous} {
				if o.ID == id && o.Born < t.Born {
					l.grants.LifeEnded(o)
				}
			}
		}
	}
}

// plan returns the changes of owners that are wanted now.
func (l *leader) plan(now time.Duration) []lease.Change {
	record := l.grants.Record()
	var live []lease.Owner
	for _, o := range l.owners() {
		if l.grants.Silent(o, now) < silentOwner && !l.grants.HasEnded(o) {
			live = append(live, o)
		}
	}
	if len(live) == 0 {
		return nil
	}
	rehomed := lease.Rehome(record.Slices, live)
	rehomed = slices.DeleteFunc(rehomed, func(c lease.Change) bool { return !l.grants.Movable(c.Slice) })
	if len(rehomed) > 0 {
		return rehomed
	}
	if changes := l.spread(live, now); len(changes) > 0 {
		return changes
	}
	if l.moving() >= evenMoving {
		return nil
	}
	return lease.EvenOut(record.Slices, live, func(i int) bool { return l.grants.State(i, now) != lease.Served })
}

// moving counts the slices that are on the move.
func (l *leader) moving() int {
	n := 0
	for _, s := range l.grants.Record().Slices {
		if s.Previous.Known() {
			n++
		}
	}
	return n
}

// tell publishes the leases when they have changed, here and to the other VMs.
func (l *leader) tell(now time.Duration) {
	routing := lease.NewRouting(l.grants.Record(), l.seq+1, func(i int) lease.SliceState { return l.grants.State(i, now) })
	if routing.SameAs(l.told) {
		return
	}
	l.seq++
	l.publish(routing)
}

// publish puts leases in force here and tells the other VMs.
func (l *leader) publish(routing *lease.Routing) {
	l.told = routing
	l.n.state.setRouting(routing)
	for _, vm := range l.n.mesh.Others() {
		go func() {
			ctx, cancel := context.WithTimeout(l.n.ctx, pushTimeout)
			defer cancel()
			if err := l.n.mesh.Call(ctx, vm, "View.Push", routing, &struct{}{}); err != nil {
				l.n.log.Info().Str("step", "leases").Str("peer", vm).Uint64("seq", routing.Seq).Err(err).Msg("leases not pushed")
			}
		}()
	}
}
