// Command hq-standin plays the outside systems for demos and experiments: the
// platform's object store and the target servers; see package standin.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/settings"
	"hemlockquay/internal/standin"
	"hemlockquay/internal/standin/plan"
)

type runCommand struct {
	Config string `long:"config" value-name:"FILE" required:"true" description:"settings, JSON with comments"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	var s standin.Settings
	if err := settings.Load(c.Config, &s); err != nil {
		return err
	}
	if c.Check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return standin.Run(ctx, &s)
}

type planCommand struct {
	Deployments []string `long:"deployment" value-name:"FILE" required:"true" description:"a deployment; may be repeated"`
	VMs         int      `long:"vms" default:"3" description:"number of VMs"`
	Dir         string   `long:"dir" required:"true" description:"where to write the files"`
}

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	deployments := make([]plan.Deployment, len(c.Deployments))
	for i, file := range c.Deployments {
		if err := settings.Load(file, &deployments[i]); err != nil {
			return err
		}
	}
	r, err := plan.Write(c.Dir, c.VMs, deployments)
	if err != nil {
		return err
	}
	fmt.Printf("STORE=%s\nSTANDIN=%s\n", r.Store, r.Admin)
	return nil
}

func main() {
	var version struct {
		Version func() `long:"version" description:"print the version and exit"`
	}
	version.Version = func() {
		fmt.Println("hq-standin", daemon.Version)
		os.Exit(0)
	}
	p := flags.NewParser(&version, flags.Default)
	must(p.AddCommand("run", "Play the outside systems", "Play the object store and the targets until SIGTERM.", new(runCommand)))
	must(p.AddCommand("plan", "Plan a run on one machine", "Write settings, objects and a load for a run on free loopback ports.", new(planCommand)))
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		var usage *flags.Error
		var bad *settings.Error
		if errors.As(err, &usage) || errors.As(err, &bad) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func must(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}
