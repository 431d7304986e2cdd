package gateway

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// announcedConfig is the newest version of the configuration that other VMs have announced. It shows how long
// this VM has known of a version that is not in force here. It is safe for concurrent use.
type announcedConfig struct {
	log *log.Logger

	mu      sync.Mutex
	version uint64
	at      time.Duration
}

// record records a version that is newer than the one in force, and the time at which the heartbeat arrived.
func (a *announcedConfig) record(version, inForce uint64, vm string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version <= a.version {
		return
	}
	a.version, a.at = version, now
	a.log.Info().Str("step", "config").Uint64("version", version).Uint64("inForce", inForce).Str("peer", vm).Msg("newer configuration announced")
}

// newest returns the newest announced version, or 0 if there is none.
func (a *announcedConfig) newest() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// age returns the time since a version was announced, or 0 if this VM got it before any announcement.
func (a *announcedConfig) age(version uint64, now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version != a.version {
		return 0
	}
	return now - a.at
}
