// Package agent is the one process of a VM that speaks with the platform's
// store. It watches the configuration and relays it to the VM's daemons and to
// peers, notifies peers by heartbeats that the VM lives, plans the assignment of a
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
	// Heartbeat is the pause between two heartbeats to a peer. Default 75ms.
	Heartbeat model.Duration `json:"heartbeat,omitempty"`
	// Silence is how long a peer may be silent before it counts as lost.
	// Default 300ms.
	Silence model.Duration `json:"silence,omitempty"`
	// TakeoverSilence is how long a grantor may be silent until the next in line
	// takes its groups over. It is shorter than Silence: a mistake costs a few
	// messages, no gap and no move, and a loss is to be noticed before the last
	// grant is out. Default 190ms, five heartbeats of both directions.
	TakeoverSilence model.Duration `json:"takeoverSilence,omitempty"`
	// Authority is how long an arbiter's confirmation counts. Default 160ms.
	Authority model.Duration `json:"authority,omitempty"`
	// ClockMargin is added to ends that another clock judges. Default 10ms: for
	// clocks that run up to 0.9% fast or slow.
	ClockMargin model.Duration `json:"clockMargin,omitempty"`
	// TakeoverPatience is how long a takeover waits for all arbiters before it
	// asks the store for an epoch of its own. Default 25ms.
	TakeoverPatience model.Duration `json:"takeoverPatience,omitempty"`
	// ReleaseLimit bounds how long a planned move waits for the old owner's
	// requests. Default 10s.
	ReleaseLimit model.Duration `json:"releaseLimit,omitempty"`
	// GrantEvery is the pause between two renewals of a grant. Default 75ms.
	GrantEvery model.Duration `json:"grantEvery,omitempty"`
	// GrantLife is how long a grant lives. Default 400ms.
	GrantLife model.Duration `json:"grantLife,omitempty"`
}

// Defaults of the agent's times; see docs/DESIGN.md for their grounds.
const (
	defaultStoreTimeout = model.Duration(2 * time.Second)
	defaultHeartbeat    = model.Duration(75 * time.Millisecond)
	defaultSilence      = model.Duration(300 * time.Millisecond)
	defaultGrantEvery   = model.Duration(75 * time.Millisecond)
	defaultGrantLife    = model.Duration(400 * time.Millisecond)
	defaultTakeover     = model.Duration(190 * time.Millisecond)
	defaultAuthority    = model.Duration(160 * time.Millisecond)
	defaultMargin       = model.Duration(10 * time.Millisecond)
	defaultPatience     = model.Duration(25 * time.Millisecond)
	defaultRelease      = model.Duration(10 * time.Second)
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
	orDefault(&s.TakeoverSilence, defaultTakeover)
	orDefault(&s.Authority, defaultAuthority)
	orDefault(&s.ClockMargin, defaultMargin)
	orDefault(&s.TakeoverPatience, defaultPatience)
	orDefault(&s.ReleaseLimit, defaultRelease)
	switch {
	case !strings.HasPrefix(s.Store, "http://") && !strings.HasPrefix(s.Store, "https://"):
		return settings.Invalid("/store", "%q is not an http or https URL", s.Store)
	case s.StoreTimeout <= 0:
		return settings.Invalid("/storeTimeout", "%v is not above 0", s.StoreTimeout)
	case s.Heartbeat <= 0:
		return settings.Invalid("/heartbeat", "%v is not above 0", s.Heartbeat)
	case s.GrantEvery <= 0:
		return settings.Invalid("/grantEvery", "%v is not above 0", s.GrantEvery)
	case s.Silence < 2*s.Heartbeat:
		return settings.Invalid("/silence", "%v is below two heartbeats (%v): one lost message would end a VM", s.Silence, s.Heartbeat)
	case s.GrantLife < 2*s.GrantEvery:
		return settings.Invalid("/grantLife", "%v is below two renewals (%v): one lost message would end a grant", s.GrantLife, s.GrantEvery)
	case s.TakeoverSilence < 2*s.Heartbeat:
		return settings.Invalid("/takeoverSilence", "%v is below two heartbeats (%v)", s.TakeoverSilence, s.Heartbeat)
	case s.Authority < 2*s.GrantEvery:
		return settings.Invalid("/authority", "%v is below two renewals (%v): one lost message would end it", s.Authority, s.GrantEvery)
	case s.ClockMargin < 0:
		return settings.Invalid("/clockMargin", "%v is below 0", s.ClockMargin)
	case s.TakeoverPatience < 0:
		return settings.Invalid("/takeoverPatience", "%v is below 0", s.TakeoverPatience)
	case s.ReleaseLimit < 0:
		return settings.Invalid("/releaseLimit", "%v is below 0", s.ReleaseLimit)
	}
	for i, addr := range s.Peers {
		if err := daemon.CheckAddr(fmt.Sprintf("/peers/%d", i), addr); err != nil {
			return err
		}
	}
	return daemon.CheckAddr("/listen", s.Listen)
}
