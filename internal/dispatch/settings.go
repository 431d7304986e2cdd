// Package dispatch queues requests in front of targets: it has one queue for each
// target of a keyed service, and one for the whole pool of an unkeyed service. It
// orders the requests, sends them when slots are free, and returns exactly one
// answer for each.
package dispatch

import (
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/settings"
)

// Order is the order in which waiting requests are sent.
type Order string

// The orders.
const (
	// OrderFair orders requests by class, contract and deadline, refuses requests
	// early and adapts the number of slots.
	OrderFair Order = "fair"
	// OrderFIFO sends requests in the order of arrival, with fixed slots and
	// without early refusal. It is the baseline for measurements.
	OrderFIFO Order = "fifo"
)

// Settings are the settings of hq-dispatch.
type Settings struct {
	daemon.Base
	// Listen is the IP:PORT on which entries and other dispatchers connect.
	Listen string `json:"listen"`
	// Agent is the IP:PORT of the VM's agent.
	Agent string `json:"agent"`
	// Order is fair or fifo. Default fair.
	Order Order `json:"order,omitempty"`
	// QueueLength bounds the number of requests in one queue. Default 1024.
	QueueLength int `json:"queueLength,omitempty"`
	// TargetConnections bounds this VM's connections to one target.
	// Default 12.
	TargetConnections int `json:"targetConnections,omitempty"`
}

const (
	defaultQueueLength = 1024
	maxQueueLength     = 1 << 20
	// defaultTargetConnections is a ninth of the 110 connections that a target
	// accepts, so that nine VMs together stay below that number.
	defaultTargetConnections = 12
	maxTargetConnections     = 100_000
)

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := s.CheckBase(); err != nil {
		return err
	}
	s.setDefaults()
	switch {
	case s.Order != OrderFair && s.Order != OrderFIFO:
		return settings.Invalid("/order", "%q is neither fair nor fifo", s.Order)
	case s.QueueLength < 1 || s.QueueLength > maxQueueLength:
		return settings.Invalid("/queueLength", "%d is not between 1 and %d", s.QueueLength, maxQueueLength)
	case s.TargetConnections < 1 || s.TargetConnections > maxTargetConnections:
		return settings.Invalid("/targetConnections", "%d is not between 1 and %d", s.TargetConnections, maxTargetConnections)
	}
	if err := daemon.CheckAddr("/agent", s.Agent); err != nil {
		return err
	}
	return daemon.CheckAddr("/listen", s.Listen)
}

func (s *Settings) setDefaults() {
	if s.Order == "" {
		s.Order = OrderFair
	}
	if s.QueueLength == 0 {
		s.QueueLength = defaultQueueLength
	}
	if s.TargetConnections == 0 {
		s.TargetConnections = defaultTargetConnections
	}
}
