// Package daemon is the frame that every program of a VM stands in: flags,
// checked settings, logs, metrics, the admin HTTP server, and the life from
// start to graceful shutdown.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"hemlockquay/internal/command"
	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Base is the part of the settings that all daemons share.
type Base struct {
	// VM is the name of this VM in the platform's list.
	VM string `json:"vm"`
	// DataCentre is where the VM stands.
	DataCentre string `json:"dataCentre"`
	// Admin is the IP:PORT of the admin HTTP server.
	Admin string `json:"admin"`
	// Log is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Log string `json:"log,omitempty"`
	// JournalLength is how many decisions of each step the journal keeps.
	// Default 4096.
	JournalLength int `json:"journalLength,omitempty"`
	// LeaveLead is how long a daemon that leaves still serves, so that those
	// that send work learn of it. Default 1s.
	LeaveLead model.Duration `json:"leaveLead,omitempty"`
}

// Reloadable settings know the file that they were read from.
type Reloadable interface {
	SetSource(file string)
}

const (
	defaultJournalLength = 4096
	maxJournalLength     = 1 << 20
	// defaultLeaveLead covers a report (at once), a heartbeat (150 ms), the
	// pull of the other VMs' entries, and balancers that look twice a second.
	defaultLeaveLead = model.Duration(time.Second)
	// maxLeaveLead keeps a target that leaves from new work "within a few
	// seconds" and a replacement short.
	maxLeaveLead = model.Duration(30 * time.Second)
)

// Common returns the shared part; it lets Main read any daemon's settings.
func (b *Base) Common() *Base { return b }

// CheckBase reports the first impossible value and fills in defaults.
func (b *Base) CheckBase() error {
	if b.Log == "" {
		b.Log = "info"
	}
	if b.JournalLength == 0 {
		b.JournalLength = defaultJournalLength
	}
	if b.LeaveLead == 0 {
		b.LeaveLead = defaultLeaveLead
	}
	switch {
	case b.VM == "":
		return settings.Impossible("/vm", "empty")
	case b.DataCentre == "":
		return settings.Impossible("/dataCentre", "empty")
	case b.JournalLength < 1 || b.JournalLength > maxJournalLength:
		return settings.Impossible("/journalLength", "%d is not between 1 and %d", b.JournalLength, maxJournalLength)
	case b.LeaveLead < 0 || b.LeaveLead > maxLeaveLead:
		return settings.Impossible("/leaveLead", "%v is not between 0 and %v", b.LeaveLead, maxLeaveLead)
	case log.ParseLevel(b.Log) > log.FatalLevel:
		return settings.Impossible("/log", "%q is not a level", b.Log)
	}
	return CheckAddr("/admin", b.Admin)
}

// Settings is the settings type of a daemon.
type Settings interface {
	settings.Checker
	Common() *Base
}

type options struct {
	command.VersionFlag
	Config string `long:"config" value-name:"FILE" description:"settings, JSON with comments" required:"true"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

// Main runs a daemon: it reads the settings into s, builds the fx application of
// module and runs it until SIGTERM, SIGINT or /drain. It does not return.
func Main[S Settings](name string, s S, module fx.Option) {
	os.Exit(run(name, os.Args[1:], s, module))
}

func run[S Settings](name string, args []string, s S, module fx.Option) int {
	opts := options{VersionFlag: command.NewVersionFlag(name)}
	p := flags.NewNamedParser(name, flags.Default)
	if _, err := p.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	if _, err := p.ParseArgs(args); err != nil {
		return command.Code(err)
	}
	if err := settings.Load(opts.Config, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.Usage
	}
	if r, ok := any(s).(Reloadable); ok {
		r.SetSource(opts.Config)
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return command.OK
	}
	return serve(name, s, module)
}

func serve[S Settings](name string, s S, module fx.Option) int {
	base := s.Common()
	ignoreSIGPIPE()
	logger, flush := NewLogger(name, base.VM, base.Log)
	defer func() { _ = flush() }()
	var life *Lifecycle
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		BaseModule(name, s, logger),
		fx.Populate(&life),
		module,
	)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return runApp(app, logger, signals, func() time.Duration { return life.MaxDeadline() + stopMargin })
}

// startTimeout bounds the start: listening and dialling take milliseconds.
const startTimeout = 15 * time.Second

// stopMargin is how much longer than the longest request a graceful shutdown may
// take: the lead, the last answers and the goodbye to the agent.
const stopMargin = time.Minute

// runApp runs the application to its end and returns the exit code.
// Only the first signal is read: a repeated SIGTERM must not cut off requests in flight.
func runApp(app *fx.App, logger *log.Logger, signals <-chan os.Signal, stopTimeout func() time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		logger.Error().Err(rootCause(err)).Str("step", "start").Msg("cannot start")
		return command.Failure
	}
	select {
	case <-signals:
	case <-app.Done():
	}
	logger.Info().Str("step", "stop").Msg("graceful shutdown begins")
	stop, cancelStop := context.WithTimeout(context.Background(), stopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		logger.Error().Err(err).Str("step", "stop").Msg("shutdown was not graceful")
		return command.Failure
	}
	logger.Info().Str("step", "stop").Msg("stopped")
	return command.OK
}

func rootCause(err error) error {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err
		}
		err = inner
	}
}

// NewLogger returns a logger of JSON lines on standard output that never blocks,
// and what writes the lines that wait, to be called at the end.
func NewLogger(process, vm, level string) (logger *log.Logger, flush func() error) {
	w := newLogWriter(os.Stdout)
	return &log.Logger{
		Level:   log.ParseLevel(level),
		Context: log.NewContext(nil).Str("process", process).Str("vm", vm).Value(),
		Writer:  &log.IOWriter{Writer: w},
	}, w.Close
}
