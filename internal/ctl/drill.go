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

// Drill is the result of a measurement of how long changes of one contract took to
// come into force.
type Drill struct {
	Changes int `json:"changes"`
	Daemons int `json:"daemons"`
	// Missing counts the pairs of a change and a daemon without a journal entry. This
	// happens if changes follow each other so closely that a daemon skips a version.
	Missing int `json:"missing"`
	// PerDaemon is the time from the acceptance of a change until it is in force on
	// a daemon, Everywhere until it is in force on the last daemon, in milliseconds.
	PerDaemon  Quantiles `json:"perDaemon"`
	Everywhere Quantiles `json:"everywhere"`
}

// Quantiles are the median, 99th percentile and maximum of a duration, in
// milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// drillSettleTime is the pause between the last change and the reading of the journals.
// It lets the last version come into force.
const drillSettleTime = 3 * time.Second

// acceptedChange is a change of a drill that the store has accepted.
type acceptedChange struct {
	version uint64
	at      time.Time
}

// RunDrill alternately raises and restores the burst of one contract by one, at the
// given rate, and reads from the daemons' journals when each version came into force.
// The result is only as precise as the clocks of the VMs agree. The contract is left
// unchanged.
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
			return nil, fmt.Errorf("drill: restore contract: %w", err)
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

// newHistogram returns a histogram for 1 µs to one minute with three significant digits.
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
