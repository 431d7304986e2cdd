package loadgen

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

// arrivalTimes returns the planned times of a workload's requests, ascending, from the start of the
// experiment.
func arrivalTimes(w *Workload, random *rand.Rand, duration time.Duration) ([]time.Duration, error) {
	if w.Schedule != "" {
		return readSchedule(w.Schedule)
	}
	stop := duration
	if w.Stop > 0 {
		stop = min(stop, w.Stop.D())
	}
	var times []time.Duration
	for at := w.Start.D(); ; {
		pause, together := nextArrivals(w, random)
		at += pause
		if at >= stop {
			return times, nil
		}
		for range together {
			times = append(times, at)
		}
	}
}

// nextArrivals returns the time until the next arrivals and how many arrive together.
func nextArrivals(w *Workload, random *rand.Rand) (time.Duration, int) {
	mean := float64(time.Second) / w.Rate
	switch w.Arrivals {
	case Even:
		return time.Duration(mean), 1
	case Bursts:
		every := w.BurstEvery.D()
		return every, max(1, int(w.Rate*every.Seconds()))
	default:
		return time.Duration(random.ExpFloat64() * mean), 1
	}
}

func readSchedule(file string) ([]time.Duration, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read schedule: %w", err)
	}
	defer f.Close()
	var times []time.Duration
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		s, err := strconv.ParseFloat(lines.Text(), 64)
		if err != nil || s < 0 {
			return nil, fmt.Errorf("read schedule: %s:%d: %q is not a number of seconds", file, n, lines.Text())
		}
		at := time.Duration(s * float64(time.Second))
		if len(times) > 0 && at < times[len(times)-1] {
			return nil, fmt.Errorf("read schedule: %s:%d: time is before the previous one", file, n)
		}
		times = append(times, at)
	}
	return times, lines.Err()
}

// keyGenerator draws keys at random by their popularity.
type keyGenerator struct {
	workload *Workload
	random   *rand.Rand
	zipf     *rand.Zipf
}

func newKeyGenerator(w *Workload, random *rand.Rand) *keyGenerator {
	k := &keyGenerator{workload: w, random: random}
	if w.Keys > 0 && w.Zipf > 1 {
		k.zipf = rand.NewZipf(random, w.Zipf, 1, uint64(w.Keys-1))
	}
	return k
}

// next returns the key of a request with the planned time.
func (k *keyGenerator) next(planned time.Duration) string {
	w := k.workload
	switch {
	case w.Keys == 0:
		return ""
	case w.HotShare > 0 && k.random.Float64() < w.HotShare:
		return fmt.Sprintf("%s-hot-%d", w.Service, planned/w.HotEvery.D())
	case k.zipf != nil:
		return fmt.Sprintf("%s-key-%d", w.Service, k.zipf.Uint64())
	}
	return fmt.Sprintf("%s-key-%d", w.Service, k.random.IntN(w.Keys))
}
