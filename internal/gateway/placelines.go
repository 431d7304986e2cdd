package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/places"
	"hemlockquay/internal/pause"
)

const (
	// readyTimeout bounds the call that tells another VM that its request has a place. Without an answer in that time
	// the place goes to the next request.
	readyTimeout = 300 * time.Millisecond
	// lineSweepInterval is how often places are freed whose requests have ended without a return.
	lineSweepInterval = 100 * time.Millisecond
)

// PlaceArgs asks the holder of an owner for a place for one request.
type PlaceArgs struct {
	Target string `msgpack:"t"`
	Born   int64  `msgpack:"b"`
	// Slots is the number of requests that the owner runs at a time.
	Slots   int            `msgpack:"s"`
	Request places.Request `msgpack:"r"`
}

// PlaceReply is the answer of a VM that was asked for a place.
type PlaceReply struct {
	// Holds is false if the VM does not keep lines of owners.
	Holds    bool            `msgpack:"h"`
	Decision places.Decision `msgpack:"d"`
}

// PlaceReturn returns a place, or ends the wait for one.
type PlaceReturn struct {
	Target string    `msgpack:"t"`
	ID     places.ID `msgpack:"i"`
}

// PlaceReady says that a request that has waited has a place.
type PlaceReady struct {
	Incarnation uint64 `msgpack:"i"`
	Number      uint64 `msgpack:"n"`
	Load        int    `msgpack:"l"`
}

// Places is the RPC service through which other VMs ask for places at the owners whose lines this VM holds.
type Places struct{ gateway *Gateway }

// Take decides about a place.
func (p Places) Take(in *PlaceArgs, out *PlaceReply) error {
	*out = p.gateway.givePlace(in)
	return nil
}

// Return frees a place.
func (p Places) Return(in *PlaceReturn, _ *struct{}) error {
	p.gateway.lines.giveBack(in)
	return nil
}

// Ready passes a place to a request of this VM that waits for it. It returns whether the request still waits.
func (p Places) Ready(in *PlaceReady, waits *bool) error {
	*waits = in.Incarnation == p.gateway.self.Incarnation && p.gateway.places.deliver(in.Number, in.Load)
	return nil
}

// placeLines are the lines of the owners whose holder this VM is. It is safe for concurrent use.
type placeLines struct {
	now func() time.Duration
	// notify passes a place to the VM whose request has waited for it.
	notify func(target string, g places.Grant)

	waited metrics.Timer

	mu    sync.Mutex
	lines map[string]*ownerLine
}

// ownerLine is the line of one incarnation of an owner.
type ownerLine struct {
	*places.Line
	born int64
}

func newPlaceLines(now func() time.Duration, registry metrics.Registry, notify func(string, places.Grant)) *placeLines {
	return &placeLines{now: now, notify: notify, waited: metrics.GetOrRegisterTimer("places.line", registry), lines: make(map[string]*ownerLine)}
}

// take decides about a place. A new incarnation of an owner begins with an empty line: what ran at the one before has
// ended with it.
func (p *placeLines) take(in *PlaceArgs) places.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lines[in.Target]
	if l == nil || l.born < in.Born {
		l = &ownerLine{Line: places.NewLine(in.Slots), born: in.Born}
		p.lines[in.Target] = l
	}
	now := p.now()
	p.serveLocked(in.Target, l, now)
	return l.Take(in.Request, now)
}

// giveBack frees a place and gives it to the next request.
func (p *placeLines) giveBack(in *PlaceReturn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.lines[in.Target]; l != nil {
		l.Return(in.ID)
		p.serveLocked(in.Target, l, p.now())
	}
}

// serveLocked gives out the free places of a line. It needs p.mu.
func (p *placeLines) serveLocked(target string, l *ownerLine, now time.Duration) {
	for _, g := range l.Next(now) {
		p.waited.Update(g.Waited)
		go p.notify(target, g)
	}
}

// sweep periodically frees places whose requests have ended, and drops lines that nobody uses.
func (p *placeLines) sweep(ctx context.Context) {
	for pause.For(ctx, lineSweepInterval) {
		p.mu.Lock()
		now := p.now()
		for target, l := range p.lines {
			p.serveLocked(target, l, now)
			if l.Idle() {
				delete(p.lines, target)
			}
		}
		p.mu.Unlock()
	}
}

// count returns the number of lines, and of the requests that have a place and that wait in them.
func (p *placeLines) count() (lines, running, waiting int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		running += int64(l.Running())
		waiting += int64(l.Waiting())
	}
	return int64(len(p.lines)), running, waiting
}

// dump returns the lines, by target.
func (p *placeLines) dump() []lineDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []lineDump
	for _, target := range slices.Sorted(maps.Keys(p.lines)) {
		l := p.lines[target]
		out = append(out, lineDump{Target: target, Running: l.Running(), Waiting: l.Waiting()})
	}
	return out
}

// givePlace decides about a place as the holder of an owner. A VM that is leaving, or does not know the other VMs, holds
// no lines.
func (g *Gateway) givePlace(in *PlaceArgs) PlaceReply {
	if g.leaving.Load() || !g.joined.Load() {
		return PlaceReply{}
	}
	return PlaceReply{Holds: true, Decision: g.lines.take(in)}
}

// notifyReady tells the VM of a request that it has a place. If the request does not wait any more, the next one gets it.
func (g *Gateway) notifyReady(target string, grant places.Grant) {
	waits := false
	if grant.ID.VM == g.self.VM {
		waits = g.places.deliver(grant.ID.Number, grant.Load)
	} else {
		ctx, cancel := context.WithTimeout(g.ctx, readyTimeout)
		defer cancel()
		in := &PlaceReady{Incarnation: grant.ID.Incarnation, Number: grant.ID.Number, Load: grant.Load}
		if err := g.mesh.Call(ctx, grant.ID.VM, "Places.Ready", in, &waits); err != nil {
			g.places.undelivered.Inc(1)
		}
	}
	if !waits {
		g.lines.giveBack(&PlaceReturn{Target: target, ID: grant.ID})
	}
}
