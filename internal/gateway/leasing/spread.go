package leasing

import (
	"context"
	"slices"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/keyspread"
	"hemlockquay/internal/lease"
)

const (
	// queryLoadEvery is how often the grantor queries the VMs for the load of keys.
	queryLoadEvery = 250 * time.Millisecond
	// spreadEvery is the least time between two checks of the load: rates fade
	// over about a second, and a move takes a few hundred milliseconds.
	spreadEvery = 300 * time.Millisecond
	// slicesDivided bounds the slices of a service, with those that were divided.
	slicesDivided = 1024
	// assumedTime is the service time before any was measured.
	assumedTime = 100 * time.Millisecond
)

// loadView is the grantor's view of the load of keys and the speed of targets.
type loadView struct {
	rates  *keyspread.Rates
	asked  time.Duration
	spread time.Duration
	// limitNext is when the limits are decided again, limits holds those of slices that have
	// one, by their first keys.
	limitNext time.Duration
	limits    map[uint16]lease.Limit
	// slowness is the last report of each VM on each target, by the hash of its
	// id.
	slowness map[string]map[uint32]float64
}

func newLoadView() *loadView {
	return &loadView{rates: keyspread.NewRates(), slowness: make(map[string]map[uint32]float64)}
}

func (v *loadView) take(vm string, in KeyLoad) {
	for i, key := range in.Keys {
		v.rates.Add(key, int(in.Requests[i]))
	}
	slow := make(map[uint32]float64, len(in.Targets))
	for i, t := range in.Targets {
		slow[t] = float64(in.Slowness[i]) / hundredths
	}
	v.slowness[vm] = slow
}

// slownessOf returns the mean of what all VMs report of a target.
func (v *loadView) slownessOf(target uint32) float64 {
	sum, n := 0.0, 0
	for _, m := range v.slowness {
		if s, ok := m[target]; ok {
			sum += s
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// queryLoad collects the load of keys from all VMs.
func (l *leader) queryLoad(ctx context.Context, now time.Duration) {
	if now-l.load.asked < queryLoadEvery {
		return
	}
	l.load.asked = now
	l.load.rates.Advance(now)
	l.load.take(l.Self.VM, l.TargetDirectory.TakeKeyLoad(l.service))
	for _, vm := range l.Mesh.Others() {
		go func() {
			var in KeyLoad
			if err := l.Mesh.Call(ctx, vm, "View.KeyLoad", &l.service, &in); err != nil {
				l.Log.Debug().Str("step", "load").Str("peer", vm).Err(err).Msg("load of keys not known")
				return
			}
			l.enqueue(ctx, func() { l.load.take(vm, in) })
		}()
	}
}

// spread divides and moves slices that are too hot for their owners.
func (l *leader) spread(live []lease.Owner, now time.Duration) []lease.Change {
	if now-l.load.spread < spreadEvery {
		return nil
	}
	l.load.spread = now
	ranges, sums, capacity := l.loads(live, now)
	d := keyspread.Decide(ranges, capacity)
	moved := make([]lease.Change, 0, len(d.Moves))
	for _, m := range d.Moves {
		moved = append(moved, lease.Change{Slice: m.Range, To: live[m.To]})
	}
	if len(ranges)+len(d.Divide) <= slicesDivided && l.divide(d.Divide, sums) {
		l.load.spread = 0
		return nil
	}
	for _, c := range moved {
		s := l.grants.Record().Slices[c.Slice]
		l.Log.Info().Str("step", "spread").Str("service", l.service).Uint16("from", s.From).Float64("rate", sums[c.Slice].Rate).
			Str("owner", s.Owner.ID).Str("to", c.To.ID).Msg("hot keys get another owner")
	}
	return moved
}

// limit decides which part of the requests for each slice the VMs let through. Counts of an
// owner's requests are older the more VMs there are: by these alone, all VMs together send the
// owner of a hot key many times what it can do, and it leaves its renewals unanswered.
func (l *leader) limit(now time.Duration) {
	if now < l.load.limitNext {
		return
	}
	l.load.limitNext = now + spreadEvery
	ranges, _, capacity := l.loads(l.live(now), now)
	limits := make(map[uint16]lease.Limit)
	for i, part := range keyspread.Admitted(ranges, capacity) {
		from := l.grants.Record().Slices[i].From
		limit := lease.NewLimit(part, l.load.limits[from])
		if limit == lease.Unlimited {
			continue
		}
		limits[from] = limit
		if l.load.limits[from] != limit {
			l.Log.Info().Str("step", "limit").Str("service", l.service).Uint16("from", from).Float64("rate", ranges[i].Rate).
				Float64("capacity", capacity[ranges[i].Owner]).Float64("part", limit.Fraction()).Msg("requests for hot keys limited")
		}
	}
	l.load.limits = limits
}

// divide cuts these slices in two and reports whether it cut any.
// A slice with a renewal in flight cannot be divided; it must not hold up the moves of others.
func (l *leader) divide(which []int, sums []keyspread.Sum) bool {
	divided := false
	// The last one first, so that the places of the others stay.
	for _, i := range slices.Backward(slices.Sorted(slices.Values(which))) {
		if l.grants.SplitSlice(i, sums[i].Half) {
			divided = true
		}
	}
	return divided
}

// loads returns the load of all slices and the capacity of the owners.
func (l *leader) loads(live []lease.Owner, now time.Duration) ([]keyspread.Range, []keyspread.Sum, []float64) {
	record := l.grants.Record()
	index := make(map[lease.Owner]int, len(live))
	capacity := make([]float64, len(live))
	for i, o := range live {
		index[o] = i
		capacity[i] = l.capacityOf(o)
	}
	from := make([]uint16, len(record.Slices))
	for i, s := range record.Slices {
		from[i] = s.From
	}
	sums := l.load.rates.Sums(from)
	warmupCost := l.TargetDirectory.WarmupCost(l.service)
	ranges := make([]keyspread.Range, len(record.Slices))
	for i, s := range record.Slices {
		owner, ok := index[s.Owner]
		if !ok {
			owner = -1
		}
		state, rate := l.grants.State(i, now), sums[i].Rate
		if state == lease.Cold {
			rate *= warmupCost
		}
		ranges[i] = keyspread.Range{
			Owner: owner, Rate: rate, Divisible: sums[i].Keys > 1,
			Fixed: !l.grants.Granted(i, now),
		}
	}
	return ranges, sums, capacity
}

// capacityOf returns how many requests a second a target can do.
func (l *leader) capacityOf(o lease.Owner) float64 {
	slots, usual := max(l.TargetDirectory.Slots(o.ID), 1), assumedTime
	if d, known := l.TargetDirectory.MeanServiceTime(l.service); known {
		usual = d
	}
	return float64(slots) / (usual.Seconds() * l.load.slownessOf(catalog.Hash(o.ID)))
}
