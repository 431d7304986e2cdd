package loadgen

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// healthInterval is the interval between two checks of each entry's /readyz, as at the
// platform's balancer. A change of readiness is noticed with up to this delay.
const healthInterval = 250 * time.Millisecond

// balancer simulates the platform's load balancer: it assigns requests to entries in turn
// and skips entries that are not ready. Without admin addresses it uses all.
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

// pick returns the entry for the n-th request after the given number of failed tries.
func (b *balancer) pick(n, tried int) string {
	for i := range b.entries {
		k := (n + tried + i) % len(b.entries)
		if !b.notReady[k].Load() {
			return b.entries[k]
		}
	}
	return b.entries[n%len(b.entries)]
}

// run checks the readiness of every entry until the context ends.
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
