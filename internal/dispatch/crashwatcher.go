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

// stepQuarantine is the step that is named in refusals of quarantined requests.
const stepQuarantine = "quarantine"

// Timeouts and limits of the messages between dispatchers about crashing requests.
const (
	// peerCallTimeout bounds the calls with which one message is sent to all other
	// dispatchers.
	peerCallTimeout = 300 * time.Millisecond
	// fetchInterval is how often a dispatcher that has just started requests the
	// cases of the others, until one answers.
	fetchInterval = 250 * time.Millisecond
	// maxReadyDelay is how long a dispatcher is not ready while no other dispatcher
	// has answered, enough for three listed ones that do not answer. It continues
	// to request the cases after that.
	maxReadyDelay = time.Second
	// outboxLength bounds the messages that wait to be sent. A target dies once per
	// second at most, and each death causes as many messages as the target had
	// slots.
	outboxLength = 1024
)

// crashWatcher implements Quarantine for a dispatcher, and exchanges cases with the other
// dispatchers. It is safe for concurrent use. mu is not held during calls to other
// processes.
type crashWatcher struct {
	vm       string
	clock    boottime.Clock
	feed     viewSource
	peers    *peer.Pool
	log      *log.Logger
	journal  *journal.Journal
	outbox   *ring.Ring[quarantineMessage]
	counters crashCounters
	// ready reports that this dispatcher may get requests.
	ready func()

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// journaled holds the quarantines that have been journaled.
	journaled map[quarantine.Fingerprint]bool
	// queued counts the messages put into outbox, completed those that were sent and
	// answered or timed out. progress is closed and replaced after each.
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

// awaitNotices waits until the other dispatchers have been notified of the deaths of targets
// that ran the request, for peerCallTimeout at most. It is called before the request is
// answered, so that a caller that sends the request again after the answer reaches only
// dispatchers that know of the deaths.
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

// Admit implements Quarantine.
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
		return AdmitRefuse, problem.Refuse(problem.Quarantined, stepQuarantine, w.vm, "targets died under this request; it is not run for now").WithRetryAfter(quarantine.Lifetime)
	case quarantine.NeedsPermit:
		w.enqueue(quarantineMessage{crashCase: w.tracker.Case(fp, now), pool: r.Service, requestedAt: now})
	}
	return AdmitHold, nil
}

// Started implements Quarantine.
func (w *crashWatcher) Started(target string, r *wire.Request, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Started(fingerprint(r), r.Service, target, w.clock.Now())
}

// Finished implements Quarantine.
func (w *crashWatcher) Finished(target string, r *wire.Request, answered bool, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.tracker.Finished(fingerprint(r), r.Service, target, answered, w.clock.Now())
	if c == nil {
		return
	}
	w.counters.cleared.Inc(1)
	w.journal.Add(stepQuarantine, "cleared: it ran alone and did not crash its target", r.Customer, r.Service, fingerprintName(c.Fingerprint), r.ID)
	w.enqueue(quarantineMessage{crashCase: *c})
}

// Died implements Quarantine.
func (w *crashWatcher) Died(target string, running []*wire.Request, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters.deaths.Inc(1)
	fingerprints := make([]quarantine.Fingerprint, len(running))
	service := ""
	for i, r := range running {
		fingerprints[i], service = fingerprint(r), r.Service
		w.journal.Add(stepQuarantine, "suspect: target "+target+" died while running it", r.Customer, r.Service, fingerprintName(fingerprints[i]), r.ID)
	}
	for _, c := range w.tracker.Died(fingerprints, service, target, w.clock.Now()) {
		w.journalQuarantine(&c)
		w.enqueue(quarantineMessage{crashCase: c})
	}
}

// journalQuarantine journals a quarantine the first time that it is called for it.
func (w *crashWatcher) journalQuarantine(c *quarantine.Case) {
	if !c.Quarantined() || w.journaled[c.Fingerprint] {
		return
	}
	w.journaled[c.Fingerprint] = true
	names := make([]string, len(c.Deaths))
	for i, d := range c.Deaths {
		names[i] = d.Name
	}
	w.journal.Add(stepQuarantine, fmt.Sprintf("quarantined for %v: targets died while running it: %v", quarantine.Lifetime, names), fingerprintName(c.Fingerprint))
}

func fingerprintName(fp quarantine.Fingerprint) string {
	return fmt.Sprintf("fingerprint %016x", uint64(fp))
}

// crashState is the section "quarantine" of the dump.
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
