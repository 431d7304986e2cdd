// Command hq-load generates load on entries or gateways and reports what callers received;
// see package loadgen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hemlockquay/internal/command"
	"hemlockquay/internal/loadgen"
	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

var (
	errGuaranteeViolated = errors.New("a guarantee to callers was violated; see the report")
	errIncomplete        = errors.New("some requests were not answered; see the report")
)

type runCommand struct {
	Config   string        `long:"config" value-name:"FILE" required:"true" description:"experiment, JSON with comments"`
	Lab      string        `long:"lab" value-name:"FILE" description:"load.jsonc of a planned run: gives the entries, the stand-in and the customers' tokens"`
	Check    bool          `long:"check" description:"check the experiment and exit"`
	Duration time.Duration `long:"duration" description:"overrides the experiment's duration"`
	JSON     string        `long:"json" value-name:"FILE" description:"also write the report as JSON"`
	Plots    string        `long:"plots" value-name:"DIR" description:"also draw charts over time as SVG files"`
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
		e.FillFrom(&lab)
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
	case !report.GuaranteesKept():
		return errGuaranteeViolated
	case c.Complete && !report.Complete():
		return errIncomplete
	}
	return nil
}

type pathCommand struct {
	Config   string        `long:"config" value-name:"FILE" required:"true" description:"load on gateways, JSON with comments"`
	Check    bool          `long:"check" description:"check the load and exit"`
	Duration time.Duration `long:"duration" description:"overrides the load's duration"`
	Complete bool          `long:"complete" description:"exit 0 only if every request got its whole answer"`
}

// Execute implements flags.Commander.
func (c *pathCommand) Execute([]string) error {
	var p loadgen.GatewayLoad
	if err := settings.Load(c.Config, &p); err != nil {
		return err
	}
	if c.Check {
		fmt.Println("load is valid")
		return nil
	}
	if c.Duration > 0 {
		p.Duration = model.Duration(c.Duration)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report := loadgen.RunGatewayLoad(ctx, &p)
	report.Text(os.Stdout)
	switch {
	case report.Wrong > 0:
		return errGuaranteeViolated
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
	os.Exit(command.Run("hq-load", os.Args[1:],
		command.Command{Name: "run", Short: "Generate load", Long: "Generate the load of an experiment and report what callers received.", Run: new(runCommand)},
		command.Command{Name: "path", Short: "Generate load on gateways", Long: "Generate load on gateways as the platform's load balancer does, and report what callers received.", Run: new(pathCommand)},
		command.Command{Name: "compare", Short: "Compare two reports", Long: "Print the figures of two JSON reports side by side.", Run: new(compareCommand)},
	))
}
