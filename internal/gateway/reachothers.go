package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// reachTimeout bounds a query for what another VM reaches, including its dials.
	reachTimeout = 700 * time.Millisecond
	// maxReachQueried bounds the VMs that one query asks.
	maxReachQueried = 2
)

// reachedByOthers asks other VMs which of the targets they reach now and returns the largest number that
// one of them reaches.
func (g *Gateway) reachedByOthers(ctx context.Context, targets []string) (most int) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	members, _ := g.mesh.Forwarders(0)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, m := range members[:min(len(members), maxReachQueried)] {
		wait.Go(func() {
			var reached []string
			if g.forwardClients.Get(m.Addr).Call(ctx, "Forward.Reach", &targets, &reached) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			most = max(most, len(reached))
		})
	}
	wait.Wait()
	return most
}
