// Command hq-soak injects faults into hq-gateway running as real processes; see package soak.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"hemlockquay/internal/command"
	"hemlockquay/internal/settings"
	"hemlockquay/internal/soak"
)

type options struct {
	command.VersionFlag
	Seed     uint64        `long:"seed" default:"1" description:"seed of the schedule and of the load's keys"`
	Profile  string        `long:"profile" default:"mixed" choice:"mixed" choice:"stops" choice:"paths" choice:"evacuations" choice:"routes" choice:"limits" choice:"signals" choice:"starved" choice:"pipelines" description:"mixed: faults of all kinds; stops: graceful shutdowns with slow targets; paths: VMs cut from targets; evacuations: a data centre is evacuated and taken back; routes: routes are added while VMs do not reach the store; limits: targets state limits; signals: targets leave, refuse requests or send bytes without end; starved: routes are added while VMs are short of processor time; pipelines: callers pipeline requests and read slowly, targets without room reset connections"`
	Span     time.Duration `long:"span" default:"20s" description:"how long faults last; the run takes some seconds more"`
	Schedule string        `long:"schedule" value-name:"FILE" description:"run this schedule, as --print writes it, instead of the seed's"`
	Rates    bool          `long:"rates" description:"also check how often VMs serve that are cut from all targets, and how soon VMs serve new routes; depends on the speed of the machine"`
	Print    bool          `long:"print" description:"print the schedule and exit"`
	Dir      string        `long:"dir" description:"for settings and logs of the processes; default out/soak/SEED"`
	Gateway  string        `long:"gateway" value-name:"PATH" default:"bin/hq-gateway" description:"the program to test"`
}

func main() { os.Exit(command.ExitCode(run(os.Args[1:]))) }

func run(args []string) error {
	opts := options{VersionFlag: command.NewVersionFlag("hq-soak")}
	p := flags.NewNamedParser("hq-soak", flags.Default)
	p.LongDescription = "Runs three gateways as processes on this machine, with a simulated store and simulated targets, under random faults from a seed. Exits 0 if no guarantee to callers was violated, 1 otherwise."
	if _, err := p.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	if _, err := p.ParseArgs(args); err != nil {
		return err
	}
	err := opts.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return err
}

func (o *options) run() error {
	profile := soak.Profiles[o.Profile]
	schedule := profile.Generate(o.Seed, o.Span)
	if o.Schedule != "" {
		schedule = new(soak.Schedule)
		if err := settings.Load(o.Schedule, schedule); err != nil {
			return err
		}
	}
	if o.Print {
		fmt.Print(schedule)
		return nil
	}
	if o.Dir == "" {
		o.Dir = filepath.Join("out", "soak", fmt.Sprint(o.Seed))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r := soak.Run{Seed: o.Seed, Profile: profile, Schedule: schedule, Duration: o.Span, CheckRates: o.Rates, Dir: o.Dir, Gateway: o.Gateway}
	return r.Execute(ctx, os.Stdout)
}
