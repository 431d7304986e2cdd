// Package dispatch holds the queues in front of targets: one for each target of
// a keyed service, one for each pool of an unkeyed one. It decides the order,
// fills the slots, sends, and returns each request's one answer.
package dispatch

import (
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/settings"
)

// Settings are the dispatcher's settings.
type Settings struct {
	daemon.Base
	// Listen is the IP:PORT for entries.
	Listen string `json:"listen"`
	// Agent is the IP:PORT of the VM's agent.
	Agent string `json:"agent"`
	// QueueLength bounds one queue, requests. Default 1024.
	QueueLength int `json:"queueLength,omitempty"`
	// TargetConnections bounds this VM's connections to one target.
	// Default 16.
	TargetConnections int `json:"targetConnections,omitempty"`
}

const (
	defaultQueueLength       = 1024
	maxQueueLength           = 1 << 20
	defaultTargetConnections = 16
	maxTargetConnections     = 100_000
)

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := s.CheckBase(); err != nil {
		return err
	}
	if s.QueueLength == 0 {
		s.QueueLength = defaultQueueLength
	}
	if s.TargetConnections == 0 {
		s.TargetConnections = defaultTargetConnections
	}
	switch {
	case s.QueueLength < 1 || s.QueueLength > maxQueueLength:
		return settings.Impossible("/queueLength", "%d is not between 1 and %d", s.QueueLength, maxQueueLength)
	case s.TargetConnections < 1 || s.TargetConnections > maxTargetConnections:
		return settings.Impossible("/targetConnections", "%d is not between 1 and %d", s.TargetConnections, maxTargetConnections)
	}
	if err := daemon.CheckAddr("/agent", s.Agent); err != nil {
		return err
	}
	return daemon.CheckAddr("/listen", s.Listen)
}
