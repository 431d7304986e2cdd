// Package route holds the routes that operators write and finds the one of a
// request. It has no network and no clock.
package route

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operators' configuration, whole.
type Config struct {
	// Version rises with every change, in uneven steps.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Unread lists what of the configuration was not understood.
	Unread []Unread
}

// Unread is a value of the configuration that was not understood, and how it is taken.
// A value that this program does not know must not leave all VMs without routes: what is known stays in
// force, and the strictest reading holds for the rest.
type Unread struct {
	// Part names the route, service or limits.
	Part string
	// Field is the field's name in the operators' object, empty for the whole part.
	Field string
	// Value is what stands there.
	Value string
	// TakenAs is the reading that is in force.
	TakenAs string
}

// Route says where the requests of one host and path prefix go, and what they
// may cost.
type Route struct {
	Name string
	// Host is the host of the request, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once. All others run at most once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Priority is the rank, 0 the highest.
	Priority int
	// MaxTargets bounds the targets that one request may be sent to.
	MaxTargets int
	// Splits are the services that share the requests; one at least.
	Splits []Split
	// Unusable says why the route's requests cannot be served, empty for a route that
	// was understood. They are refused as not run, and may be retried.
	Unusable string
}

// Split is one service's part of a route.
type Split struct {
	Service string
	Weight  float64
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// Keyed says that each key has one owning target, which must hold a lease.
	Keyed bool
	// HealthPath answers 200 while a target is well.
	HealthPath string
	// MaxConns bounds the connections to one target, over all callers.
	MaxConns int
	// ColdMove is how long keys are slow at a new owner that gets them without
	// the state of the last one.
	ColdMove time.Duration
}

// Limits bound what a caller may send. A zero leaves the default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table finds routes. It is immutable.
type Table struct {
	config *Config
	hosts  map[string][]*entry
}

type entry struct {
	route    *Route
	rotation *Rotation
}

// NewTable indexes the configuration. Weighted routes that were in the previous
// table with the same splits keep their place in the rotation.
func NewTable(c *Config, previous *Table) *Table {
	t := &Table{config: c, hosts: make(map[string][]*entry)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], &entry{route: r, rotation: rotationFor(r, previous)})
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *entry) int { return len(b.route.Prefix) - len(a.route.Prefix) })
	}
	return t
}

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

// Config returns what the table was made of.
func (t *Table) Config() *Config { return t.config }

// Find returns the route with the longest prefix that begins the path, and its
// rotation over services. It returns nil where no route matches.
func (t *Table) Find(host, path string) (*Route, *Rotation) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, e := range t.hosts[name] {
		if strings.HasPrefix(path, e.route.Prefix) {
			return e.route, e.rotation
		}
	}
	return nil, nil
}
