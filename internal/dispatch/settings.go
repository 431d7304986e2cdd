// Package dispatch holds the queues in front of targets: one for each target of
// a keyed service, one for each pool of an unkeyed one. It decides the order,
// fills the slots, sends, and returns each request's one answer.
package dispatch

import (
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/settings"
)

// Order names how waiting requests are ordered.
type Order string

// The orders.
const (
	// OrderFair: by class, contract and deadline, with early refusal and
	// adaptive slots.
	OrderFair Order = "fair"
	// OrderFIFO: first come, first served, fixed slots and no early refusal;
	// the baseline of measurements.
	OrderFIFO Order = "fifo"
)

// Settings are the dispatcher's settings.
type Settings struct {
	daemon.Base
	// Listen is the IP:PORT for entries.
	Listen string `json:"listen"`
	// Agent is the IP:PORT of the VM's agent.
	Agent string `json:"agent"`
	// Order is fair or fifo. Default fair.
	Order Order `json:"order,omitempty"`
	// QueueLength bounds one queue, requests. Default 1024.
	QueueLength int `json:"queueLength,omitempty"`
	// TargetConnections bounds this VM's connections to one target.
	// Default 12.
	TargetConnections int `json:"targetConnections,omitempty"`
}

const (
	defaultQueueLength = 1024
	maxQueueLength     = 1 << 20
	// defaultTargetConnections is a ninth of the 110 connections that a target
	// takes: nine VMs together stay below them.
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
