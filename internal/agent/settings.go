// Package agent is the one process of a VM that speaks with the platform's
// store. It watches the configuration and relays it to the VM's daemons and to
// peers, tells peers by heartbeats that the VM lives, plans the assignment of a
// service when elected, and grants keys to the targets it is named for.
package agent

import (
	"fmt"
	"strings"
	"time"

	"hemlockquay/internal/daemon"
	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Settings are the agent's settings.
type Settings struct {
	daemon.Base
	// Listen is the IP:PORT for daemons and peers.
	Listen string `json:"listen"`
	// Store is the base URL of the platform's object API.
	Store string `json:"store"`
	// Peers are agents' IP:PORT that are asked while the platform's list of
	// VMs cannot be read. Default none.
	Peers []string `json:"peers,omitempty"`
	// StoreTimeout bounds one call of the store. Default 2s.
	StoreTimeout model.Duration `json:"storeTimeout,omitempty"`
	// Heartbeat is the pause between two heartbeats to a peer. Default 150ms.
	Heartbeat model.Duration `json:"heartbeat,omitempty"`
	// Silence is how long a peer may be silent before it counts as lost.
	// Default 800ms.
	Silence model.Duration `json:"silence,omitempty"`
	// GrantEvery is the pause between two renewals of a grant. Default 150ms.
	GrantEvery model.Duration `json:"grantEvery,omitempty"`
	// GrantLife is how long a grant lives. Default 600ms.
	GrantLife model.Duration `json:"grantLife,omitempty"`
}

// Defaults of the agent's times; see docs/DESIGN.md for their grounds.
const (
	defaultStoreTimeout = model.Duration(2 * time.Second)
	defaultHeartbeat    = model.Duration(150 * time.Millisecond)
	defaultSilence      = model.Duration(800 * time.Millisecond)
	defaultGrantEvery   = model.Duration(150 * time.Millisecond)
	defaultGrantLife    = model.Duration(600 * time.Millisecond)
)

func orDefault(d *model.Duration, def model.Duration) {
	if *d == 0 {
		*d = def
	}
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := s.CheckBase(); err != nil {
		return err
	}
	orDefault(&s.StoreTimeout, defaultStoreTimeout)
	orDefault(&s.Heartbeat, defaultHeartbeat)
	orDefault(&s.Silence, defaultSilence)
	orDefault(&s.GrantEvery, defaultGrantEvery)
	orDefault(&s.GrantLife, defaultGrantLife)
	switch {
	case !strings.HasPrefix(s.Store, "http://") && !strings.HasPrefix(s.Store, "https://"):
		return settings.Impossible("/store", "%q is not an http or https URL", s.Store)
	case s.StoreTimeout <= 0:
		return settings.Impossible("/storeTimeout", "%v is not above 0", s.StoreTimeout)
	case s.Heartbeat <= 0 || s.Silence < 2*s.Heartbeat:
		return settings.Impossible("/silence", "%v is below two heartbeats (%v): one lost message would end a VM", s.Silence, s.Heartbeat)
	case s.GrantEvery <= 0 || s.GrantLife < 2*s.GrantEvery:
		return settings.Impossible("/grantLife", "%v is below two renewals (%v): one lost message would end a grant", s.GrantLife, s.GrantEvery)
	}
	for i, addr := range s.Peers {
		if err := daemon.CheckAddr(fmt.Sprintf("/peers/%d", i), addr); err != nil {
			return err
		}
	}
	return daemon.CheckAddr("/listen", s.Listen)
}
