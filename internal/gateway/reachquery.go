package gateway

import (
	"context"
	"sync"

	"hemlockquay/internal/catalog"
)

// maxReachTargets bounds the targets that one query dials.
const maxReachTargets = 16

// targetHash returns the hash by which heartbeats name a target.
func targetHash(id string) uint32 { return catalog.Hash(id) }

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
