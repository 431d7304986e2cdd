// Package places decides which requests run at the owner of a key, and in which order others wait for it.
//
// Load pattern: the requests for an owner arrive at all VMs, and an owner has room for a few. The VMs know of each other's
// requests only from heartbeats, which in a large fleet are older than a request lasts. So they overrun an owner together
// while each believes it to be idle, and refuse requests because of load that is long gone. Some targets reset the
// connection of a request that they have no room for, which says nothing about whether it ran, so a request that must not
// be repeated is lost.
//
// One VM, the holder, keeps the line of an owner: a request runs only with a place from it. Requests without a place wait
// in order of urgency and arrival, as long as they can still be answered within their objective. A request for which that
// is not so is refused at once, and asked to return when the line has room.
//
// Invariant: a holder gives out at most roomFactor places for each slot of the owner. Two VMs that take themselves for the
// holder, as while one is being replaced, stay below what targets run and queue together; three do not.
package places

import (
	"slices"
	"time"
)

const (
	// roomFactor is the number of places for each slot: one request runs, and one waits at the owner, so that a slot is
	// not idle while the next place is given out. Targets queue about four times their slots.
	roomFactor = 2
	// yieldEvery makes each fourth place go to the request that has waited longest, whatever its urgency. Otherwise
	// urgent requests that fill an owner would leave nothing to others.
	yieldEvery = 4
	// maxWaiting bounds the requests in a line.
	maxWaiting = 256
	// maxHold bounds Request.Hold, which another VM states: longer than any request lasts.
	maxHold = time.Minute
	// maxRetryAfter bounds the time after which a refused caller is asked to return.
	maxRetryAfter = time.Second
	// objectiveShare is the part of its objective in which a request is expected to be answered when it is accepted. Service
	// times vary, more urgent requests may arrive, and the answer needs its way back.
	objectiveShare = 0.75
	// serviceSamples is the number of requests over which the service time is averaged.
	serviceSamples = 8
)

// ID identifies a request. VM and Incarnation name the process that asks for the place.
type ID struct {
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	Number      uint64 `msgpack:"n"`
}

// Request asks for a place.
type Request struct {
	ID ID `msgpack:"i"`
	// Priority is the urgency of the request; 0 is the highest.
	Priority int `msgpack:"p"`
	// Service is the expected time that the owner works on the request.
	Service time.Duration `msgpack:"s"`
	// Patience is the longest wait that leaves the caller an answer of use.
	Patience time.Duration `msgpack:"w"`
	// Hold is the time after which the request has ended in any case, so that its place is free even if its VM is lost.
	Hold time.Duration `msgpack:"h"`
}

// Patience returns the longest wait of a request that has an objective and a deadline as far ahead, and takes as long as
// expected. An owner so slow that its answers are late even without a wait still serves some.
func Patience(objective, timeLeft, expected time.Duration) time.Duration {
	wanted := time.Duration(objectiveShare*float64(min(objective, timeLeft))) - expected
	return max(wanted, min(expected, timeLeft-expected)/2)
}

// Verdict says what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Refused: the request is not to be sent.
	Refused Verdict = iota
	// Granted: the request has a place.
	Granted
	// Waiting: the request is in the line, and gets a place later.
	Waiting
)

// Decision is the answer to a request for a place.
type Decision struct {
	Verdict Verdict `msgpack:"v"`
	// Load is the number of places that were given out before this one.
	Load int `msgpack:"l"`
	// Wait is the expected time until the request gets a place, or would get one.
	Wait time.Duration `msgpack:"w"`
	// RetryAfter is the time after which the caller of a refused request should return.
	RetryAfter time.Duration `msgpack:"r"`
}

// Grant is a place for a request that has waited. Load is as in Decision.
type Grant struct {
	ID   ID
	Load int
	// Waited is the time that the request was in the line.
	Waited time.Duration
}

// Line is the line of requests for one owner. It is not safe for concurrent use.
type Line struct {
	slots   int
	service time.Duration
	// running holds when the places that are given out are free in any case.
	running map[ID]time.Duration
	// waiting is in order of urgency, then of arrival.
	waiting []waiter
	grants  int
	// latestRetry is the latest time for which a refused caller was asked to return.
	latestRetry time.Duration
}

type waiter struct {
	Request
	since time.Duration
}

func (w waiter) endsAt() time.Duration { return w.since + w.Hold }

// NewLine returns the line of an owner that runs as many requests at a time as it has slots.
func NewLine(slots int) *Line {
	return &Line{slots: max(slots, 1), running: make(map[ID]time.Duration)}
}

func (l *Line) room() int { return roomFactor * l.slots }

// Idle reports whether no request has a place or waits for one.
func (l *Line) Idle() bool { return len(l.running)+len(l.waiting) == 0 }

// Running and Waiting return the number of requests with a place, and of those that wait.
func (l *Line) Running() int { return len(l.running) }

// Waiting is described at Running.
func (l *Line) Waiting() int { return len(l.waiting) }

// Take decides about a request. Call Next before, so that free places go to those that wait.
func (l *Line) Take(r Request, now time.Duration) Decision {
	r.Hold = min(r.Hold, maxHold)
	l.observe(r.Service)
	if len(l.running) < l.room() && len(l.waiting) == 0 {
		return Decision{Verdict: Granted, Load: l.run(r, now)}
	}
	ahead, _ := slices.BinarySearchFunc(l.waiting, r.Priority+1, func(w waiter, priority int) int { return w.Priority - priority })
	wait := l.waitBehind(len(l.running) + ahead)
	if wait > r.Patience || len(l.waiting) >= maxWaiting {
		return Decision{Verdict: Refused, Load: len(l.running), Wait: wait, RetryAfter: l.retryAfter(wait-r.Patience, now)}
	}
	l.waiting = slices.Insert(l.waiting, ahead, waiter{Request: r, since: now})
	return Decision{Verdict: Waiting, Load: len(l.running), Wait: wait}
}

// Return frees the place of a request, or ends its wait.
func (l *Line) Return(id ID) {
	delete(l.running, id)
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool { return w.ID == id })
}

// Next gives out the places that are free.
func (l *Line) Next(now time.Duration) []Grant {
	l.expire(now)
	var out []Grant
	for len(l.running) < l.room() && len(l.waiting) > 0 {
		i := l.nextIndex()
		w := l.waiting[i]
		l.waiting = slices.Delete(l.waiting, i, i+1)
		w.Hold -= now - w.since
		out = append(out, Grant{ID: w.ID, Load: l.run(w.Request, now), Waited: now - w.since})
	}
	return out
}

// nextIndex returns the index of the request that gets the next place.
func (l *Line) nextIndex() int {
	if (l.grants+1)%yieldEvery != 0 {
		return 0
	}
	oldest := 0
	for i, w := range l.waiting {
		if w.since < l.waiting[oldest].since {
			oldest = i
		}
	}
	return oldest
}

// run gives a request a place and returns the number of those given out before.
func (l *Line) run(r Request, now time.Duration) (load int) {
	load = len(l.running)
	l.running[r.ID] = now + r.Hold
	l.grants++
	return load
}

// expire frees the places of requests that have ended in any case.
func (l *Line) expire(now time.Duration) {
	for id, end := range l.running {
		if now >= end {
			delete(l.running, id)
		}
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool { return now >= w.endsAt() })
}

func (l *Line) observe(service time.Duration) {
	if l.service == 0 {
		l.service = service
	}
	l.service += (service - l.service) / serviceSamples
}

// waitBehind returns how long a request waits for a slot behind as many others.
func (l *Line) waitBehind(others int) time.Duration {
	return l.service * time.Duration(max(0, others+1-l.slots)) / time.Duration(l.slots)
}

// retryAfter returns when a refused caller should return: when the line has room for it, and each caller when a further
// slot is free, so that they do not meet again.
func (l *Line) retryAfter(tooLong, now time.Duration) time.Duration {
	at := max(now+max(tooLong, 0), l.latestRetry) + l.service/time.Duration(l.slots)
	l.latestRetry = min(at, now+maxRetryAfter)
	return l.latestRetry - now
}
