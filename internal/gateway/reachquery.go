package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/mesh"
)

const (
	// reachTimeout bounds a query for what another VM reaches, including its dials.
	reachTimeout = 700 * time.Millisecond
	// maxReachQueried bounds the VMs that one query asks.
	maxReachQueried = 3
	// maxReachTargets bounds the targets that one query dials.
	maxReachTargets = 16
)

// reachedByOthers asks the VMs that have reported the fewest of the targets as unreached which of them they
// reach now, and returns the largest number that one of them reaches.
func (g *Gateway) reachedByOthers(ctx context.Context, targets []string) (most int) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	hashes := make([]uint32, len(targets))
	for i, id := range targets {
		hashes[i] = catalog.Hash(id)
	}
	members, _ := g.mesh.Forwarders(0)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b mesh.Member) int {
		return cmp.Compare(g.mesh.UnreachedBy(a.VM, hashes), g.mesh.UnreachedBy(b.VM, hashes))
	})
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

// dialTargets returns which of the targets accept a connection from this VM.
func (g *Gateway) dialTargets(ctx context.Context, ids []string) []string {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var out []string
	for _, id := range ids[:min(len(ids), maxReachTargets)] {
		g.state.mu.Lock()
		t := g.state.targets[id]
		g.state.mu.Unlock()
		if t == nil {
			continue
		}
		wait.Go(func() {
			if g.dial(ctx, t) == nil {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, id)
			}
		})
	}
	wait.Wait()
	return out
}
