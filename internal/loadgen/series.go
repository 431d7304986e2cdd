package loadgen

import (
	"slices"
	"time"

	"hemlockquay/internal/problem"
)

// Second has the results of the requests planned in one second of the experiment.
type Second struct {
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Unknown  int     `json:"unknown"`
	P99      float64 `json:"p99ms"`
	// UnavailableKeys counts keys with a failed or slow request.
	UnavailableKeys int `json:"unavailableKeys"`
	// Moves counts the answers for a key by another target than the one before.
	Moves int `json:"moves"`
	// Imbalance is the highest load of a keyed target divided by the mean.
	Imbalance float64 `json:"imbalance"`
}

// seriesBuilder collects the results of an experiment by second.
type seriesBuilder struct {
	seconds      []Second
	latency      [][]time.Duration
	served       []map[string]int
	failedKeys   []map[string]bool
	lastServedBy map[string]string
}

// series returns the results by second over all workloads.
func series(tallies []*tally, slowAfter time.Duration) []Second {
	var all []outcome
	for _, t := range tallies {
		all = append(all, t.outcomes...)
	}
	slices.SortFunc(all, func(a, b outcome) int { return int(a.planned - b.planned) })
	c := &seriesBuilder{lastServedBy: make(map[string]string)}
	for i := range all {
		c.add(&all[i], slowAfter)
	}
	return c.finish()
}

func (c *seriesBuilder) add(o *outcome, slowAfter time.Duration) {
	n := int(o.planned / time.Second)
	for len(c.seconds) <= n {
		c.seconds = append(c.seconds, Second{})
		c.latency = append(c.latency, nil)
		c.served = append(c.served, make(map[string]int))
		c.failedKeys = append(c.failedKeys, make(map[string]bool))
	}
	s := &c.seconds[n]
	s.Sent++
	if o.key != "" && (!o.answered() || o.took >= slowAfter) {
		c.failedKeys[n][o.key] = true
	}
	switch {
	case o.answered():
		s.Answered++
		c.latency[n] = append(c.latency[n], o.took)
		c.addServed(n, o)
	case o.err == nil && o.ran == problem.RanNo:
		s.Refused++
	default:
		s.Unknown++
	}
}

func (c *seriesBuilder) addServed(n int, o *outcome) {
	if o.key == "" {
		return
	}
	c.served[n][o.servedBy]++
	if before := c.lastServedBy[o.key]; before != "" && before != o.servedBy {
		c.seconds[n].Moves++
	}
	c.lastServedBy[o.key] = o.servedBy
}

func (c *seriesBuilder) finish() []Second {
	for n := range c.seconds {
		s := &c.seconds[n]
		s.UnavailableKeys = len(c.failedKeys[n])
		s.Imbalance = imbalance(c.served[n])
		if l := c.latency[n]; len(l) > 0 {
			slices.Sort(l)
			s.P99 = milliseconds(l[len(l)*99/100])
		}
	}
	return c.seconds
}
