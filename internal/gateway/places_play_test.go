package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/route"
)

// The first meter starts a goroutine for all of them, which virtual time would wait for if it began in a test's bubble.
var _ = metrics.NewMeter()

const (
	placeSlots = 2
	// placeRoom is what a target with that many slots runs and queues. It resets the connections of further requests.
	placeRoom = 5 * placeSlots
)

// newPlacePlay starts VMs that use an owner of all keys, which resets the connections of requests that it has no room for.
// With fromVMs 0 the VMs ask for no places.
func newPlacePlay(t *testing.T, vms, fromVMs int) *limitPlay {
	p := newLimitPlay(t, vms)
	owner := p.targets["owner"]
	owner.mu.Lock()
	owner.slots, owner.room = make(chan struct{}, placeSlots), placeRoom
	owner.mu.Unlock()
	p.store.put("targets", "owner", catalog.Target{ID: "owner", Service: "keyed", Addr: "owner:1", DataCentre: "a", Slots: placeSlots, Born: 1, Revision: p.store.nextRevision()})
	for _, vm := range p.vms {
		vm.state.mu.Lock()
		vm.state.placesFromVMs = fromVMs
		vm.state.mu.Unlock()
		go vm.lines.sweep(vm.ctx)
	}
	time.Sleep(2 * time.Second)
	return p
}

// playPlaces offers a route's requests and returns the owner and the answers to callers by status.
func (p *limitPlay) playPlaces(routeName string, perSecond float64, over time.Duration) (owner *playTarget, statuses map[int]int) {
	p.offer(routeName, perSecond, over).Wait()
	time.Sleep(2 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets["owner"], p.statuses[routeName]
}

// Guards against requests that must not be repeated and are lost because many VMs overrun an owner together.
func TestVMsTogetherDoNotOverrunAnOwner(t *testing.T) {
	for _, vms := range []int{20, 60} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlacePlay(t, vms, 2)
			defer p.stop()
			const perSecond, seconds = 150, 4
			owner, statuses := p.playPlaces("urgent", perSecond, seconds*time.Second)
			require.Zero(t, owner.resets)
			require.LessOrEqual(t, owner.mostAt, placeRoom)
			require.Zero(t, statuses[http.StatusBadGateway]+statuses[http.StatusGatewayTimeout])
			capacity := placeSlots * seconds / limitedWork.Seconds()
			require.Greater(t, float64(statuses[http.StatusOK]), 0.8*capacity, "answers: %v", statuses)
		})
	}
}

// Guards against an owner without requests, or with too many, when the VM is lost that gives out its places.
func TestPlacesAreGivenOutWhenTheirHolderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacePlay(t, 20, 2)
		defer p.stop()
		_, order := p.vms[0].state.placeRequest(&call{service: "keyed", route: new(route.Route)}, "owner", time.Second)
		for _, vm := range p.vms {
			if vm.self.VM == order[0] {
				p.setDown(vm, true)
			}
		}
		owner, statuses := p.playPlaces("urgent", 40, 4*time.Second)
		require.Zero(t, owner.resets)
		require.Zero(t, statuses[http.StatusBadGateway]+statuses[http.StatusGatewayTimeout], "answers: %v", statuses)
		require.Greater(t, statuses[http.StatusOK], 120, "answers: %v", statuses)
	})
}

// Guards against places that are asked for where the settings do not say so.
func TestNoPlacesWithoutTheSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacePlay(t, 20, 0)
		defer p.stop()
		_, statuses := p.playPlaces("urgent", 20, 2*time.Second)
		require.NotZero(t, statuses[http.StatusOK])
		for _, vm := range p.vms {
			require.Zero(t, vm.places.granted.Count()+vm.places.noHolder.Count())
		}
	})
}
