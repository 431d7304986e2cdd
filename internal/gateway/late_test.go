package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/route"
)

// Guards against 404 for a route that was added, at a VM that gets every message of other VMs and of the store late.
func TestVMWhoseInputsAreLateDeniesNoNewRoute(t *testing.T) {
	for _, vms := range []int{3, 10, 40} {
		for _, late := range []time.Duration{500, 1500, 3000, 6000} {
			late *= time.Millisecond
			t.Run(fmt.Sprint(vms, " VMs, late by ", late), func(t *testing.T) {
				inPlay(t, func(t *testing.T) {
					defer time.Sleep(2 * late) // until late messages have arrived
					p := newPlay(t, vms)
					defer p.stop()
					time.Sleep(5 * time.Second)
					for _, vm := range p.vms[:2] {
						p.late.Store(vm.self.Addr, late)
						vm.heldUp.Store(int64(late))
					}
					time.Sleep(2*late + time.Second)
					p.store.put("config", "main", route.Config{Version: 2, Routes: []route.Route{{Name: "new", Host: "new.example", Prefix: "/", Unusable: "not served in this test"}}})
					time.Sleep(changeBound)
					for range 100 {
						for _, vm := range p.vms {
							w := httptest.NewRecorder()
							vm.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://new.example/", nil))
							require.NotEqual(t, http.StatusNotFound, w.Code, "%s %v after the change, configuration confirmed %v ago", vm.self.VM, changeBound, vm.confirmations.age("config"))
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			})
		}
	}
}

// Guards against a version that never arrives because each transfer is given up shortly before its end.
func TestSlowTransferIsNotBegunAnew(t *testing.T) {
	inPlay(t, func(t *testing.T) {
		const late = 700 * time.Millisecond
		defer time.Sleep(2 * late) // until late messages have arrived
		p := newPlay(t, 5)
		defer p.stop()
		time.Sleep(5 * time.Second)
		slow := p.byPreference()[4]
		slow.silent.Store(true)
		p.late.Store(slow.self.Addr, late)
		p.store.put("config", "main", route.Config{Version: 2})
		time.Sleep(changeBound)
		require.EqualValues(t, 2, slow.state.view.Load().ConfigVersion())
	})
}
