package agent

import (
	"sync"
	"time"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/wire"
)

// loadSilence is how long the figures of a VM count after its last report.
const loadSilence = 5 * time.Second

// loadBook is what VMs reported to an assigner of the load of groups. It is safe for
// concurrent use.
type loadBook struct {
	clock boottime.Clock

	mu  sync.Mutex
	vms map[string]vmLoads
}

type vmLoads struct {
	loads []wire.GroupLoad
	at    time.Duration
}

func newLoadBook() *loadBook {
	return &loadBook{clock: boottime.System{}, vms: make(map[string]vmLoads)}
}

func (b *loadBook) take(args *wire.LoadsArgs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms[args.VM] = vmLoads{args.Loads[:min(len(args.Loads), wire.MaxLoads)], b.clock.Now()}
}

// of returns the requests per second of a service's groups over all VMs.
func (b *loadBook) of(service string) map[uint64]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := make(map[uint64]float64)
	for vm, v := range b.vms {
		if b.clock.Now()-v.at > loadSilence {
			delete(b.vms, vm)
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

// Loads implements the RPC by which VMs report their load to an assigner.
func (r *relay) Loads(args *wire.LoadsArgs, _ *wire.Empty) error {
	r.loads.take(args)
	return nil
}

// ownLoads returns what the VM's dispatcher reported last.
func (r *relay) ownLoads() []wire.GroupLoad {
	for _, d := range r.liveDaemons() {
		if d.Process == dispatchProcess {
			return d.Loads
		}
	}
	return nil
}

// grantsOf returns the grants in force of a service, as all VMs report them.
func (r *relay) grantsOf(service string) []wire.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []wire.Grant
	for _, g := range r.combined {
		if g.Service == service {
			out = append(out, g)
		}
	}
	return out
}
