package loadgen

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// healthInterval is how often the balancer looks at each entry's /readyz, as the
// platform's balancer does; its view lags by this much.
const healthInterval = 250 * time.Millisecond

// balancer plays the platform's balancer: it hands requests to entries in turn
// and leaves out those that are not ready. Without admin addresses it takes all.
type balancer struct {
	entries, admins []string
	notReady        []atomic.Bool
	http            *http.Client
}

func newBalancer(entries, admins []string) *balancer {
	return &balancer{
		entries: entries, admins: admins, notReady: make([]atomic.Bool, len(entries)),
		http: &http.Client{Timeout: healthInterval},
	}
}

// pick returns the entry for the n-th request, on its tried-th try.
func (b *balancer) pick(n, tried int) string {
	for i := range b.entries {
		k := (n + tried + i) % len(b.entries)
		if !b.notReady[k].Load() {
			return b.entries[k]
		}
	}
	return b.entries[n%len(b.entries)]
}

// run looks at every entry until the context ends.
func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		for i, admin := range b.admins {
			b.notReady[i].Store(!b.ready(ctx, admin))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) ready(ctx context.Context, admin string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
