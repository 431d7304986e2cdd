// Command hq-load offers load to entries and reports what callers received; see
// package loadgen.
package main

import (
	"context"
	"errors"
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

var (
	errUnsound    = errors.New("a promise to callers was broken")
	errIncomplete = errors.New("not every request was answered")
)

type runCommand struct {
	Config   string        `long:"config" value-name:"FILE" required:"true" description:"experiment, JSON with comments"`
	Lab      string        `long:"lab" value-name:"FILE" description:"load.jsonc of a planned run: gives the entries, the stand-in and the customers' tokens"`
	Check    bool          `long:"check" description:"check the experiment and exit"`
	Duration time.Duration `long:"duration" description:"overrides the experiment's duration"`
	JSON     string        `long:"json" value-name:"FILE" description:"also write the report as JSON"`
	Plots    string        `long:"plots" value-name:"DIR" description:"also draw the course as SVG files"`
	Complete bool          `long:"complete" description:"exit 0 only if every request was answered"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	var e loadgen.Experiment
	if err := settings.Load(c.Config, &e); err != nil {
		return err
	}
	if c.Lab != "" {
		var lab loadgen.Experiment
		if err := settings.Load(c.Lab, &lab); err != nil {
			return err
		}
		e.TakePlaces(&lab)
	}
	if c.Check {
		fmt.Println("experiment is valid")
		return nil
	}
	if c.Duration > 0 {
		e.Duration = model.Duration(c.Duration)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := loadgen.Run(ctx, &e)
	if err != nil {
		return err
	}
	return c.show(report)
}

func (c *runCommand) show(report *loadgen.Report) error {
	report.Text(os.Stdout)
	if c.JSON != "" {
		if err := loadgen.WriteReport(c.JSON, report); err != nil {
			return err
		}
	}
	if c.Plots != "" {
		if err := report.Plot(c.Plots); err != nil {
			return err
		}
	}
	switch {
	case !report.Sound():
		return errUnsound
	case c.Complete && !report.Complete():
		return errIncomplete
	}
	return nil
}

type compareCommand struct {
	Args struct {
		Before string `positional-arg-name:"BEFORE.json"`
		After  string `positional-arg-name:"AFTER.json"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	before, err := loadgen.ReadReport(c.Args.Before)
	if err != nil {
		return err
	}
	after, err := loadgen.ReadReport(c.Args.After)
	if err != nil {
		return err
	}
	loadgen.Compare(os.Stdout, before, after)
	return nil
}

func main() {
	var global struct {
		Version func() `long:"version" description:"print the version and exit"`
	}
	global.Version = func() {
		fmt.Println("hq-load", daemon.Version)
		os.Exit(0)
	}
	p := flags.NewParser(&global, flags.Default)
	must(p.AddCommand("run", "Offer load", "Offer an experiment's load and report what callers received.", new(runCommand)))
	must(p.AddCommand("compare", "Compare two reports", "Print the figures of two JSON reports side by side.", new(compareCommand)))
	if _, err := p.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

func must(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}

func exitCode(err error) int {
	var usage *flags.Error
	var bad *settings.Error
	switch {
	case flags.WroteHelp(err):
		return 0
	case errors.As(err, &usage), errors.As(err, &bad):
		return exitUsage
	}
	return exitUnsound
}
