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
	// peerCallTimeout bounds a round of permits or notices.
	peerCallTimeout = 300 * time.Millisecond
	// fetchInterval is how often a dispatcher that has just started asks for
	// the cases of others, until one answers.
	fetchInterval = 250 * time.Millisecond
	// maxReadyDelay is how long it takes no requests meanwhile: time for three that
	// are listed and do not answer. It goes on asking.
	maxReadyDelay = time.Second
	// outboxLength is how many rounds may wait. Deaths come one a second at most
	// for each target, and each makes as many as the target had slots.
	outboxLength = 1024
)

// crashWatcher is Suspects for the running dispatcher. It is safe for concurrent
// use; mu is held for no call to another process.
type crashWatcher struct {
	vm       string
	clock    boottime.Clock
	feed     viewSource
	peers    *peer.Pool
	log      *log.Logger
	journal  *journal.Journal
	outbox   *ring.Ring[quarantineMessage]
	counters crashCounters
	// ready says that requests may come.
	ready func()

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// journaled are the quarantines that stand in the journal.
	journaled map[quarantine.Fingerprint]bool
	// queued and completed count rounds; progress is closed at each conclusion.
	queued, completed uint64
	progress          chan struct{}
}

type crashCounters struct{ deaths, refused, permits, denied, cleared metrics.Counter }

var _ Quarantine = (*crashWatcher)(nil)

func newCrashWatcher(vm string, f viewSource, ready func(), j *journal.Journal, logger *log.Logger, registry metrics.Registry) *crashWatcher {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("quarantine."+name, registry) }
	return &crashWatcher{
		vm: vm, clock: boottime.System{}, feed: f, peers: peer.NewPool(1), log: logger, journal: j, ready: ready,
		outbox:    ring.New[quarantineMessage]("quarantine", outboxLength, ring.Refuse, registry),
		counters:  crashCounters{counter("deaths"), counter("refused"), counter("permits"), counter("denied"), counter("cleared")},
		tracker:   quarantine.New(vm),
		journaled: make(map[quarantine.Fingerprint]bool),

		progress: make(chan struct{}),
	}
}

func fingerprint(r *wire.Request) quarantine.Fingerprint {
	return quarantine.Fingerprint(crashFingerprint(r))
}

// awaitNotices waits until the others were notified of the deaths under a request, askTimeout
// at most. It comes before the request's answer.
// Whoever sends the request again after its answer meets only dispatchers that know of the deaths.
func (w *crashWatcher) awaitNotices(ctx context.Context, r *wire.Request) {
	w.mu.Lock()
	c := w.tracker.Case(fingerprint(r), w.clock.Now())
	until := w.queued
	w.mu.Unlock()
	if !c.Suspect() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	for {
		w.mu.Lock()
		done, progress := w.completed >= until, w.progress
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
func (w *crashWatcher) Admit(target string, r *wire.Request, _ time.Time) (Admission, *problem.Error) {
	fp := fingerprint(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	switch w.tracker.Admit(fp, r.Service, target, now) {
	case quarantine.Run:
		return AdmitRun, nil
	case quarantine.Refuse:
		w.counters.refused.Inc(1)
		return AdmitRefuse, problem.Refuse(problem.Quarantined, stepQuarantine, w.vm, "targets died under this request; it is not run for now").After(quarantine.Lifetime)
	case quarantine.NeedsPermit:
		w.enqueue(quarantineMessage{crashCase: w.tracker.Case(fp, now), pool: r.Service, requestedAt: now})
	}
	return AdmitHold, nil
}

// Started implements Suspects.
func (w *crashWatcher) Started(target string, r *wire.Request, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Started(fingerprint(r), r.Service, target, w.clock.Now())
}

// Finished implements Suspects.
func (w *crashWatcher) Finished(target string, r *wire.Request, answered bool, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.tracker.Finished(fingerprint(r), r.Service, target, answered, w.clock.Now())
	if c == nil {
		return
	}
	w.counters.cleared.Inc(1)
	w.journal.Add(stepQuarantine, "cleared: it ran alone and its target lived", r.Customer, r.Service, fingerprintName(c.Fingerprint), r.ID)
	w.enqueue(quarantineMessage{crashCase: *c})
}

// Died implements Suspects.
func (w *crashWatcher) Died(target string, running []*wire.Request, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters.deaths.Inc(1)
	fingerprints := make([]quarantine.Fingerprint, len(running))
	service := ""
	for i, r := range running {
		fingerprints[i], service = fingerprint(r), r.Service
		w.journal.Add(stepQuarantine, "suspect: target "+target+" died while it ran", r.Customer, r.Service, fingerprintName(fingerprints[i]), r.ID)
	}
	for _, c := range w.tracker.Died(fingerprints, service, target, w.clock.Now()) {
		w.journalQuarantine(&c)
		w.enqueue(quarantineMessage{crashCase: c})
	}
}

// journalQuarantine enters a quarantine into the journal, once.
func (w *crashWatcher) journalQuarantine(c *quarantine.Case) {
	if !c.Quarantined() || w.journaled[c.Fingerprint] {
		return
	}
	w.journaled[c.Fingerprint] = true
	names := make([]string, len(c.Deaths))
	for i, d := range c.Deaths {
		names[i] = d.Name
	}
	w.journal.Add(stepQuarantine, fmt.Sprintf("quarantined for %v: targets died under it: %v", quarantine.Lifetime, names), fingerprintName(c.Fingerprint))
}

func fingerprintName(fp quarantine.Fingerprint) string {
	return fmt.Sprintf("fingerprint %016x", uint64(fp))
}

// crashState is the section of the dump.
type crashState struct {
	Suspects    []quarantine.Case `json:"suspects"`
	Quarantined []quarantine.Case `json:"quarantined"`
}

func (w *crashWatcher) dump() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out crashState
	for _, c := range w.tracker.Cases(w.clock.Now()) {
		switch {
		case c.Quarantined():
			out.Quarantined = append(out.Quarantined, c)
		case c.Suspect():
			out.Suspects = append(out.Suspects, c)
		}
	}
	return out
}
