package gateway

import (
	"context"
	"errors"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/storerelay"
)

// noteStore notes from the end of a call, sent at that time, whether the store answers.
// A failure counts only if its call was sent after the latest answer: calls that were sent before
// an outage run into their timeouts after it.
func (g *Gateway) noteStore(sent time.Duration, err error) {
	switch {
	case errors.Is(err, context.Canceled):
		// The call was given up here.
	case err == nil, errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrGone):
		g.storeAnsweredAt.Store(int64(g.clock.Now()))
		g.storeState(true, nil)
	case int64(sent) >= g.storeAnsweredAt.Load():
		g.storeState(false, err)
	}
}

func (g *Gateway) storeState(up bool, cause error) {
	if g.storeUp.Swap(up) != up {
		g.log.Warn().Str("step", "store").Bool("up", up).AnErr("cause", cause).Msg("store lost or regained")
		// Another VM has to watch in place of this one.
		g.mesh.Announce()
	}
	g.state.changeMembersQuietly(func(m *catalog.TargetSet, now time.Duration) {
		if up {
			m.MarkStoreUp(now)
		} else {
			m.MarkStoreDown()
		}
	})
}

// relayedFresh is how long an answer of the store through another VM shows that this VM
// still reaches it.
const relayedFresh = 1500 * time.Millisecond

// storeRelayed reports whether the store has lately answered this VM through another one.
func (g *Gateway) storeRelayed() bool {
	at := g.storeRelayedAt.Load()
	return at > 0 && g.clock.Now()-time.Duration(at) < relayedFresh
}

// noteRelayed notes an answer of the store through another VM. The others learn of the
// first one at once: they would succeed a grantor without the store.
func (g *Gateway) noteRelayed() {
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
	return &storerelay.Store{Direct: g.store, Up: g.storeUp.Load, Mesh: g.mesh, OnRelayAnswer: g.noteRelayed}
}
