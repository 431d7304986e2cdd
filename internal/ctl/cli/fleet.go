package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"

	"hemlockquay/internal/ctl"
)

type status struct{ app *app }

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	vms, err := c.app.fleet().VMs(ctx)
	if err != nil {
		return err
	}
	return c.app.print(vms, func(w io.Writer) { writeVMs(w, vms) })
}

func writeVMs(w io.Writer, vms []ctl.VM) {
	rows := [][]string{{"VM", "DATA CENTRE", "STATE", "IN FORCE", "HELD", "WATCHES STORE", "PROBLEMS"}}
	for _, vm := range vms {
		rows = append(rows, []string{vm.Name, vm.DataCentre, vm.State, strconv.FormatUint(vm.InForce, 10),
			strconv.FormatUint(vm.Held, 10), strconv.FormatBool(vm.Watching), orDash(strings.Join(vm.Problems, "; "))})
	}
	writeTable(w, rows)
}

type dump struct {
	app  *app
	Args struct {
		VM      string `positional-arg-name:"VM" required:"yes"`
		Process string `positional-arg-name:"PROCESS" required:"yes" description:"hq-agent, hq-dispatch or hq-entry"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *dump) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	state, err := c.app.fleet().Dump(ctx, c.Args.VM, c.Args.Process)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.app.out, string(state))
	return err
}

type explain struct {
	app  *app
	Logs []string `long:"log" value-name:"FILE" description:"a collected log of one or more VMs; may be repeated. The VMs are not asked then"`
	Args struct {
		Subject string `positional-arg-name:"KEY|CUSTOMER|TARGET|REQUEST-ID"`
	} `positional-args:"yes"`
	Plot string `long:"plot" value-name:"FILE" description:"with --log and no subject: draw the requests by second, as .svg or .png"`
}

var errNoSubject = &flags.Error{Type: flags.ErrRequired, Message: "explain: a subject is required, except with --log"}

// Execute implements flags.Commander.
func (c *explain) Execute([]string) error {
	switch {
	case c.Args.Subject == "" && len(c.Logs) > 0:
		return c.summarise()
	case c.Args.Subject == "":
		return errNoSubject
	case len(c.Logs) > 0:
		account, err := ctl.ExplainLogs(c.Args.Subject, c.Logs)
		if err != nil {
			return err
		}
		return c.app.print(account, func(w io.Writer) { fmt.Fprint(w, account.Text()) })
	}
	ctx, cancel := c.app.context()
	defer cancel()
	account, err := c.app.fleet().Explain(ctx, c.Args.Subject)
	if err != nil {
		return err
	}
	return c.app.print(account, func(w io.Writer) { fmt.Fprint(w, account.Text()) })
}

// summarise prints, and with --plot draws, the requests in collected logs by outcome.
func (c *explain) summarise() error {
	sums, err := ctl.SummariseRequests(c.Logs)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := sums.Plot(c.Plot); err != nil {
			return err
		}
	}
	return c.app.print(sums, sums.Write)
}

type drill struct {
	app       *app
	Changes   int     `long:"changes" default:"20" description:"how many changes"`
	PerSecond float64 `long:"per-second" default:"1.3" description:"changes per second"`
	Args      struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drill) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	d, err := c.app.fleet().RunDrill(ctx, c.Args.Customer, c.Changes, c.PerSecond)
	if err != nil {
		return err
	}
	return c.app.print(d, func(w io.Writer) {
		fmt.Fprintf(w, "%d changes, %d daemons, %d journal entries missing\n", d.Changes, d.Daemons, d.Missing)
		writeTable(w, [][]string{
			{"ACCEPTED TO IN FORCE", "P50 MS", "P99 MS", "MAX MS"},
			append([]string{"on one daemon"}, quantileCells(d.PerDaemon)...),
			append([]string{"on the last daemon"}, quantileCells(d.Everywhere)...),
		})
	})
}

func quantileCells(s ctl.Quantiles) []string {
	return []string{fmt.Sprintf("%.1f", s.P50), fmt.Sprintf("%.1f", s.P99), fmt.Sprintf("%.1f", s.Max)}
}
