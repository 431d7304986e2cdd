// Package cli implements the command line of hqctl. Commands print text by default and
// JSON on request, and return an exit code for each outcome that scripts distinguish.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"hemlockquay/internal/command"
	"hemlockquay/internal/ctl"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/platform/objectapi"
	"hemlockquay/internal/settings"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailure: the store or a VM did not answer or returned an error.
	ExitFailure = 1
	// ExitUsage: the command line or a file is invalid.
	ExitUsage = 2
	// ExitConflict: the stored version is not the one read, or diff found a
	// difference. Nothing was written.
	ExitConflict = 3
	// ExitLagging: the version is stored, but was not in force on all VMs before
	// --wait timed out.
	ExitLagging = 4
)

var errDiffers = errors.New("the file differs from the stored object")

// options are the flags that all commands accept.
type options struct {
	Store   string        `long:"store" env:"HQ_STORE" description:"base URL of the platform's object API"`
	Agents  []string      `long:"agent" env:"HQ_AGENTS" env-delim:"," value-name:"IP:PORT" description:"admin address of an agent, for when the store is down; may be repeated"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"bound on the whole command, --wait included"`
	JSON    bool          `long:"json" description:"print JSON"`
	Version func()        `long:"version" description:"print the version and exit"`
}

// app holds the options and output streams of one run of hqctl.
type app struct {
	options
	out, log io.Writer
}

func (a *app) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), a.Timeout)
}

func (a *app) store() platform.Store { return objectapi.New(a.options.Store) }

func (a *app) fleet() *ctl.Fleet {
	return &ctl.Fleet{Store: a.store(), Agents: a.Agents, HTTP: ctl.NewHTTPClient()}
}

// print writes v as JSON if --json is given, else it calls writeText.
func (a *app) print(v any, writeText func(io.Writer)) error {
	if !a.JSON {
		writeText(a.out)
		return nil
	}
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	_, err = fmt.Fprintln(a.out, string(text))
	return err
}

// writeTable writes rows in aligned columns; the first row is the heading.
func writeTable(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, cell)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}

// Run executes the command line and returns the exit code.
func Run(args []string, out, log io.Writer) int {
	a := &app{out: out, log: log}
	exit := -1
	a.options.Version = func() {
		fmt.Fprintln(out, "hqctl", command.Version)
		exit = ExitOK
	}
	p := flags.NewNamedParser("hqctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &a.options); err != nil {
		panic(err)
	}
	a.addCommands(p)
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if c == nil || exit >= 0 {
			return nil
		}
		return c.Execute(rest)
	}
	_, err := p.ParseArgs(args)
	if exit >= 0 {
		return exit
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return ExitOK
	}
	return a.report(err)
}

// report logs the error and returns its exit code. With --json it also prints a conflict
// or lag error as JSON.
func (a *app) report(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(a.log, err)
	var conflict *ctl.ConflictError
	var lagging *ctl.LagError
	if a.JSON && errors.As(err, &conflict) {
		_ = a.print(conflict, nil)
	}
	if a.JSON && errors.As(err, &lagging) {
		_ = a.print(lagging, nil)
	}
	return Code(err)
}

// Code returns the exit code of an error.
func Code(err error) int {
	var usage *flags.Error
	var invalid *settings.Error
	var lagging *ctl.LagError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &lagging):
		return ExitLagging
	case errors.Is(err, platform.ErrConflict), errors.Is(err, errDiffers):
		return ExitConflict
	case errors.As(err, &usage), errors.As(err, &invalid), errors.Is(err, os.ErrNotExist):
		return ExitUsage
	}
	return ExitFailure
}

func (a *app) addCommands(p *flags.Parser) {
	for _, kind := range []model.Kind{model.KindContract, model.KindService} {
		group := mustAdd(p.AddCommand(string(kind), "Manage "+string(kind)+" objects", "", &struct{}{}))
		base := objectCommand{app: a, kind: kind}
		mustAdd(group.AddCommand("get", "Print an object with its version, as a file for apply", "", &get{objectCommand: base}))
		mustAdd(group.AddCommand("list", "List all objects", "", &list{objectCommand: base}))
		mustAdd(group.AddCommand("check", "Validate files in the same way as agents and daemons do", "", &check{objectCommand: base}))
		mustAdd(group.AddCommand("diff", "Compare a file with the stored object", "", &diff{objectCommand: base}))
		mustAdd(group.AddCommand("apply", "Write objects from files", "", &apply{objectCommand: base}))
		mustAdd(group.AddCommand("delete", "Delete an object if its version is still the one read", "", &remove{objectCommand: base}))
	}
	mustAdd(p.AddCommand("status", "Show all VMs and the revision in force on each", "", &status{app: a}))
	mustAdd(p.AddCommand("dump", "Print the complete state of a daemon", "", &dump{app: a}))
	mustAdd(p.AddCommand("drill", "Measure how long changes of a contract take to come into force on all daemons", "", &drill{app: a}))
	mustAdd(p.AddCommand("explain", "Show what the VMs did about a key, customer, target, service or request ID; with --log and no subject, summarise how all requests ended", "", &explain{app: a}))
}

func mustAdd(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}
