// Package gateway is the daemon that runs on every entry VM: it takes callers'
// requests, sends them to the targets of their route, and keeps the leases of
// keyed services with the other VMs.
//
// It starts goroutines, uses the network and reads the store, where it writes only the
// VM's own entry. The work of granting keys, with the records of leases that it writes, is
// package leasing below; the leases that the path of a request reads are package published,
// which does none of this.
package gateway

import (
	"math"
	"time"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Settings are the settings of hq-gateway.
type Settings struct {
	daemon.Base
	// Front is the IP:PORT for callers.
	Front string `json:"front"`
	// Ready is the IP:PORT that answers whether the VM takes new connections.
	Ready string `json:"ready"`
	// Peers is the IP:PORT for the other VMs.
	Peers string `json:"peers"`
	// Seeds are addresses of other VMs, used until the store was read.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the IP:PORT of the platform's object store.
	Store string `json:"store"`
	// Grace is how long after SIGTERM the process is killed. Default 6s.
	Grace model.Duration `json:"grace,omitempty"`
	// HoldMost bounds the hold of a lease, as targets take it. Default 10s.
	HoldMost model.Duration `json:"holdMost,omitempty"`
	// LinkMbps is the speed of the VM's link, Mbit/s. VMs with much faster links do
	// the duties of the fleet. Default 0: not known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// MemoryMB is the VM's memory, MB, of which a quarter may hold bodies. Default 256.
	MemoryMB float64 `json:"memoryMB,omitempty"`
	// GCPercent is by how much the heap may grow over what is in use before it is
	// collected, percent. Default 30: a VM peaks at 18.5 MB instead of 24.8 at 100, for
	// 0.7% of a core more.
	GCPercent int `json:"gcPercent,omitempty"`
	// Repeats bound what the service sees more than once.
	Repeats Repeats `json:"repeats,omitzero"`

	// source is the file that the settings were read from.
	source string
}

// SetSource implements daemon.Reloadable.
func (s *Settings) SetSource(file string) { s.source = file }

// Repeats bound the requests that a service sees again, over all VMs.
type Repeats struct {
	// Ratio is the repeats allowed for each request. Default 0.1.
	Ratio float64 `json:"ratio,omitempty"`
	// Slack is how many are allowed on top. Default 10.
	Slack float64 `json:"slack,omitempty"`
	// Window is the span over which both are counted. Default 10s.
	Window model.Duration `json:"window,omitempty"`
}

// Defaults of the settings.
const (
	defaultGrace     = model.Duration(6 * time.Second)
	defaultHoldMost  = model.Duration(10 * time.Second)
	defaultMemoryMB  = 256
	defaultGCPercent = 30
	defaultRatio     = 0.1
	defaultSlack     = 10
	defaultWindow    = model.Duration(10 * time.Second)
	minHold          = model.Duration(time.Second)
)

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := s.CheckBase(); err != nil {
		return err
	}
	for _, a := range []struct{ pointer, addr string }{
		{"/front", s.Front}, {"/ready", s.Ready}, {"/peers", s.Peers}, {"/store", s.Store},
	} {
		if err := daemon.CheckAddr(a.pointer, a.addr); err != nil {
			return err
		}
	}
	setDefault(&s.Grace, defaultGrace)
	setDefault(&s.HoldMost, defaultHoldMost)
	setDefault(&s.MemoryMB, defaultMemoryMB)
	setDefault(&s.GCPercent, defaultGCPercent)
	setDefault(&s.Repeats.Ratio, defaultRatio)
	setDefault(&s.Repeats.Slack, defaultSlack)
	setDefault(&s.Repeats.Window, defaultWindow)
	switch {
	case s.Grace < 0:
		return settings.Impossible("/grace", "%v is negative", s.Grace)
	case s.LinkMbps < 0 || s.LinkMbps > math.MaxUint32:
		return settings.Impossible("/linkMbps", "%v is not a speed", s.LinkMbps)
	case s.GCPercent < 1:
		return settings.Impossible("/gcPercent", "%v is under 1", s.GCPercent)
	case s.MemoryMB < 0:
		return settings.Impossible("/memoryMB", "%v is negative", s.MemoryMB)
	case s.HoldMost < minHold:
		return settings.Impossible("/holdMost", "%v is under %v", s.HoldMost, minHold)
	case s.Repeats.Ratio < 0 || s.Repeats.Slack < 0 || s.Repeats.Window < 0:
		return settings.Impossible("/repeats", "a value is negative")
	}
	return nil
}

func setDefault[T comparable](value *T, to T) {
	var zero T
	if *value == zero {
		*value = to
	}
}
