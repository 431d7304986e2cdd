package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hemlockquay/internal/model"
)

const (
	// StateLimit has a target state a limit until the fault ends. A later fault of the same target changes it.
	StateLimit Kind = "limit"
	// LimitKept: from limitDelay after a target first stated a limit, it gets no more in any limitWindow than
	// limitExcess times what the limit allowed, and limitSlack. Only VMs count to which it has stated the limit
	// toldFor before, and which no fault has concerned for excusedFor.
	LimitKept = "LIMIT"

	limitWindow = 4 * time.Second
	limitDelay  = 3 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	toldFor     = 500 * time.Millisecond
	excusedFor  = 3 * time.Second
	// limitVMs is the number of VMs of the profile limits.
	limitVMs = 9
)

// limitSource returns the loopback address of a VM's connections to targets.
func limitSource(vm string) string {
	return fmt.Sprintf("127.0.2.%d", 1+slices.Index(names("vm", limitVMs), vm))
}

// vmAt returns the VM with an address of limitSource.
func vmAt(addr string) string {
	for _, vm := range names("vm", limitVMs) {
		if limitSource(vm) == addr {
			return vm
		}
	}
	return ""
}

// limitWatch counts the requests at a target that states a limit. It is guarded by site.mu.
type limitWatch struct {
	since  time.Time
	values []statedLimit
	// told holds when the target first stated the limit in a response to each VM.
	told     map[string]time.Time
	arrivals []time.Time
}

// statedLimit is a limit that is stated from a time on.
type statedLimit struct {
	at        time.Time
	perSecond float64
}

// stateLimit has a target state a limit. It needs w.mu.
func (w *site) stateLimit(target string, perSecond float64) {
	now := time.Now()
	if w.limits[target] == nil {
		w.limits[target] = &limitWatch{since: now, told: make(map[string]time.Time)}
	}
	l := w.limits[target]
	l.values = append(l.values, statedLimit{now, perSecond})
	w.targets[target].SetLimit(perSecond)
}

func (w *site) endLimit(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.limits, target)
	w.targets[target].SetLimit(-1)
}

// arrived records a request at a target.
func (w *site) arrived(target, from string, limited bool) {
	vm := vmAt(from)
	disturbed := w.undisturbedFor(vm) < excusedFor
	w.mu.Lock()
	l, now := w.limits[target], time.Now()
	if l == nil {
		w.mu.Unlock()
		return
	}
	told, known := l.told[vm]
	if !known && limited {
		l.told[vm] = now
	}
	if !known || now.Sub(told) < toldFor || disturbed {
		w.mu.Unlock()
		return
	}
	l.arrivals = append(slices.DeleteFunc(l.arrivals, func(at time.Time) bool { return now.Sub(at) >= limitWindow }), now)
	got, allowed, due := len(l.arrivals), limitExcess*l.allowed(now)+limitSlack, now.Sub(l.since) >= limitDelay
	w.mu.Unlock()
	if due && float64(got) > allowed {
		w.check.Violated(LimitKept, target, "%d requests in %v, %.1f allowed", got, limitWindow, allowed)
	}
}

// allowed returns how many requests the stated limits allowed in the limitWindow before now. What was stated first
// counts for the time before it.
func (l *limitWatch) allowed(now time.Time) (n float64) {
	end := now
	for i, v := range slices.Backward(l.values) {
		if v.at.After(now) {
			continue
		}
		begin := now.Add(-limitWindow)
		if i > 0 && v.at.After(begin) {
			begin = v.at
		}
		n += v.perSecond * max(0, end.Sub(begin).Seconds())
		end = v.at
		if !end.After(now.Add(-limitWindow)) {
			break
		}
	}
	return n
}

// Distributions of the faults of the profile limits.
var (
	limitInterval       = durationRange{500 * time.Millisecond, 3 * time.Second}
	limitDuration       = durationRange{4 * time.Second, 12 * time.Second}
	limitChangeInterval = durationRange{time.Second, 4 * time.Second}
)

const (
	// minStated and maxStated bound the limits. Without one, a target gets about fifteen requests a second.
	minStated, maxStated = 0.2, 6
	// calmOneIn makes one in this many limits start without a fault of a VM at about the same time.
	calmOneIn = 3
)

// GenerateLimits returns the fault schedule of a seed for the profile limits.
func GenerateLimits(seed uint64, over time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s, targets, vms := new(Schedule), targetNames(), names("vm", limitVMs)
	for at := limitInterval.min; at < over; at += limitInterval.random(r) {
		target, end := targets[r.IntN(len(targets))], at+limitDuration.random(r)
		for begin := at; begin < end; begin += limitChangeInterval.random(r) {
			limit := float64(int(10*(minStated+(maxStated-minStated)*r.Float64()))) / 10
			s.add(Fault{At: model.Duration(begin), Kind: StateLimit, Subject: target, Duration: model.Duration(end - begin), Limit: limit}, over)
		}
		if r.IntN(calmOneIn) == 0 {
			continue
		}
		kind := kinds[false][r.IntN(len(kinds[false]))]
		s.add(Fault{At: model.Duration(at + offsetInSeries.random(r)), Kind: kind, Subject: vms[r.IntN(limitVMs)], Duration: model.Duration(durations[kind].random(r))}, over)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
