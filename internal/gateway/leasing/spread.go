package leasing

import (
	"context"
	"math"
	"slices"
	"time"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/decide/keyspread"
	"hemlockquay/internal/lease"
)

const (
	// loadQueryInterval is how often the grantor queries the VMs for the load of keys in a fleet of up to
	// loadQueryVMs VMs. In a larger fleet it queries less often, so that it makes at most 400 calls a second.
	loadQueryInterval = 250 * time.Millisecond
	loadQueryVMs      = 100
	// slownessAnswers is the number of answers over which the slowness of a target is averaged. At about ten
	// answers a second, changes count within two seconds, and slowdowns of a fraction of a second do not.
	slownessAnswers = 16
	// spreadInterval is the minimum time between two checks of the load: rates decay over about a
	// second, and a move takes a few hundred milliseconds.
	spreadInterval = 300 * time.Millisecond
	// DefaultMoves is the default of Spread.Moves, DefaultRanges that of Spread.Ranges.
	DefaultMoves  = 12
	DefaultRanges = 1024
	// maxDivisions bounds how often the slices of one decision are divided: a range of any rate is then below the
	// capacity of one owner.
	maxDivisions = 10
	// defaultServiceTime is the service time before any was measured.
	defaultServiceTime = 100 * time.Millisecond
)

// Spread bounds how keys are spread over the targets of a service.
type Spread struct {
	// Moves is the number of slices that get another owner in one decision.
	Moves int
	// Ranges limits the slices of a service, including those that result from splits. If there are more owners than
	// half of it, splits add no more than that half.
	Ranges int
	// Surges makes slices that suddenly become hot be divided and moved in one decision.
	Surges bool
}

// orDefault returns s with defaults for what is not set.
func (s Spread) orDefault() Spread {
	if s.Moves == 0 {
		s.Moves = DefaultMoves
	}
	if s.Ranges == 0 {
		s.Ranges = DefaultRanges
	}
	return s
}

func (s Spread) bounds() keyspread.Bounds { return keyspread.Bounds{Moves: s.Moves, Divides: s.Moves} }

// maxSlices returns the number of slices up to which slices are divided.
func (s Spread) maxSlices(owners int) int { return max(s.Ranges, owners+s.Ranges/2) }

// initialSlices returns the number of slices that are assigned to some owners for the first time. With surges expected,
// each owner gets the same number: owners with one slice and owners with two would differ by half of the mean load.
func (s Spread) initialSlices(owners int) int {
	n := initialSlices(owners)
	if !s.Surges || n%owners == 0 {
		return n
	}
	return (n + owners/2) / owners * owners
}

// maxReleases limits the connections to a target for releases. A slice that is hot is moved in many parts, each of which
// waits for the requests that run on it.
func (s Spread) maxReleases() int { return max(maxConcurrentReleases, s.Moves/4) }

// loadView is what the grantor knows of the load of keys and the speed of targets.
type loadView struct {
	rates      *keyspread.Rates
	lastQuery  time.Duration
	lastSpread time.Duration
	// nextLimit is when the limits are decided again. limits holds the limits of the slices that
	// have one, by the first key of the slice.
	nextLimit time.Duration
	limits    map[uint16]lease.Limit
	// slowness is the logarithm of the slowness of targets that have answered, by the hash of the
	// target's id.
	slowness map[uint32]float64
}

func newLoadView() *loadView {
	return &loadView{rates: keyspread.NewRates(), slowness: make(map[uint32]float64)}
}

// add adds the load that a VM has counted.
func (v *loadView) add(in KeyLoad) {
	for i, key := range in.Keys {
		v.rates.Add(key, int(in.Requests[i]))
	}
	for i, t := range in.Targets {
		measured := math.Log(max(float64(in.Slowness[i]), 1) / hundredths)
		weight := 1 - math.Pow(1-1.0/slownessAnswers, float64(in.Answers[i]))
		v.slowness[t] += weight * (measured - v.slowness[t])
	}
}

// slownessOf returns the slowness of a target, averaged over its last answers to all VMs, or 1 if there
// were none.
func (v *loadView) slownessOf(target uint32) float64 { return math.Exp(v.slowness[target]) }

// queryLoad collects the load of keys from all VMs.
func (l *leader) queryLoad(ctx context.Context, now time.Duration) {
	others := l.Mesh.Others()
	if now-l.load.lastQuery < loadQueryInterval*time.Duration(max(len(others), loadQueryVMs))/loadQueryVMs {
		return
	}
	l.load.lastQuery = now
	l.load.rates.Advance(now)
	l.load.add(l.TargetDirectory.TakeKeyLoad(l.service))
	for _, vm := range others {
		go func() {
			var in KeyLoad
			if err := l.Mesh.Call(ctx, vm, "View.KeyLoad", &l.service, &in); err != nil {
				l.Log.Debug().Str("step", "load").Str("peer", vm).Err(err).Msg("load of keys not received")
				return
			}
			if !in.normalize() {
				l.Log.Warn().Str("step", "load").Str("peer", vm).Msg("malformed load of keys")
				return
			}
			l.enqueue(ctx, func() { l.load.add(in) })
		}()
	}
}

// spreadLoad splits slices that are too hot for their owners, or returns their moves to other owners.
// If it splits any slice, it decides again in the next step.
func (l *leader) spreadLoad(live []lease.Owner, now time.Duration) []lease.Change {
	if now-l.load.lastSpread < spreadInterval {
		return nil
	}
	l.load.lastSpread = now
	d, sums, settled := l.decideSpread(live, now)
	if !settled {
		l.load.lastSpread = 0
		return nil
	}
	moved := make([]lease.Change, 0, len(d.Moves))
	for _, m := range d.Moves {
		moved = append(moved, lease.Change{Slice: m.Range, To: live[m.To]})
	}
	for _, c := range moved {
		s := l.grants.Record().Slices[c.Slice]
		perSecond, limited := l.TargetDirectory.Limit(s.Owner.ID)
		l.Log.Info().Str("step", "spread").Str("service", l.service).Uint16("from", s.From).Float64("rate", sums[c.Slice].Rate).
			Str("owner", s.Owner.ID).Bool("refusing", l.TargetDirectory.Refusing(s.Owner.ID)).Bool("limited", limited).Float64("perSecond", perSecond).Str("to", c.To.ID).Msg("hot keys get another owner")
	}
	return moved
}

// decideSpread divides hot slices and returns the moves to make. settled is false if slices were divided and the load must
// be looked at again in the next step.
func (l *leader) decideSpread(live []lease.Owner, now time.Duration) (d keyspread.Decision, sums []keyspread.Sum, settled bool) {
	relieve, refusing := l.limited(live), l.refusing(live, now)
	divided := 0
	for range maxDivisions {
		var ranges []keyspread.Range
		var capacity []float64
		ranges, sums, capacity = l.sliceLoads(live, now)
		for i := range live {
			if refusing[i] {
				relieve[i], capacity[i] = true, refusedCapacity
			}
		}
		d = keyspread.DecideWithin(ranges, capacity, relieve, l.Spread.bounds())
		if len(ranges)+len(d.Divide) > l.Spread.maxSlices(len(live)) || !l.splitSlices(d.Divide, sums) {
			l.logDivided(divided, len(ranges), len(d.Moves))
			return d, sums, true
		}
		if divided += len(d.Divide); !l.Spread.Surges {
			break
		}
	}
	return keyspread.Decision{}, nil, false
}

// logDivided logs divisions that were decided together with moves.
func (l *leader) logDivided(divided, slices, moves int) {
	if divided == 0 {
		return
	}
	l.Log.Info().Str("step", "spread").Str("service", l.service).Int("divided", divided).Int("slices", slices).Int("moves", moves).
		Msg("hot keys divided")
}

// updateLimits decides which fraction of the requests for each slice the VMs admit. The more VMs there
// are, the older are their counts of an owner's requests. With these counts alone, the VMs together
// would send the owner of a hot key many times what it can handle, and it would leave its renewals
// unanswered.
func (l *leader) updateLimits(now time.Duration) {
	if now < l.load.nextLimit {
		return
	}
	l.load.nextLimit = now + spreadInterval
	ranges, _, capacity := l.sliceLoads(l.liveOwners(now), now)
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

// splitSlices splits these slices in two and reports whether it split any. A slice with a renewal in
// flight cannot be split; it must not delay the moves of others.
func (l *leader) splitSlices(which []int, sums []keyspread.Sum) bool {
	split := false
	// Split the last one first, so that the indexes of the others stay valid.
	for _, i := range slices.Backward(slices.Sorted(slices.Values(which))) {
		if l.grants.SplitSlice(i, sums[i].SplitAfter) {
			split = true
		}
	}
	return split
}

// sliceLoads returns the load of all slices and the capacity of the owners.
func (l *leader) sliceLoads(live []lease.Owner, now time.Duration) ([]keyspread.Range, []keyspread.Sum, []float64) {
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

// minCapacity bounds the capacity of a target that states a lower limit.
const minCapacity = 0.1

// limited reports for each owner whether it states a limit.
func (l *leader) limited(owners []lease.Owner) []bool {
	out := make([]bool, len(owners))
	for i, o := range owners {
		_, out[i] = l.TargetDirectory.Limit(o.ID)
	}
	return out
}

// capacityOf returns how many requests a second a target can handle, or takes if it states a limit.
func (l *leader) capacityOf(o lease.Owner) float64 {
	if perSecond, limited := l.TargetDirectory.Limit(o.ID); limited {
		return max(minCapacity, min(perSecond, l.usualCapacityOf(o)))
	}
	return l.usualCapacityOf(o)
}

func (l *leader) usualCapacityOf(o lease.Owner) float64 {
	slots, serviceTime := max(l.TargetDirectory.Slots(o.ID), 1), defaultServiceTime
	if d, known := l.TargetDirectory.MeanServiceTime(l.service); known {
		serviceTime = d
	}
	return float64(slots) / (serviceTime.Seconds() * l.load.slownessOf(catalog.Hash(o.ID)))
}
