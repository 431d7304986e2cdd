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

// Lifecycle is the daemon's state, its reasons for not being ready and the sections
// of its dump. It is safe for concurrent use.
type Lifecycle struct {
	name, vm  string
	log       *log.Logger
	journal   *journal.Journal
	leaveLead time.Duration
	shutdown  fx.Shutdowner

	mu             sync.Mutex
	machine        *statechart.Machine
	notReadyReason string
	// unmet are the conditions of readiness that are not met; configured says
	// that Ready was called meanwhile.
	unmet      []string
	configured bool
	// serving stays true while the daemon is ready, and through the lead of
	// its graceful shutdown.
	serving  bool
	draining chan struct{}
	// maxDeadline is how long a request may still run.
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

// Ready says that the daemon has a configuration in force. The daemon is ready once
// all that it requires besides is met.
func (l *Lifecycle) Ready() {
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

// Require adds a condition of readiness, named by why it is not met yet. It must be
// called before Ready can be. met may be called more than once.
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
			l.Ready()
		}
	})
}

// SetNotReadyReason notes why the daemon waits; /readyz shows it.
func (l *Lifecycle) SetNotReadyReason(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notReadyReason = reason
}

// Note records a decision in the daemon's journal.
func (l *Lifecycle) Note(step, text string, subjects ...string) {
	l.journal.Add(step, text, subjects...)
}

// WaitLeaveLead waits until those that send work have been notified that the daemon leaves.
// It goes between BeginDrain and the first refusal.
// During the lead the daemon serves on, while /readyz and the heartbeats report that it leaves.
func (l *Lifecycle) WaitLeaveLead(ctx context.Context) {
	select {
	case <-time.After(l.leaveLead):
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serving = false
}

// RaiseMaxDeadline notes the longest deadline that a request may have.
// The bound of the drain follows the configuration in force, and never falls: requests of an older
// one may still run.
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

// Serving reports whether new work is taken: the daemon is ready, or leaves and is
// still in its lead.
func (l *Lifecycle) Serving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serving
}

// Drain begins the graceful shutdown. It returns at once.
func (l *Lifecycle) Drain() {
	l.BeginDrain()
	if l.shutdown != nil {
		_ = l.shutdown.Shutdown()
	}
}

// BeginDrain marks the daemon as draining, once.
func (l *Lifecycle) BeginDrain() {
	if l.fire(eventDrain) {
		close(l.draining)
	}
}

// Draining is closed when the graceful shutdown begins.
func (l *Lifecycle) Draining() <-chan struct{} { return l.draining }

// Drained says that no request is left.
func (l *Lifecycle) Drained() { l.fire(eventDrained) }

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
	l.log.Info().Str("step", "life").Str("state", string(l.machine.State())).Msg("state changed")
	return true
}

// IsReady reports whether the daemon takes work, and why not.
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

// AddDumpSection adds a part to the dump. dump must be safe for concurrent use and
// return what encoding/json can render.
func (l *Lifecycle) AddDumpSection(name string, dump func() any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sections = append(l.sections, dumpSection{name, dump})
}

// Dump is a daemon's whole state.
type Dump struct {
	Process  string      `json:"process"`
	VM       string      `json:"vm"`
	Version  string      `json:"version"`
	State    string      `json:"state"`
	Waiting  string      `json:"waiting,omitempty"`
	Sections []DumpEntry `json:"sections"`
}

// DumpEntry is the state of one part.
type DumpEntry struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
}

// maxDumpItems bounds a list in a dump: at a million groups the whole would be hundreds
// of megabytes, held in memory while it is written.
const maxDumpItems = 1000

// TruncateForDump returns the first items of a list, as many as a dump shows.
func TruncateForDump[T any](list []T) []T { return list[:min(len(list), maxDumpItems)] }

// Dump returns the state of all parts.
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
