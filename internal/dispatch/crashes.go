package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/quarantine"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/ring"
	"hemlockquay/internal/wire"
)

// stepQuarantine is the step of refusals of requests that crash targets.
const stepQuarantine = "quarantine"

// Times and sizes of the gossip between dispatchers about crashing requests.
const (
	// askTimeout bounds a round of permits or notices.
	askTimeout = 300 * time.Millisecond
	// catchUpEvery is how often a dispatcher that has just started asks for
	// the cases of others, until one answers.
	catchUpEvery = 250 * time.Millisecond
	// catchUpFor is how long it takes no requests meanwhile: time for three that
	// are listed and do not answer. It goes on asking.
	catchUpFor = time.Second
	// gossipQueue is how many rounds may wait. Deaths come one a second at most
	// for each target, and each makes as many as the target had slots.
	gossipQueue = 1024
)

// crashWatch is Suspects for the running dispatcher. It is safe for concurrent
// use; mu is held for no call to another process.
type crashWatch struct {
	vm      string
	clock   boottime.Clock
	feed    viewSource
	peers   *peer.Pool
	log     *log.Logger
	journal *journal.Journal
	gossip  *ring.Ring[crashGossip]
	counts  crashCounts
	// ready says that requests may come.
	ready func()

	mu    sync.Mutex
	watch *quarantine.Tracker
	// journaled are the quarantines that stand in the journal.
	journaled map[quarantine.Fingerprint]bool
	// queued and concluded count rounds; progress is closed at each conclusion.
	queued, concluded uint64
	progress          chan struct{}
}

type crashCounts struct{ deaths, refused, permits, denied, cleared metrics.Counter }

var _ Suspects = (*crashWatch)(nil)

func newCrashWatch(vm string, f viewSource, ready func(), j *journal.Journal, logger *log.Logger, registry metrics.Registry) *crashWatch {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("quarantine."+name, registry) }
	return &crashWatch{
		vm: vm, clock: boottime.System{}, feed: f, peers: peer.NewPool(1), log: logger, journal: j, ready: ready,
		gossip:    ring.New[crashGossip]("quarantine", gossipQueue, ring.Refuse, registry),
		counts:    crashCounts{counter("deaths"), counter("refused"), counter("permits"), counter("denied"), counter("cleared")},
		watch:     quarantine.New(vm),
		journaled: make(map[quarantine.Fingerprint]bool),

		progress: make(chan struct{}),
	}
}

func fingerprint(r *wire.Request) quarantine.Fingerprint {
	return quarantine.Fingerprint(crashPrint(r))
}

// settled waits until the others were notified of the deaths under a request, askTimeout
// at most. It comes before the request's answer.
// Whoever sends the request again after its answer meets only dispatchers that know of the deaths.
func (w *crashWatch) settled(ctx context.Context, r *wire.Request) {
	w.mu.Lock()
	c := w.watch.Case(fingerprint(r), w.clock.Now())
	until := w.queued
	w.mu.Unlock()
	if !c.Suspect() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		done, progress := w.concluded >= until, w.progress
		w.mu.Unlock()
		if done {
			return
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return
		}
	}
}

// Admit implements Suspects.
func (w *crashWatch) Admit(target string, r *wire.Request, _ time.Time) (Admission, *problem.Error) {
	fp := fingerprint(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	switch w.watch.Admit(fp, r.Service, target, now) {
	case quarantine.Run:
		return AdmitRun, nil
	case quarantine.Refuse:
		w.counts.refused.Inc(1)
		return AdmitRefuse, problem.Refuse(problem.Quarantined, stepQuarantine, w.vm, "targets died under this request; it is not run for now").WithRetryAfter(quarantine.Lifetime)
	case quarantine.NeedsPermit:
		w.enqueue(crashGossip{notice: w.watch.Case(fp, now), pool: r.Service, asked: now})
	}
	return AdmitHold, nil
}

// Started implements Suspects.
func (w *crashWatch) Started(target string, r *wire.Request, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch.Started(fingerprint(r), r.Service, target, w.clock.Now())
}

// Finished implements Suspects.
func (w *crashWatch) Finished(target string, r *wire.Request, answered bool, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.watch.Finished(fingerprint(r), r.Service, target, answered, w.clock.Now())
	if c == nil {
		return
	}
	w.counts.cleared.Inc(1)
	w.journal.Add(stepQuarantine, "cleared: it ran alone and its target lived", r.Customer, r.Service, printName(c.Fingerprint), r.ID)
	w.enqueue(crashGossip{notice: *c})
}

// Died implements Suspects.
func (w *crashWatch) Died(target string, running []*wire.Request, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.deaths.Inc(1)
	prints := make([]quarantine.Fingerprint, len(running))
	service := ""
	for i, r := range running {
		prints[i], service = fingerprint(r), r.Service
		w.journal.Add(stepQuarantine, "suspect: target "+target+" died while it ran", r.Customer, r.Service, printName(prints[i]), r.ID)
	}
	for _, c := range w.watch.Died(prints, service, target, w.clock.Now()) {
		w.noteQuarantine(&c)
		w.enqueue(crashGossip{notice: c})
	}
}

// noteQuarantine enters a quarantine into the journal, once.
func (w *crashWatch) noteQuarantine(c *quarantine.Case) {
	if !c.Quarantined() || w.journaled[c.Fingerprint] {
		return
	}
	w.journaled[c.Fingerprint] = true
	names := make([]string, len(c.Deaths))
	for i, d := range c.Deaths {
		names[i] = d.Name
	}
	w.journal.Add(stepQuarantine, fmt.Sprintf("quarantined for %v: targets died under it: %v", quarantine.Lifetime, names), printName(c.Fingerprint))
}

func printName(fp quarantine.Fingerprint) string { return fmt.Sprintf("fingerprint %016x", uint64(fp)) }

// crashState is the section of the dump.
type crashState struct {
	Suspects    []quarantine.Case `json:"suspects"`
	Quarantined []quarantine.Case `json:"quarantined"`
}

func (w *crashWatch) dump() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out crashState
	for _, c := range w.watch.Cases(w.clock.Now()) {
		switch {
		case c.Quarantined():
			out.Quarantined = append(out.Quarantined, c)
		case c.Suspect():
			out.Suspects = append(out.Suspects, c)
		}
	}
	return out
}
