package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"hemlockquay/internal/model"
	"hemlockquay/internal/standin/link"
)

// maxPortAttempts bounds the search for a port that is free at the path addresses of all VMs.
const maxPortAttempts = 1000

// anyAddr is the host in the entry of a target with separate paths. A connection to it from a VM's path
// address leads to that address, where the VM's link to the target listens.
const anyAddr = "0.0.0.0"

// pathAddr returns the loopback address of a VM's connections to targets.
func pathAddr(vm string) string { return fmt.Sprintf("127.0.1.%d", 1+slices.Index(vmNames(), vm)) }

// addPaths starts a link to a target for each VM, all at the same port, and returns the address for the
// target's entry.
func (w *site) addPaths(name, addr string) (string, error) {
	var err error
	for range maxPortAttempts {
		number, failed := link.NextPort()
		if failed != nil {
			return "", fmt.Errorf("paths to %s: %w", name, failed)
		}
		port := strconv.Itoa(number)
		var started []*link.Link
		for _, vm := range vmNames() {
			var l *link.Link
			if l, err = link.NewAt(net.JoinHostPort(pathAddr(vm), port), addr); err != nil {
				break
			}
			started = append(started, l)
		}
		if err == nil {
			for i, vm := range vmNames() {
				w.paths[vm] = append(w.paths[vm], started[i])
			}
			return net.JoinHostPort(anyAddr, port), nil
		}
		for _, l := range started {
			l.Close()
		}
	}
	return "", fmt.Errorf("paths to %s: %w", name, err)
}

// cutPaths cuts a VM from all targets.
func (w *site) cutPaths(f Fault) {
	var wait sync.WaitGroup
	for _, l := range w.paths[f.Subject] {
		wait.Go(func() {
			switch f.Kind {
			case DropPaths:
				_ = l.Drop()
			case ResetPaths:
				l.Reset()
				_ = l.Refuse()
			case RefusePaths:
				_ = l.Refuse()
			}
		})
	}
	wait.Wait()
}

func (w *site) healPaths(vm string) {
	for _, l := range w.paths[vm] {
		l.Heal()
	}
}

// Distributions of the faults of the profile paths.
var (
	// cutInterval is the time between the starts of two cuts, some of which overlap.
	cutInterval = durationRange{time.Second, 6 * time.Second}
	// longCut is the duration of most cuts, flap that of the others, which come in a series.
	longCut = durationRange{3500 * time.Millisecond, 9 * time.Second}
	flap    = durationRange{100 * time.Millisecond, 800 * time.Millisecond}
)

const (
	// flapOneIn makes one in this many cuts a series of short ones.
	flapOneIn = 4
	// flaps is the number of cuts in such a series.
	flaps = 4
)

// GeneratePaths returns the fault schedule of a seed for the profile paths. Each cut hits one VM, or all but
// one.
func GeneratePaths(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s := new(Schedule)
	kinds := []Kind{DropPaths, ResetPaths, RefusePaths}
	for at := cutInterval.min; at < over; at += cutInterval.random(r) {
		kind, order := kinds[r.IntN(len(kinds))], r.Perm(vmCount)
		vms := order[:1+r.IntN(vmCount-1)]
		if r.IntN(flapOneIn) == 0 {
			for begin := at; begin < at+flaps*flap.max; begin += flap.max {
				s.cut(vms, begin, kind, flap.random(r), over)
			}
			continue
		}
		s.cut(vms, at, kind, longCut.random(r), over)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// cut adds a cut of VMs unless all VMs would be cut at a time.
func (s *Schedule) cut(vms []int, at time.Duration, kind Kind, duration, over time.Duration) {
	for _, i := range vms {
		name := vmNames()[i]
		others := make(map[string]bool)
		for _, f := range s.Faults {
			if f.Subject != name && f.At.D() < at+duration+recoverTime && at < f.At.D()+f.Duration.D()+recoverTime {
				others[f.Subject] = true
			}
		}
		if len(others) < vmCount-1 {
			s.add(Fault{At: model.Duration(at), Kind: kind, Subject: name, Duration: model.Duration(duration)}, over)
		}
	}
}
