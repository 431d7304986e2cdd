// Command hq-load offers load to entries and reports what callers received; see
// package loadgen.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/loadgen"
	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Exit codes.
const (
	exitUnsound = 1
	exitUsage   = 2
)

type options struct {
	Config   string        `long:"config" value-name:"FILE" required:"true" description:"experiment, JSON with comments"`
	Check    bool          `long:"check" description:"check the experiment and exit"`
	Duration time.Duration `long:"duration" description:"overrides the experiment's duration"`
	JSON     string        `long:"json" value-name:"FILE" description:"also write the report as JSON"`
	Complete bool          `long:"complete" description:"exit 0 only if every request was answered"`
	Version  func()        `long:"version" description:"print the version and exit"`
}

func main() {
	var opts options
	opts.Version = func() {
		fmt.Println("hq-load", daemon.Version)
		os.Exit(0)
	}
	if _, err := flags.NewParser(&opts, flags.Default).Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	var e loadgen.Experiment
	if err := settings.Load(opts.Config, &e); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if opts.Check {
		fmt.Println("experiment is valid")
		return
	}
	if opts.Duration > 0 {
		e.Duration = model.Duration(opts.Duration)
	}
	if err := run(&e, &opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnsound)
	}
}

func run(e *loadgen.Experiment, opts *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := loadgen.Run(ctx, e)
	if err != nil {
		return err
	}
	report.Text(os.Stdout)
	if opts.JSON != "" {
		text, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return fmt.Errorf("encode report: %w", err)
		}
		if err := os.WriteFile(opts.JSON, text, 0o644); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	if !report.Sound() {
		return fmt.Errorf("a promise to callers was broken")
	}
	if opts.Complete && !report.Complete() {
		return fmt.Errorf("not every request was answered")
	}
	return nil
}
