package agent

import (
	"sync"
	"time"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/wire"
)

// loadReportTTL is how long the loads reported by a VM are counted.
const loadReportTTL = 5 * time.Second

// loadTable holds the load of groups that VMs report to an assigner. It is safe for concurrent
// use.
type loadTable struct {
	clock boottime.Clock

	mu  sync.Mutex
	vms map[string]vmLoads
}

type vmLoads struct {
	loads      []wire.GroupLoad
	receivedAt time.Duration
}

func newLoadTable() *loadTable {
	return &loadTable{clock: boottime.System{}, vms: make(map[string]vmLoads)}
}

func (t *loadTable) record(args *wire.LoadsArgs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms[args.VM] = vmLoads{args.Loads[:min(len(args.Loads), wire.MaxLoads)], t.clock.Now()}
}

// rates returns the requests per second of each of a service's groups, summed over all VMs.
func (t *loadTable) rates(service string) map[uint64]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := make(map[uint64]float64)
	for vm, v := range t.vms {
		if t.clock.Now()-v.receivedAt > loadReportTTL {
			delete(t.vms, vm)
			continue
		}
		for _, l := range v.loads {
			if l.Service == service {
				sum[l.Group] += l.Rate
			}
		}
	}
	return sum
}

// Loads implements the RPC with which VMs report their load to an assigner.
func (r *relay) Loads(args *wire.LoadsArgs, _ *wire.Empty) error {
	r.loads.record(args)
	return nil
}

// ownLoads returns the last report of the VM's dispatcher.
func (r *relay) ownLoads() []wire.GroupLoad {
	for _, d := range r.liveDaemons() {
		if d.Process == dispatchProcess {
			return d.Loads
		}
	}
	return nil
}

// serviceGrants returns the current grants of a service that the VMs report.
func (r *relay) serviceGrants(service string) []wire.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.Grant
	for _, g := range r.allGrants {
		if g.Service == service {
			out = append(out, g)
		}
	}
	return out
}
