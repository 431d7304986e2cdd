// Command hqctl is the operators' tool; see package ctl.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"hemlockquay/internal/ctl"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform/objectapi"
	"hemlockquay/internal/settings"
)

type global struct {
	Store   string        `long:"store" env:"HQ_STORE" description:"base URL of the platform's object API"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"bound on the whole command"`
	Version func()        `long:"version" description:"print the version and exit"`
}

var opts global

type apply struct {
	kind model.Kind
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (a *apply) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), opts.Timeout)
	defer cancel()
	store := objectapi.New(opts.Store)
	for _, file := range a.Args.Files {
		o, err := ctl.ReadFile(a.kind, file)
		if err != nil {
			return err
		}
		r, err := ctl.Apply(ctx, store, o)
		if err != nil {
			return err
		}
		fmt.Printf("%s %s: version %d, changed %v\n", r.Kind, r.Name, r.Version, r.Changed)
	}
	return nil
}

func main() {
	opts.Version = func() {
		fmt.Println("hqctl", daemon.Version)
		os.Exit(0)
	}
	p := flags.NewParser(&opts, flags.Default)
	for _, kind := range []model.Kind{model.KindContract, model.KindService} {
		c, err := p.AddCommand(string(kind), "Work on "+string(kind)+" objects", "", &struct{}{})
		if err != nil {
			panic(err)
		}
		if _, err := c.AddCommand("apply", "Write objects from files", "", &apply{kind: kind}); err != nil {
			panic(err)
		}
	}
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
