package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// Drill is how long changes of one contract took to be in force.
type Drill struct {
	Changes int `json:"changes"`
	Daemons int `json:"daemons"`
	// Missing counts pairs of change and daemon without a journal entry: two
	// changes so close that the daemon went from one to the one after.
	Missing int `json:"missing"`
	// PerDaemon is from accepted to in force on a daemon; Everywhere from
	// accepted to in force on the last daemon. Milliseconds.
	PerDaemon  Quantiles `json:"perDaemon"`
	Everywhere Quantiles `json:"everywhere"`
}

// Quantiles are quantiles, milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// drillSettleTime is the wait after the last change before journals are read.
const drillSettleTime = 3 * time.Second

// acceptedChange is one change of a drill.
type acceptedChange struct {
	version uint64
	at      time.Time
}

// RunDrill changes the burst of one contract up and down by one at the rate,
// and reads from the daemons' journals when each version came into force. The
// clocks of the VMs must agree to the precision that is asked for. The contract
// is left as it was.
func (f *Fleet) RunDrill(ctx context.Context, customer string, changes int, perSecond float64) (*Drill, error) {
	id := platform.ID{Kind: model.KindContract, Name: customer}
	first, err := f.Store.Get(ctx, id)
	if err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	var accepted []acceptedChange
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	version := first.Version
	for n := range changes {
		<-tick.C
		o, err := withBurstChange(first, version, (n+1)%2)
		if err != nil {
			return nil, err
		}
		r, err := Apply(ctx, f.Store, o)
		if err != nil {
			return nil, fmt.Errorf("drill: %w", err)
		}
		version = r.Version
		accepted = append(accepted, acceptedChange{version, time.Now()})
	}
	if changes%2 == 1 {
		first.Version = version
		if _, err := Apply(ctx, f.Store, first); err != nil {
			return nil, fmt.Errorf("drill: bring back: %w", err)
		}
	}
	time.Sleep(drillSettleTime)
	entries, _, err := f.journals(ctx)
	if err != nil {
		return nil, err
	}
	return measureDrill(customer, accepted, entries), nil
}

func withBurstChange(o platform.Object, version uint64, delta int) (platform.Object, error) {
	c, err := decodeContract(o)
	if err != nil {
		return o, err
	}
	c.Services[0].Burst += delta
	o.Version = version
	o.Spec, err = json.Marshal(c)
	return o, err
}

// newHistogram takes 1 µs to a minute at three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func measureDrill(customer string, accepted []acceptedChange, entries []journal.Entry) *Drill {
	inForce := make(map[string]map[daemonID]time.Time)
	daemons := make(map[daemonID]bool)
	for _, e := range entries {
		for _, s := range e.Subjects {
			if inForce[s] == nil {
				inForce[s] = make(map[daemonID]time.Time)
			}
			inForce[s][daemonID{e.VM, e.Process}] = e.At
		}
	}
	perDaemon, everywhere := newHistogram(), newHistogram()
	d := &Drill{Changes: len(accepted)}
	for _, a := range accepted {
		slowest := time.Duration(0)
		for p, at := range inForce[journal.Version(customer, a.version)] {
			daemons[p] = true
			took := max(at.Sub(a.at), time.Microsecond)
			slowest = max(slowest, took)
			_ = perDaemon.RecordValue(took.Microseconds())
		}
		_ = everywhere.RecordValue(max(slowest.Microseconds(), 1))
	}
	d.Daemons = len(daemons)
	d.Missing = len(accepted)*len(daemons) - int(perDaemon.TotalCount())
	d.PerDaemon, d.Everywhere = quantilesOf(perDaemon), quantilesOf(everywhere)
	return d
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}
