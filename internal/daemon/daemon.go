// Package daemon provides what the daemons of a VM have in common: flags,
// validated settings, logs, metrics, the admin HTTP server, and the lifecycle
// from start to graceful shutdown.
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
	// DataCentre is the data centre that the VM runs in.
	DataCentre string `json:"dataCentre"`
	// Admin is the IP:PORT of the admin HTTP server.
	Admin string `json:"admin"`
	// Log is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Log string `json:"log,omitempty"`
	// JournalLength is how many decisions of each step the journal keeps.
	// Default 4096.
	JournalLength int `json:"journalLength,omitempty"`
	// LeaveLead is how long a daemon that shuts down goes on serving, so that
	// senders of requests are notified first. Default 1s.
	LeaveLead model.Duration `json:"leaveLead,omitempty"`
	// AdminConnections is the number of connections to the admin HTTP server.
	// Default 64.
	AdminConnections int `json:"adminConnections,omitempty"`
	// MaxPeers is the number of connections that other daemons may have to this one.
	// Default 1024.
	MaxPeers int `json:"maxPeers,omitempty"`
	// PeerMemoryMB is the memory in MB for messages that are being received from other
	// daemons, and for answers of targets and of the store that are being read; hq-gateway counts
	// them in limits.requestMemoryMB. Default 384: the largest body takes a third of it.
	PeerMemoryMB float64 `json:"peerMemoryMB,omitempty"`
}

// Reloadable is implemented by settings that are read again while the daemon runs, from the file
// that SetSource names.
type Reloadable interface {
	SetSource(file string)
}

const (
	defaultJournalLength = 4096
	maxJournalLength     = 1 << 20
	// defaultAdminConnections has room for several monitors that poll on connections of their own.
	defaultAdminConnections = 64
	defaultMaxPeers         = 1024
	// minPeerMemoryMB has room for some messages of usual size.
	minPeerMemoryMB     = 8
	defaultPeerMemoryMB = 384
	// defaultLeaveLead covers the report to the agent (immediate), a heartbeat
	// (150 ms), the pull by the entries of the other VMs, and load balancers that
	// poll /readyz twice a second.
	defaultLeaveLead = model.Duration(time.Second)
	// maxLeaveLead bounds how long a leaving daemon takes new requests, which has to
	// end "within a few seconds", and how long the replacement of a VM takes.
	maxLeaveLead = model.Duration(30 * time.Second)
)

// Common returns the shared part of any daemon's settings; Main needs it.
func (b *Base) Common() *Base { return b }

// CheckBase fills in defaults and reports the first invalid value.
func (b *Base) CheckBase() error {
	if b.Log == "" {
		b.Log = "info"
	}
	if b.JournalLength == 0 {
		b.JournalLength = defaultJournalLength
	}
	if b.AdminConnections == 0 {
		b.AdminConnections = defaultAdminConnections
	}
	if b.AdminConnections < 1 {
		return settings.Invalid("/adminConnections", "%d is under 1", b.AdminConnections)
	}
	if b.MaxPeers == 0 {
		b.MaxPeers = defaultMaxPeers
	}
	if b.MaxPeers < 1 {
		return settings.Invalid("/maxPeers", "%d is under 1", b.MaxPeers)
	}
	if b.PeerMemoryMB == 0 {
		b.PeerMemoryMB = defaultPeerMemoryMB
	}
	if b.PeerMemoryMB < minPeerMemoryMB {
		return settings.Invalid("/peerMemoryMB", "%v is under %d", b.PeerMemoryMB, minPeerMemoryMB)
	}
	if b.LeaveLead == 0 {
		b.LeaveLead = defaultLeaveLead
	}
	switch {
	case b.VM == "":
		return settings.Invalid("/vm", "empty")
	case b.DataCentre == "":
		return settings.Invalid("/dataCentre", "empty")
	case b.JournalLength < 1 || b.JournalLength > maxJournalLength:
		return settings.Invalid("/journalLength", "%d is not between 1 and %d", b.JournalLength, maxJournalLength)
	case b.LeaveLead < 0 || b.LeaveLead > maxLeaveLead:
		return settings.Invalid("/leaveLead", "%v is not between 0 and %v", b.LeaveLead, maxLeaveLead)
	case log.ParseLevel(b.Log) > log.FatalLevel:
		return settings.Invalid("/log", "%q is not a log level", b.Log)
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

// Main runs a daemon: it reads the settings into s, builds the fx application from
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
		return command.ExitCode(err)
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

// startTimeout bounds the start of the application: listening and dialling take milliseconds.
const startTimeout = 15 * time.Second

// stopMargin is how much longer than the longest request deadline a graceful shutdown
// may take. It covers LeaveLead, the last responses and the final report to the agent.
const stopMargin = time.Minute

// runApp runs the application until a signal or a shutdown request and returns the exit code.
// Only the first signal is read: a repeated SIGTERM must not abort requests in flight.
func runApp(app *fx.App, logger *log.Logger, signals <-chan os.Signal, stopTimeout func() time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		logger.Error().Err(rootCause(err)).Str("step", "start").Msg("daemon could not start")
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
		logger.Error().Err(err).Str("step", "stop").Msg("graceful shutdown failed or timed out")
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

// NewLogger returns a non-blocking logger that writes JSON lines to standard output, and
// a function that writes the queued lines; it must be called before the process exits.
func NewLogger(process, vm, level string) (logger *log.Logger, flush func() error) {
	w := newLogWriter(os.Stdout)
	return &log.Logger{
		Level:   log.ParseLevel(level),
		Context: log.NewContext(nil).Str("process", process).Str("vm", vm).Value(),
		Writer:  &log.IOWriter{Writer: w},
	}, w.Close
}
