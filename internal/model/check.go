package model

import (
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"regexp"
	"strconv"
	"time"

	"hemlockquay/internal/settings"
)

// Default values of a service object.
const (
	DefaultSlices          = 64
	DefaultDeadline        = Duration(2 * time.Second)
	DefaultMaxDeadline     = Duration(60 * time.Second)
	DefaultMaxBody         = 1 << 20
	DefaultBackgroundFloor = 0.1
)

// Bounds for the fields of objects.
const (
	maxTargets     = 10_000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxBody        = 64 << 20
	maxWeight      = 100
	maxSlices      = 1 << 16
	maxRate        = 1e9
	maxTimeout     = Duration(24 * time.Hour)
	tokenHashBytes = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func checkName(field, name string) error {
	if !namePattern.MatchString(name) {
		return settings.Invalid(field, "%q is not a name: lower-case letters, digits and hyphens, at most 63", name)
	}
	return nil
}

// Check fills in defaults and returns an error for the first invalid value.
func (s *Service) Check() error {
	s.setDefaults()
	if err := checkName("/name", s.Name); err != nil {
		return err
	}
	if err := s.checkTargets(); err != nil {
		return err
	}
	switch {
	case s.Slots < 1 || s.Slots > maxSlots:
		return settings.Invalid("/slots", "%d is not between 1 and %d", s.Slots, maxSlots)
	case s.Connections < s.Slots || s.Connections > maxConnections:
		return settings.Invalid("/connections", "%d is not between the slots (%d) and %d", s.Connections, s.Slots, maxConnections)
	case s.Deadline <= 0 || s.Deadline > s.MaxDeadline:
		return settings.Invalid("/deadline", "%v is not above 0 and at most maxDeadline (%v)", s.Deadline, s.MaxDeadline)
	case s.MaxDeadline > maxTimeout:
		return settings.Invalid("/maxDeadline", "%v is above %v", s.MaxDeadline, maxTimeout)
	case s.MaxBody < 1 || s.MaxBody > maxBody:
		return settings.Invalid("/maxBody", "%d is not between 1 and %d bytes", s.MaxBody, maxBody)
	case !(s.BackgroundFloor >= 0 && s.BackgroundFloor <= 0.5):
		return settings.Invalid("/backgroundFloor", "%v is not between 0 and 0.5", s.BackgroundFloor)
	case s.Slices < 1 || s.Slices > maxSlices:
		return settings.Invalid("/slices", "%d is not between 1 and %d", s.Slices, maxSlices)
	}
	return s.Weights.check()
}

func (s *Service) setDefaults() {
	if s.Slices == 0 {
		s.Slices = DefaultSlices
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if s.MaxDeadline == 0 {
		s.MaxDeadline = DefaultMaxDeadline
	}
	if s.MaxBody == 0 {
		s.MaxBody = DefaultMaxBody
	}
	if s.BackgroundFloor == 0 {
		s.BackgroundFloor = DefaultBackgroundFloor
	}
	if s.Weights == (Weights{}) {
		s.Weights = Weights{Imbalance: 1, Churn: 1, Unavailable: 1}
	}
}

// CheckAddr returns an error unless an address of another process has a host and a port from 1 to 65535.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if n, parsed := strconv.ParseUint(port, 10, 16); err != nil || parsed != nil || n == 0 || host == "" {
		return fmt.Errorf("%q is not IP:PORT with a port from 1 to 65535", addr)
	}
	return nil
}

func (s *Service) checkTargets() error {
	if len(s.Targets) == 0 || len(s.Targets) > maxTargets {
		return settings.Invalid("/targets", "%d targets; need 1 to %d", len(s.Targets), maxTargets)
	}
	names := make(map[string]bool, len(s.Targets))
	addrs := make(map[string]bool, len(s.Targets))
	for i, t := range s.Targets {
		at := fmt.Sprintf("/targets/%d", i)
		if err := checkName(at+"/name", t.Name); err != nil {
			return err
		}
		if err := checkName(at+"/dataCentre", t.DataCentre); err != nil {
			return err
		}
		if err := CheckAddr(t.Addr); err != nil {
			return settings.Invalid(at+"/addr", "%v", err)
		}
		if names[t.Name] || addrs[t.Addr] {
			return settings.Invalid(at, "duplicate target name or address")
		}
		names[t.Name], addrs[t.Addr] = true, true
	}
	return nil
}

func (w Weights) check() error {
	for _, v := range []struct {
		field string
		value float64
	}{{"imbalance", w.Imbalance}, {"churn", w.Churn}, {"unavailable", w.Unavailable}} {
		if !(v.value >= 0) || math.IsInf(v.value, 0) {
			return settings.Invalid("/weights/"+v.field, "%v is not a weight of 0 or more", v.value)
		}
	}
	return nil
}

// Target returns the service's target with the given name.
func (s *Service) Target(name string) (Target, bool) {
	for _, t := range s.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Check fills in defaults and returns an error for the first invalid value.
func (c *Contract) Check() error {
	if err := checkName("/customer", c.Customer); err != nil {
		return err
	}
	if h, err := hex.DecodeString(c.TokenSHA256); err != nil || len(h) != tokenHashBytes {
		return settings.Invalid("/tokenSHA256", "not a SHA-256 hash in hexadecimal")
	}
	if len(c.Services) == 0 {
		return settings.Invalid("/services", "a contract needs at least one service")
	}
	seen := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		at := fmt.Sprintf("/services/%d", i)
		if err := c.Services[i].check(at); err != nil {
			return err
		}
		if seen[c.Services[i].Service] {
			return settings.Invalid(at+"/service", "duplicate service %q", c.Services[i].Service)
		}
		seen[c.Services[i].Service] = true
	}
	return nil
}

func (a *Allowance) check(at string) error {
	if a.Class == "" {
		a.Class = Interactive
	}
	if a.Weight == 0 {
		a.Weight = 1
	}
	if err := checkName(at+"/service", a.Service); err != nil {
		return err
	}
	switch {
	case !(a.Rate > 0 && a.Rate <= maxRate):
		return settings.Invalid(at+"/rate", "%v is not above 0 and at most %v", a.Rate, maxRate)
	case a.Burst < 1:
		return settings.Invalid(at+"/burst", "%d is below 1: no request could be admitted", a.Burst)
	case a.Concurrency < 1:
		return settings.Invalid(at+"/concurrency", "%d is below 1: no request could be admitted", a.Concurrency)
	case a.Class != Interactive && a.Class != Background:
		return settings.Invalid(at+"/class", "%q is neither interactive nor background", a.Class)
	case a.Weight < 1 || a.Weight > maxWeight:
		return settings.Invalid(at+"/weight", "%d is not between 1 and %d", a.Weight, maxWeight)
	}
	return nil
}

// Allowance returns the contract's limits for a service.
func (c *Contract) Allowance(service string) (Allowance, bool) {
	for _, a := range c.Services {
		if a.Service == service {
			return a, true
		}
	}
	return Allowance{}, false
}
