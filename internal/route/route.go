// Package route holds the routes that operators configure and finds the route of
// a request. It uses neither network nor clock.
package route

import (
	"slices"
	"strings"
	"time"
)

// Config is one complete version of the operators' configuration.
type Config struct {
	// Version increases with every change, not necessarily by one.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Unread lists the values of the configuration that were not understood.
	Unread []Unread
}

// Unread is a value of the configuration that was not understood, and the value that is used in its
// place. An unknown value must not leave all VMs without routes: what is understood is applied, and
// the rest is interpreted in the strictest way.
type Unread struct {
	// Part is the name of the route or service, or says that it is the limits.
	Part string
	// Field is the field's name in the operators' object, or empty for the whole part.
	Field string
	// Value is the value in the operators' object.
	Value string
	// TakenAs is the interpretation that is in force.
	TakenAs string
}

// Route says to which services the requests of one host and path prefix go, and
// with which limits.
type Route struct {
	Name string
	// Host is the host of the request, without a port.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Idempotent says that requests may run more than once. Otherwise each runs at most once.
	Idempotent bool
	// Timeout bounds the time until a caller gets an answer.
	Timeout time.Duration
	// Objective is the latency objective of an answer.
	Objective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxTargets bounds the number of targets that one request may be sent to.
	MaxTargets int
	// Regions are the regions in which requests may be processed, or empty for all.
	Regions []string
	// Splits are the services that share the requests, at least one.
	Splits []Split
	// Unusable says why requests of the route cannot be served, and is empty for a usable route.
	// Such requests are refused as not run, so that callers may retry them.
	Unusable string
}

// MayUse reports whether requests may be processed in a region.
func (r *Route) MayUse(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Split is the share of one service in a route.
type Split struct {
	Service string
	Weight  float64
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// Keyed says that each key has one owning target, which must hold a lease.
	Keyed bool
	// HealthPath is the path that a healthy target answers with status 200.
	HealthPath string
	// MaxConns bounds the connections to one target, for all callers together.
	MaxConns int
	// ColdMove is how long requests for keys are slow at a new owner that gets the
	// keys without the state of the previous one.
	ColdMove time.Duration
	// Warmup is how long a target is cold at most, and WarmupPerSecond how many requests per second it
	// tolerates meanwhile, or 0 for any number.
	Warmup          time.Duration
	WarmupPerSecond float64
}

// Limits bound what a caller may send. Zero stands for the default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is an index of the routes of a configuration. The set of routes is immutable.
type Table struct {
	config *Config
	hosts  map[string][]*entry
	// shortest is the shortest objective of the routes to each service.
	shortest map[string]time.Duration
}

type entry struct {
	route    *Route
	rotation *Rotation
}

// NewTable returns a table of the configuration's routes. A route that was in the
// previous table with the same splits continues its rotation.
func NewTable(c *Config, previous *Table) *Table {
	t := &Table{config: c, hosts: make(map[string][]*entry), shortest: shortestObjectives(c)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], &entry{route: r, rotation: rotationFor(r, previous)})
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *entry) int { return len(b.route.Prefix) - len(a.route.Prefix) })
	}
	return t
}

// rotationFor returns the rotation of the same host, prefix and splits in the previous table, or
// a new one.
func rotationFor(r *Route, previous *Table) *Rotation {
	if previous != nil {
		for _, e := range previous.hosts[r.Host] {
			if e.route.Prefix == r.Prefix && slices.Equal(e.route.Splits, r.Splits) {
				return e.rotation
			}
		}
	}
	return NewRotation(r.Splits)
}

// ShorterObjective returns the shortest objective of the routes to a service that is below the given one, or 0
// if there is none.
func (t *Table) ShorterObjective(service string, objective time.Duration) time.Duration {
	if o := t.shortest[service]; o < objective {
		return o
	}
	return 0
}

// shortestObjectives returns the shortest objective of the routes to each service.
func shortestObjectives(c *Config) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range c.Routes {
		for _, s := range r.Splits {
			if o := out[s.Service]; r.Objective > 0 && s.Weight > 0 && (o == 0 || r.Objective < o) {
				out[s.Service] = r.Objective
			}
		}
	}
	return out
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config { return t.config }

// Find returns the route with the longest prefix of the path, and the rotation
// over its services. It returns nil if no route matches.
func (t *Table) Find(host, path string) (*Route, *Rotation) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, e := range t.hosts[name] {
		if strings.HasPrefix(path, e.route.Prefix) {
			return e.route, e.rotation
		}
	}
	return nil, nil
}
