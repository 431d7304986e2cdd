package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"hemlockquay/charts"
	"hemlockquay/internal/command"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/statechart"
)

// Events and states of charts/daemon.jsonc.
const (
	eventConfigured statechart.Event = "configured"
	eventDrain      statechart.Event = "drain"
	eventDrained    statechart.Event = "drained"

	stateReady   statechart.State = "ready"
	stateStopped statechart.State = "stopped"
)

// Lifecycle holds the state of the daemon, its reasons for not being ready and the
// sections of its dump. It is safe for concurrent use.
type Lifecycle struct {
	name, vm  string
	log       *log.Logger
	journal   *journal.Journal
	leaveLead time.Duration
	shutdown  fx.Shutdowner

	mu             sync.Mutex
	machine        *statechart.Machine
	notReadyReason string
	// unmet lists the readiness conditions that are not met yet; configured is
	// true once MarkConfigured has been called.
	unmet      []string
	configured bool
	// serving is true while the daemon is ready, and during leaveLead, the first
	// part of its graceful shutdown.
	serving  bool
	draining chan struct{}
	// maxDeadline is the longest deadline that a request may have.
	maxDeadline time.Duration
	sections    []dumpSection
	admin       string
}

type dumpSection struct {
	name string
	dump func() any
}

func newLifecycle(name string, base *Base, logger *log.Logger, j *journal.Journal, sh fx.Shutdowner) *Lifecycle {
	return &Lifecycle{
		name:           name,
		vm:             base.VM,
		log:            logger,
		journal:        j,
		leaveLead:      base.LeaveLead.D(),
		shutdown:       sh,
		machine:        charts.MustLoad("daemon").Start(),
		notReadyReason: "no configuration yet",
		draining:       make(chan struct{}),
	}
}

// MarkConfigured reports to the lifecycle that a configuration is in force. The daemon becomes
// ready once all conditions added by Require are met as well.
func (l *Lifecycle) MarkConfigured() {
	l.mu.Lock()
	l.configured = true
	missing := len(l.unmet) > 0
	if missing {
		l.notReadyReason = l.unmet[0]
	}
	l.mu.Unlock()
	if !missing {
		l.fire(eventConfigured)
	}
}

// Require adds a readiness condition; reason says what is missing until met is called.
// All calls of Require must precede the first call of MarkConfigured. met may be called more than once.
func (l *Lifecycle) Require(reason string) (met func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unmet = append(l.unmet, reason)
	return sync.OnceFunc(func() {
		l.mu.Lock()
		i := slices.Index(l.unmet, reason)
		l.unmet = slices.Delete(l.unmet, i, i+1)
		configured := l.configured
		l.mu.Unlock()
		if configured {
			l.MarkConfigured()
		}
	})
}

// SetNotReadyReason sets the reason that /readyz shows until the daemon is ready.
func (l *Lifecycle) SetNotReadyReason(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notReadyReason = reason
}

// AddJournalEntry adds a decision to the daemon's journal.
func (l *Lifecycle) AddJournalEntry(step, text string, subjects ...string) {
	l.journal.Add(step, text, subjects...)
}

// WaitLeaveLead waits for the setting LeaveLead, or until ctx ends, and then stops Serving.
// It is called after BeginDrain and before the first request is refused. Meanwhile the daemon
// goes on serving, and /readyz and the heartbeats tell senders of requests that it is leaving.
func (l *Lifecycle) WaitLeaveLead(ctx context.Context) {
	select {
	case <-time.After(l.leaveLead):
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serving = false
}

// RaiseMaxDeadline raises the longest deadline that a request may have to d, if d is longer.
// The time limit of the drain follows the configuration in force, but never falls: requests
// accepted under an older configuration may still run.
func (l *Lifecycle) RaiseMaxDeadline(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxDeadline = max(l.maxDeadline, d)
}

// MaxDeadline returns the longest deadline that a request may have.
func (l *Lifecycle) MaxDeadline() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxDeadline
}

// Serving reports whether new requests are accepted: the daemon is ready, or is draining
// and LeaveLead has not passed yet.
func (l *Lifecycle) Serving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serving
}

// Drain begins the graceful shutdown and returns without waiting for it.
func (l *Lifecycle) Drain() {
	l.BeginDrain()
	if l.shutdown != nil {
		_ = l.shutdown.Shutdown()
	}
}

// BeginDrain marks the daemon as draining. Further calls have no effect.
func (l *Lifecycle) BeginDrain() {
	if l.fire(eventDrain) {
		close(l.draining)
	}
}

// Draining returns a channel that is closed when the graceful shutdown begins.
func (l *Lifecycle) Draining() <-chan struct{} { return l.draining }

// MarkDrained marks the daemon as stopped: no request is in flight.
func (l *Lifecycle) MarkDrained() { l.fire(eventDrained) }

func (l *Lifecycle) fire(e statechart.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Fire(e); err != nil {
		return false
	}
	switch l.machine.State() {
	case stateReady:
		l.serving = true
	case stateStopped:
		l.serving = false
	}
	l.log.Info().Str("step", "life").Str("state", string(l.machine.State())).Msg("daemon state changed")
	return true
}

// IsReady reports whether the daemon is ready, and the reason if it is not.
func (l *Lifecycle) IsReady() (bool, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state := l.machine.State(); state {
	case stateReady:
		return true, ""
	case l.machine.Chart().Initial:
		return false, l.notReadyReason
	default:
		return false, string(state)
	}
}

// AdminAddr returns the address on which the admin server listens.
func (l *Lifecycle) AdminAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admin
}

// AddDumpSection adds a section to the dump. dump must be safe for concurrent use and
// return a value that encoding/json can encode.
func (l *Lifecycle) AddDumpSection(name string, dump func() any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sections = append(l.sections, dumpSection{name, dump})
}

// Dump is the state of a daemon, as /dump shows it.
type Dump struct {
	Process  string      `json:"process"`
	VM       string      `json:"vm"`
	Version  string      `json:"version"`
	State    string      `json:"state"`
	Waiting  string      `json:"waiting,omitempty"`
	Sections []DumpEntry `json:"sections"`
}

// DumpEntry is one section of a Dump.
type DumpEntry struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
}

// maxDumpItems bounds the length of a list in a dump: with a million groups a full list
// would take hundreds of megabytes, held in memory while it is written.
const maxDumpItems = 1000

// TruncateForDump returns the first items of a list, at most as many as a dump shows.
func TruncateForDump[T any](list []T) []T { return list[:min(len(list), maxDumpItems)] }

// Dump returns the state of the daemon with all sections.
func (l *Lifecycle) Dump() Dump {
	ready, why := l.IsReady()
	l.mu.Lock()
	d := Dump{Process: l.name, VM: l.vm, Version: command.Version, State: string(l.machine.State())}
	sections := l.sections
	l.mu.Unlock()
	if !ready {
		d.Waiting = why
	}
	for _, s := range sections {
		d.Sections = append(d.Sections, DumpEntry{Name: s.name, Value: s.dump()})
	}
	return d
}
