package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/places"
)

const (
	// placeTimeout bounds a call that asks for a place; see permitTimeout.
	placeTimeout = 120 * time.Millisecond
	// returnTimeout bounds the call that returns a place.
	returnTimeout = time.Second
	// placeHoldMargin is how long after the deadline of a request its place is free in any case: the owner notices by
	// then that the request was cancelled.
	placeHoldMargin = 200 * time.Millisecond
	// defaultExpected is the expected time of a request before any was measured.
	defaultExpected = 100 * time.Millisecond
)

// placeRequests are the requests of this VM that wait for a place. It is safe for concurrent use.
type placeRequests struct {
	granted, refused, noHolder, expired, undelivered metrics.Counter
	waited                                           metrics.Timer

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan int
}

func newPlaceRequests(r metrics.Registry) *placeRequests {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("places."+name, r) }
	return &placeRequests{
		granted: counter("granted"), refused: counter("refused"), noHolder: counter("noHolder"), expired: counter("expired"),
		undelivered: counter("undelivered"), waited: metrics.GetOrRegisterTimer("step.place", r), waiting: make(map[uint64]chan int),
	}
}

// begin registers a request. Its place may be delivered before the holder's reply that it waits has arrived.
func (p *placeRequests) begin() (number uint64, ready chan int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	ready = make(chan int, 1)
	p.waiting[p.number] = ready
	return p.number, ready
}

func (p *placeRequests) end(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, number)
}

// deliver passes a place to a request and reports whether it waits.
func (p *placeRequests) deliver(number uint64, load int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready, waits := p.waiting[number]
	if waits {
		delete(p.waiting, number)
		ready <- load
	}
	return waits
}

// heldPlace is a place that a request has at an owner.
type heldPlace struct {
	holder, target string
	id             places.ID
	// load is the number of requests with a place when it was given out.
	load int
}

// usesPlaces reports whether requests to a service need places: its targets have keys and do not tell their load, and the
// fleet so large that heartbeats are older than a request lasts.
func (s *routingState) usesPlaces(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placesFromVMs > 0 && len(s.holders.list) >= s.placesFromVMs && !s.tellsLoad[service] && s.serviceLocked(service).Keyed
}

// setPlacesFromVMs changes the number of VMs from which on places are asked for.
func (s *routingState) setPlacesFromVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placesFromVMs = n
}

// takePlace gets the request a place at the owner of its key, if the service uses places, and waits for it. On a refusal
// the request must not be sent.
func (g *Gateway) takePlace(ctx context.Context, c *call, timeLeft time.Duration) refusal {
	owner := g.ownerOf(c)
	if c.place != nil && c.place.target == owner {
		return notRefused
	}
	g.returnPlace(c)
	if !g.state.usesPlaces(c.service) || !g.keyServed(c) {
		return notRefused
	}
	if details := g.state.limitedByHotKey(c); details != "" {
		c.refusedOn = details
		return refusedHot
	}
	args, order := g.state.placeRequest(c, owner, timeLeft)
	if args == nil {
		// The owner is not listed, which the reservation finds out.
		return notRefused
	}
	began := time.Now()
	defer func() { g.places.waited.Update(time.Since(began)) }()
	for i, vm := range g.holdersToAsk(order) {
		if i >= maxHoldersAsked || ctx.Err() != nil {
			break
		}
		if d, place := g.askForPlace(ctx, vm, args, timeLeft); d != nil {
			c.place, c.placeRetryAfter = place, d.RetryAfter
			if place == nil {
				c.refusedOn = fmt.Sprintf("%s places %d wait %dms most %dms holder %s", owner, d.Load, d.Wait.Milliseconds(), args.Request.Patience.Milliseconds(), vm)
				g.places.refused.Inc(1)
				return refusedNoPlace
			}
			g.places.granted.Inc(1)
			return notRefused
		}
	}
	g.places.noHolder.Inc(1)
	return notRefused
}

// keyServed reports whether the key of a request has an owner that serves it now. The line of an owner that gets the key
// later is not for requests that it cannot run yet.
func (g *Gateway) keyServed(c *call) bool {
	r := g.state.leases.Get(c.service)
	if r == nil {
		return false
	}
	_, state := r.Find(c.key)
	return state.Serves()
}

// limitedByHotKey decides whether a request is one of those that the grantor lets through for a hot key, before the holder
// of its owner's line is asked: a single VM cannot answer all requests for such a key. It returns the inputs of the decision
// if the request is to be refused. Requests more urgent than others are let through, since the line puts them first.
func (s *routingState) limitedByHotKey(c *call) string {
	r := s.leases.Get(c.service)
	if r == nil || c.forwarded {
		return ""
	}
	s.mu.Lock()
	mostUrgent := s.mayUseReserveLocked(c.service, c.route.Priority)
	s.mu.Unlock()
	part := r.LimitOf(c.key).Fraction()
	if mostUrgent || rand.Float64() < part {
		return ""
	}
	owner, _ := r.Find(c.key)
	return fmt.Sprintf("%s part %.3f epoch %d seq %d", owner, part, r.Epoch, r.Seq)
}

// placeRequest returns what is needed to ask for a place at a target, or nil if it is not listed.
func (s *routingState) placeRequest(c *call, target string, timeLeft time.Duration) (*PlaceArgs, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[target]
	if t == nil {
		return nil, nil
	}
	expected := time.Duration(float64(s.usualDurationLocked(c.service, c.route.Name)) * t.pick.Slowness())
	if expected <= 0 {
		expected = defaultExpected
	}
	objective := timeLeft
	if c.route.Objective > 0 {
		objective = c.route.Objective - time.Since(c.start)
	}
	patience := places.Patience(objective, timeLeft, expected)
	return &PlaceArgs{
		Target: t.ID, Born: t.Born, Slots: t.Slots,
		Request: places.Request{Priority: c.route.Priority, Service: expected, Patience: patience, Hold: timeLeft + placeHoldMargin},
	}, s.holderOrderLocked(t)
}

// holdersToAsk returns the VMs of an order that may be asked now.
func (g *Gateway) holdersToAsk(order []string) []string {
	out := make([]string, 0, maxHoldersAsked)
	for _, vm := range order {
		if vm == g.self.VM && !g.leaving.Load() || vm != g.self.VM && g.mesh.MayServe(vm) && !g.placeCalls.failedLately(vm, g.clock.Now()) {
			if out = append(out, vm); len(out) == maxHoldersAsked {
				break
			}
		}
	}
	return out
}

// askForPlace asks one VM for a place and waits for it. It returns a nil decision if the VM is not the holder or does not
// answer, and a nil place if the request is refused.
func (g *Gateway) askForPlace(ctx context.Context, vm string, args *PlaceArgs, timeLeft time.Duration) (*places.Decision, *heldPlace) {
	number, ready := g.places.begin()
	defer g.places.end(number)
	place := &heldPlace{holder: vm, target: args.Target, id: places.ID{VM: g.self.VM, Incarnation: g.self.Incarnation, Number: number}}
	request := *args
	request.Request.ID = place.id
	reply, err := g.callHolder(ctx, vm, &request, timeLeft)
	if err != nil {
		// The holder may have given out a place.
		g.sendReturn(place)
		return nil, nil
	}
	switch d := &reply.Decision; {
	case !reply.Holds:
		return nil, nil
	case d.Verdict == places.Granted:
		place.load = d.Load
		return d, place
	case d.Verdict == places.Refused:
		return d, nil
	}
	longest := time.NewTimer(min(request.Request.Patience+request.Request.Service, timeLeft-minTimeLeft))
	defer longest.Stop()
	select {
	case place.load = <-ready:
		return &reply.Decision, place
	case <-ctx.Done():
	case <-longest.C:
		g.places.expired.Inc(1)
	}
	g.sendReturn(place)
	reply.Decision.RetryAfter = minRetryAfter
	return &reply.Decision, nil
}

func (g *Gateway) callHolder(ctx context.Context, vm string, args *PlaceArgs, timeLeft time.Duration) (PlaceReply, error) {
	if vm == g.self.VM {
		return g.givePlace(args), nil
	}
	timeout := min(placeTimeout, timeLeft/4)
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply PlaceReply
	err := g.mesh.Call(callCtx, vm, "Places.Take", args, &reply)
	if err == nil || ctx.Err() == nil && timeout == placeTimeout {
		g.placeCalls.record(vm, err == nil, g.clock.Now())
	}
	return reply, err
}

// returnPlace returns the place of a request, if it has one.
func (g *Gateway) returnPlace(c *call) {
	if c.place != nil {
		g.sendReturn(c.place)
		c.place = nil
	}
}

// sendReturn returns a place to its holder. If the call fails, the place is free when the request would have ended.
func (g *Gateway) sendReturn(p *heldPlace) {
	in := &PlaceReturn{Target: p.target, ID: p.id}
	if p.holder == g.self.VM {
		g.lines.giveBack(in)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, returnTimeout)
		defer cancel()
		_ = g.mesh.Call(ctx, p.holder, "Places.Return", in, new(struct{}))
	}()
}
