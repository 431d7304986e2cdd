package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a change that no VM hears of because the store dropped its history while watches waited.
func TestChangesAreKnownInTimeAlthoughTheStoreDropsItsHistory(t *testing.T) {
	for name, change := range storeChanges {
		for _, hidden := range []time.Duration{300, 700, 1000} {
			hidden *= time.Millisecond
			t.Run(name+", hidden for "+hidden.String(), func(t *testing.T) {
				inPlay(t, func(t *testing.T) {
					p := newPlay(t, 10)
					defer p.stop()
					time.Sleep(5 * time.Second)
					p.store.hideChanges()
					time.Sleep(5 * time.Millisecond)
					revision := change.write(p.store)
					written := time.Now()
					time.AfterFunc(hidden, p.store.dropHistory)
					for waiting := slices.Clone(p.vms); len(waiting) > 0 && time.Since(written) < 10*time.Second; {
						time.Sleep(10 * time.Millisecond)
						waiting = slices.DeleteFunc(waiting, func(vm *playVM) bool { return change.known(vm.state.view.Load(), revision) })
					}
					t.Log("known after", time.Since(written))
					require.LessOrEqual(t, time.Since(written), changeBound)
				})
			})
		}
	}
}
