package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"hemlockquay/internal/pause"
)

const (
	// startTimeout bounds the wait until all keys have owners.
	startTimeout = 20 * time.Second
	// startPollInterval is the pause between two looks at them.
	startPollInterval = 50 * time.Millisecond
	// settleTime is how long the site is watched after the last fault: longer than a hold.
	settleTime = 3 * time.Second
	// maxShownViolations bounds the breaks that a verdict lists.
	maxShownViolations = 20
)

// Run is one run of the soak.
type Run struct {
	Seed     uint64
	Profile  Profile
	Schedule *Schedule
	// Duration is how long faults and load last.
	Duration time.Duration
	// Dir is for settings and logs of the processes, Gateway the program.
	Dir, Gateway string
}

var (
	errViolations  = errors.New("a promise was broken")
	errUnownedKeys = errors.New("keys without an owner after the start")
)

// Execute runs the soak, writes the verdict, and returns an error unless all was kept.
func (r *Run) Execute(ctx context.Context, out io.Writer) error {
	if err := r.prepare(); err != nil {
		return err
	}
	check := NewChecker(time.Now)
	w, err := newSite(r.Dir, r.Gateway, r.Profile, check)
	if err != nil {
		return err
	}
	err = r.execute(ctx, w, check)
	w.close()
	r.verdict(out, check, err)
	if err == nil && len(check.Violations()) > 0 {
		err = errViolations
	}
	if err != nil {
		return fmt.Errorf("soak of seed %d, logs in %s: %w", r.Seed, r.Dir, err)
	}
	return nil
}

// prepare writes the schedule beside the logs, and drops logs of an earlier run.
func (r *Run) prepare() error {
	if err := os.MkdirAll(r.Dir, 0o755); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	for _, name := range vmNames() {
		if err := os.Remove(filepath.Join(r.Dir, name+".log")); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("soak: %w", err)
		}
	}
	if err := os.WriteFile(filepath.Join(r.Dir, "schedule.jsonc"), []byte(r.Schedule.String()), 0o644); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}

func (r *Run) execute(ctx context.Context, w *site, check *Checker) error {
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for begin := time.Now(); !check.AllHeld(); {
		if time.Since(begin) > startTimeout || !pause.For(ctx, startPollInterval) {
			return errUnownedKeys
		}
	}
	check.StartTraffic()
	faultsOver := make(chan error, 1)
	go func() { faultsOver <- w.inject(ctx, r.Schedule) }()
	asking, cancel := context.WithTimeout(ctx, r.Duration+settleTime)
	defer cancel()
	newLoad(w, r.Seed, check).run(asking)
	return errors.Join(<-faultsOver, ctx.Err())
}

// inject plays the faults, each with a goroutine.
func (w *site) inject(ctx context.Context, s *Schedule) error {
	errs := make([]error, len(s.Faults))
	var wait sync.WaitGroup
	for i, f := range s.Faults {
		wait.Go(func() {
			if !pause.For(ctx, f.At.D()) {
				return
			}
			w.startFault(f)
			pause.For(ctx, f.Duration.D())
			errs[i] = w.endFault(f)
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// verdict names the seed, and each broken promise with its subject and the logs. A run that
// ended with an error says so.
func (r *Run) verdict(out io.Writer, check *Checker, err error) {
	breaks, f := check.Violations(), check.Stats()
	word := "whole"
	switch {
	case err != nil && len(breaks) == 0:
		word = "NOT PLAYED to the end"
	case len(breaks) > 0:
		word = fmt.Sprintf("BROKEN %d times", len(breaks))
	}
	fmt.Fprintf(out, "seed %d: %s; %d faults in %v; %d grants, %d of them moves; asked %d, answered %d, refused %d (%d idempotent ones had run), failed %d, lost %d; logs in %s\n",
		r.Seed, word, len(r.Schedule.Faults), r.Duration, f.Grants, f.Moves, f.Sent, f.Answered, f.Refused, f.RefusedAfterRun, f.Failed, f.Lost, r.Dir)
	for _, b := range breaks[:min(len(breaks), maxShownViolations)] {
		fmt.Fprintf(out, "seed %d: %s\n", r.Seed, b)
	}
}
