// Package entry implements hq-entry, the daemon that receives callers' HTTP requests. It checks
// each request against the customer's contract, forwards it to a dispatcher and returns the
// complete answer.
package entry

import (
	"net"
	"time"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Settings are the settings of hq-entry.
type Settings struct {
	daemon.Base
	// Listen is the IP:PORT on which callers' requests are received.
	Listen string `json:"listen"`
	// Agent is the IP:PORT of the VM's agent.
	Agent string `json:"agent"`
	// PeerListen is the IP:PORT for calls from other entries, which learn it through the
	// agents. Default: a free port at the address of Listen.
	PeerListen string `json:"peerListen,omitempty"`
	// PeerConnections is the number of connections to each dispatcher.
	// Default 4.
	PeerConnections int `json:"peerConnections,omitempty"`
	// ReadTimeout is the maximum time that a caller may take to send a request.
	// Default 10s.
	ReadTimeout model.Duration `json:"readTimeout,omitempty"`
	// MaxHeader is the maximum size of a request's headers, in bytes. Default 32768.
	MaxHeader int `json:"maxHeader,omitempty"`
	// MemoryMB is the memory in MB that the process may take. The limits of callers' connections and requests follow from
	// it. Default 384: the largest body takes a third of it.
	MemoryMB float64 `json:"memoryMB,omitempty"`
	// Descriptors is the number of descriptors that the process may have. Callers' connections get three quarters of them.
	// Default: the limit that the system sets for the process (RLIMIT_NOFILE).
	Descriptors int `json:"descriptors,omitempty"`
}

const (
	defaultPeerConnections = 4
	maxPeerConnections     = 256
	defaultReadTimeout     = model.Duration(10 * time.Second)
	defaultMaxHeader       = 32 << 10
	maxMaxHeader           = 1 << 20
	defaultMemoryMB        = 384
	// minMemoryMB and minDescriptors have room for a process with a few requests.
	minMemoryMB, minDescriptors = 64, 64
)

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := s.CheckBase(); err != nil {
		return err
	}
	if s.PeerConnections == 0 {
		s.PeerConnections = defaultPeerConnections
	}
	if s.ReadTimeout == 0 {
		s.ReadTimeout = defaultReadTimeout
	}
	if s.MaxHeader == 0 {
		s.MaxHeader = defaultMaxHeader
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = defaultMemoryMB
	}
	switch {
	case s.MemoryMB < minMemoryMB:
		return settings.Invalid("/memoryMB", "%v is under %d", s.MemoryMB, minMemoryMB)
	case s.Descriptors < 0 || s.Descriptors > 0 && s.Descriptors < minDescriptors:
		return settings.Invalid("/descriptors", "%d is under %d", s.Descriptors, minDescriptors)
	case s.PeerConnections < 1 || s.PeerConnections > maxPeerConnections:
		return settings.Invalid("/peerConnections", "%d is not between 1 and %d", s.PeerConnections, maxPeerConnections)
	case s.ReadTimeout < 0:
		return settings.Invalid("/readTimeout", "%v is below 0", s.ReadTimeout)
	case s.MaxHeader < 1024 || s.MaxHeader > maxMaxHeader:
		return settings.Invalid("/maxHeader", "%d is not between 1024 and %d", s.MaxHeader, maxMaxHeader)
	}
	if err := daemon.CheckAddr("/agent", s.Agent); err != nil {
		return err
	}
	if err := daemon.CheckAddr("/listen", s.Listen); err != nil {
		return err
	}
	if s.PeerListen == "" {
		host, _, _ := net.SplitHostPort(s.Listen)
		s.PeerListen = net.JoinHostPort(host, "0")
	}
	return daemon.CheckAddr("/peerListen", s.PeerListen)
}
