package gateway

import (
	"context"
	"errors"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/storerelay"
)

// recordStoreResult updates from the result of a call whether the store is reachable; sent is when
// the call was sent. A failure counts only if its call was sent after the store's latest response,
// because calls that were sent before an outage may time out after it.
func (g *Gateway) recordStoreResult(sent time.Duration, err error) {
	switch {
	case errors.Is(err, context.Canceled):
		// The call was cancelled by this process and says nothing about the store.
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
		// The other VMs must know, because one of them may have to watch the store in place of
		// this one.
		g.mesh.Announce()
	}
	g.state.updateMembership(func(m *catalog.TargetSet, now time.Duration) {
		if up {
			m.MarkStoreUp(now)
		} else {
			m.MarkStoreDown()
		}
	})
}

// relayedResponseMaxAge is how long a response of the store through another VM counts as evidence
// that this VM reaches the store indirectly.
const relayedResponseMaxAge = 1500 * time.Millisecond

// storeRelayed reports whether the store has recently responded to this VM through another one.
func (g *Gateway) storeRelayed() bool {
	at := g.storeRelayedAt.Load()
	return at > 0 && g.clock.Now()-time.Duration(at) < relayedResponseMaxAge
}

// recordRelayedResponse records a response of the store through another VM. The first one is
// announced to the other VMs at once, because they would replace a grantor that does not reach the
// store.
func (g *Gateway) recordRelayedResponse() {
	before := g.storeRelayed()
	g.storeRelayedAt.Store(int64(g.clock.Now()))
	if !before {
		g.log.Info().Str("step", "store").Msg("store reached through another VM")
		g.mesh.Announce()
	}
}

// leaseStore returns the store for lease records. While this VM does not reach the store, other
// VMs relay its calls.
func (g *Gateway) leaseStore() *storerelay.Store {
	return &storerelay.Store{Direct: g.store, Up: g.storeUp.Load, Mesh: g.mesh, OnRelayAnswer: g.recordRelayedResponse}
}
