// Command hq-standin simulates external systems for demos and experiments: the platform's
// object store and the target servers; see packages standin and fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hemlockquay/internal/command"
	"hemlockquay/internal/settings"
	"hemlockquay/internal/standin"
	"hemlockquay/internal/standin/fleet"
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
	Deployments []string `long:"deployment" value-name:"FILE" required:"true" description:"deployment, JSON with comments; may be repeated"`
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

type platformCommand struct {
	VMs int    `long:"vms" default:"3" description:"number of VMs with a gateway"`
	Dir string `long:"dir" required:"true" description:"where to write the gateways' settings and the load"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return fleet.RunPlatform(ctx, c.Dir, c.VMs)
}

func main() {
	os.Exit(command.Run("hq-standin", os.Args[1:],
		command.Command{Name: "run", Short: "Simulate external systems", Long: "Simulate the object store and the targets until SIGTERM.", Run: new(runCommand)},
		command.Command{Name: "plan", Short: "Prepare a run on one machine", Long: "Write settings, objects and a load for a run on free loopback ports.", Run: new(planCommand)},
		command.Command{Name: "platform", Short: "Simulate the platform for gateways", Long: "Simulate the platform's store and targets for gateways on one machine until SIGTERM.", Run: new(platformCommand)},
	))
}
