package gateway

import (
	"context"
	"errors"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/storerelay"
)

// recordStoreResult notes from the end of a call, sent at that time, whether the store answers.
// A failure counts only if its call was sent after the latest answer: calls that were sent before
// an outage run into their timeouts after it.
func (g *Gateway) recordStoreResult(sent time.Duration, err error) {
	switch {
	case errors.Is(err, context.Canceled):
		// The call was given up here.
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrGone):
		g.storeRespondedAt.Store(int64(g.clock.Now()))
		g.setStoreUp(true, nil)
	case int64(sent) >= g.storeRespondedAt.Load():
		g.setStoreUp(false, err)
	}
}

func (g *Gateway) setStoreUp(up bool, cause error) {
	if g.storeUp.Swap(up) != up {
		g.log.Warn().Str("step", "store").Bool("up", up).AnErr("cause", cause).Msg("store lost or regained")
		// Another VM has to watch in place of this one.
		g.mesh.Announce()
	}
	g.state.updateMembership(func(m *catalog.Members, now time.Duration) {
		if up {
			m.StoreBack(now)
		} else {
			m.StoreLost()
		}
	})
}

// relayedResponseMaxAge is how long an answer of the store through another VM shows that this VM
// still reaches it.
const relayedResponseMaxAge = 1500 * time.Millisecond

// storeRelayed reports whether the store has lately answered this VM through another one.
func (g *Gateway) storeRelayed() bool {
	at := g.storeRelayedAt.Load()
	return at > 0 && g.clock.Now()-time.Duration(at) < relayedResponseMaxAge
}

// recordRelayedResponse notes an answer of the store through another VM. The others learn of the
// first one at once: they would succeed a grantor without the store.
func (g *Gateway) recordRelayedResponse() {
	before := g.storeRelayed()
	g.storeRelayedAt.Store(int64(g.clock.Now()))
	if !before {
		g.log.Info().Str("step", "store").Msg("store reached through another VM")
		g.mesh.Announce()
	}
}

// leaseStore returns the store for lease records, which other VMs relay while it turns
// this one away.
func (g *Gateway) leaseStore() *storerelay.Store {
	return &storerelay.Store{Direct: g.store, Up: g.storeUp.Load, Mesh: g.mesh, Answered: g.recordRelayedResponse}
}
