// Package agent is the only process of a VM that calls the platform's store. It watches the
// configuration and relays it to the VM's daemons and to peers, exchanges heartbeats with peers,
// plans the assignment of a service while it is elected to do so, and grants keys to targets for
// the groups that name it as a grantor.
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
	// Listen is the IP:PORT on which daemons and peers reach the agent.
	Listen string `json:"listen"`
	// Store is the base URL of the platform's object API.
	Store string `json:"store"`
	// Peers are IP:PORT of agents that are contacted while the platform's list of VMs cannot be
	// read. Default none.
	Peers []string `json:"peers,omitempty"`
	// StoreTimeout bounds one call to the store. Default 2s.
	StoreTimeout model.Duration `json:"storeTimeout,omitempty"`
	// Heartbeat is the interval between heartbeats to a peer. Default 75ms.
	Heartbeat model.Duration `json:"heartbeat,omitempty"`
	// Silence is how long a peer may send no heartbeat before it counts as lost. Default 300ms.
	Silence model.Duration `json:"silence,omitempty"`
	// TakeoverSilence is how long a grantor may send no heartbeat before the next in the
	// succession takes over its groups. It is shorter than Silence because a false positive costs
	// only a few messages, without a gap or a move, and a loss must be detected before the last
	// grant expires. Default 190ms, five heartbeats counting both directions.
	TakeoverSilence model.Duration `json:"takeoverSilence,omitempty"`
	// Authority is how long an arbiter's confirmation is valid. Default 160ms.
	Authority model.Duration `json:"authority,omitempty"`
	// ClockMargin is added to deadlines that another clock judges. Default 10ms, for clocks that
	// run up to 0.9% fast or slow.
	ClockMargin model.Duration `json:"clockMargin,omitempty"`
	// TakeoverPatience is how long a takeover waits for confirmations by all arbiters before it
	// asks the store for an epoch of its own. Default 25ms.
	TakeoverPatience model.Duration `json:"takeoverPatience,omitempty"`
	// ReleaseLimit bounds how long a planned move waits for requests in flight on the old owner.
	// Default 10s.
	ReleaseLimit model.Duration `json:"releaseLimit,omitempty"`
	// GrantEvery is the interval between renewals of a grant. Default 75ms.
	GrantEvery model.Duration `json:"grantEvery,omitempty"`
	// GrantLife is how long a grant is valid. Default 400ms.
	GrantLife model.Duration `json:"grantLife,omitempty"`
}

// Default times. docs/DESIGN.md gives the reasons.
const (
	defaultStoreTimeout     = model.Duration(2 * time.Second)
	defaultHeartbeat        = model.Duration(75 * time.Millisecond)
	defaultSilence          = model.Duration(300 * time.Millisecond)
	defaultGrantEvery       = model.Duration(75 * time.Millisecond)
	defaultGrantLife        = model.Duration(400 * time.Millisecond)
	defaultTakeoverSilence  = model.Duration(190 * time.Millisecond)
	defaultAuthority        = model.Duration(160 * time.Millisecond)
	defaultClockMargin      = model.Duration(10 * time.Millisecond)
	defaultTakeoverPatience = model.Duration(25 * time.Millisecond)
	defaultReleaseLimit     = model.Duration(10 * time.Second)
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
	orDefault(&s.TakeoverSilence, defaultTakeoverSilence)
	orDefault(&s.Authority, defaultAuthority)
	orDefault(&s.ClockMargin, defaultClockMargin)
	orDefault(&s.TakeoverPatience, defaultTakeoverPatience)
	orDefault(&s.ReleaseLimit, defaultReleaseLimit)
	switch {
	case !strings.HasPrefix(s.Store, "http://") && !strings.HasPrefix(s.Store, "https://"):
		return settings.Invalid("/store", "%q is not an http or https URL", s.Store)
	case s.StoreTimeout <= 0:
		return settings.Invalid("/storeTimeout", "%v must be greater than 0", s.StoreTimeout)
	case s.Heartbeat <= 0:
		return settings.Invalid("/heartbeat", "%v must be greater than 0", s.Heartbeat)
	case s.GrantEvery <= 0:
		return settings.Invalid("/grantEvery", "%v must be greater than 0", s.GrantEvery)
	case s.Silence < 2*s.Heartbeat:
		return settings.Invalid("/silence", "%v is shorter than two heartbeats (%v each): one lost message would mark a VM as lost", s.Silence, s.Heartbeat)
	case s.GrantLife < 2*s.GrantEvery:
		return settings.Invalid("/grantLife", "%v is shorter than two renewals (%v each): one lost message would let a grant expire", s.GrantLife, s.GrantEvery)
	case s.TakeoverSilence < 2*s.Heartbeat:
		return settings.Invalid("/takeoverSilence", "%v is shorter than two heartbeats (%v each)", s.TakeoverSilence, s.Heartbeat)
	case s.Authority < 2*s.GrantEvery:
		return settings.Invalid("/authority", "%v is shorter than two renewals (%v each): one lost message would end the authority", s.Authority, s.GrantEvery)
	case s.ClockMargin < 0:
		return settings.Invalid("/clockMargin", "%v is negative", s.ClockMargin)
	case s.TakeoverPatience < 0:
		return settings.Invalid("/takeoverPatience", "%v is negative", s.TakeoverPatience)
	case s.ReleaseLimit < 0:
		return settings.Invalid("/releaseLimit", "%v is negative", s.ReleaseLimit)
	}
	for i, addr := range s.Peers {
		if err := daemon.CheckAddr(fmt.Sprintf("/peers/%d", i), addr); err != nil {
			return err
		}
	}
	return daemon.CheckAddr("/listen", s.Listen)
}
