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
	// startTimeout limits the wait at the start until all keys have owners.
	startTimeout = 20 * time.Second
	// startPollInterval is the interval between two checks for this.
	startPollInterval = 50 * time.Millisecond
	// settleTime is how long the load continues after the last fault: longer than a target holds its
	// keys.
	settleTime = 3 * time.Second
	// maxShownViolations limits the violations that the verdict lists.
	maxShownViolations = 20
)

// Run is one soak run.
type Run struct {
	Seed     uint64
	Profile  Profile
	Schedule *Schedule
	// Duration is the time in which faults occur; the load continues for settleTime after it.
	Duration time.Duration
	// CheckRates makes the run check ServedWhileCut and NewRouteServed, which depend on the speed of the machine.
	CheckRates bool
	// Dir is the directory for the settings and logs of the processes, Gateway the path of the
	// gateway program.
	Dir, Gateway string
}

var (
	errViolations  = errors.New("a guarantee was violated")
	errUnownedKeys = errors.New("timed out or interrupted at the start while keys had no owner")
)

// Execute runs the soak and writes the verdict. It returns an error if a guarantee was violated or the
// run did not complete.
func (r *Run) Execute(ctx context.Context, out io.Writer) error {
	if err := r.prepare(); err != nil {
		return err
	}
	check := NewChecker(time.Now)
	w, err := newSite(r.Dir, r.Gateway, r.Profile, check)
	if err != nil {
		return err
	}
	w.checkRates = r.CheckRates
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

// prepare writes the schedule to the directory of the logs and removes the logs of an earlier run.
func (r *Run) prepare() error {
	if err := os.MkdirAll(r.Dir, 0o755); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	for _, name := range r.Profile.vmNames() {
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
	l := newLoad(w, r.Seed, check)
	var pipelining sync.WaitGroup
	if r.Profile.Pipelines {
		pipelining.Go(func() { (&pipelines{load: l}).run(asking, r.Seed) })
	}
	l.run(asking)
	pipelining.Wait()
	w.checkMemory()
	if r.CheckRates {
		r.Schedule.checkRates(check, l.samples)
	}
	return errors.Join(<-faultsOver, ctx.Err())
}

// inject starts and ends the faults on schedule, each in a goroutine.
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

// verdict writes the result with the seed, the statistics and the directory of the logs, and then the
// violations. A run that ended with an error and without a violation is reported as incomplete.
func (r *Run) verdict(out io.Writer, check *Checker, err error) {
	violations, f := check.Violations(), check.Stats()
	word := "whole"
	switch {
	case err != nil && len(violations) == 0:
		word = "NOT PLAYED to the end"
	case len(violations) > 0:
		word = fmt.Sprintf("BROKEN %d times", len(violations))
	}
	fmt.Fprintf(out, "seed %d: %s; %d faults in %v; %d grants, %d of them moves; asked %d, answered %d, refused %d (%d idempotent ones had run), failed %d, lost %d; logs in %s\n",
		r.Seed, word, len(r.Schedule.Faults), r.Duration, f.Grants, f.Moves, f.Sent, f.Answered, f.Refused, f.RefusedAfterRun, f.Failed, f.Lost, r.Dir)
	for _, b := range violations[:min(len(violations), maxShownViolations)] {
		fmt.Fprintf(out, "seed %d: %s\n", r.Seed, b)
	}
}
