package loadreport

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulated load: an owner of two slots on a machine that is three times slower for a fifth
// of the time, with short work that has an urgent objective and long work that has a patient one.
const (
	shortWork, shortObjective = 41 * time.Millisecond, 150 * time.Millisecond
	longWork, longObjective   = 250 * time.Millisecond, 800 * time.Millisecond
	meanWork                  = 100 * time.Millisecond
	noisePeriod               = 400 * time.Millisecond
	simulatedTime             = 2000 * time.Second
)

type event struct {
	at   time.Duration
	what func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { l := *e; x := l[len(l)-1]; *e = l[:len(l)-1]; return x }

// owner simulates one owner and counts the answers in time for both kinds of work.
type owner struct {
	rnd              *rand.Rand
	now              time.Duration
	queue            events
	running, waiting int
	backlog          []func()
	slowness         float64
	inTime, offered  map[time.Duration]int
}

func (o *owner) after(d time.Duration, what func()) { heap.Push(&o.queue, event{o.now + d, what}) }

func (o *owner) report() Report {
	return Report{Running: o.running, Waiting: o.waiting, Slots: 2, Slowness: o.slowness}
}

// send runs a request that its caller sent at the given time.
func (o *owner) send(began, work, objective time.Duration) {
	run := func() {
		o.running++
		took := time.Duration(float64(work) * o.slowness * math.Exp(0.7*o.rnd.NormFloat64()-0.25))
		o.after(took, func() {
			o.running--
			if o.now-began <= objective {
				o.inTime[work]++
			}
			if len(o.backlog) > 0 {
				next := o.backlog[0]
				o.backlog = o.backlog[1:]
				o.waiting--
				next()
			}
		})
	}
	switch {
	case o.running < 2:
		run()
	case o.waiting < 8:
		o.waiting++
		o.backlog = append(o.backlog, run)
	}
}

// judge lets long work wait for a free slot.
func (o *owner) judge(began time.Duration) {
	switch o.report().JudgeLong(Work{Own: longWork, Mean: meanWork}, longObjective, o.now-began) {
	case Send:
		o.send(began, longWork, longObjective)
	case Wait:
		o.after(time.Duration(float64(PollInterval)*(0.5+o.rnd.Float64())), func() { o.judge(began) })
	}
}

// simulateOwner returns the shares of short and of long work that are answered in time.
func simulateOwner(shortRate, longRate float64, keepSlotFree bool) (short, long float64) {
	o := &owner{rnd: rand.New(rand.NewPCG(1, 2)), slowness: 1, inTime: make(map[time.Duration]int), offered: make(map[time.Duration]int)}
	arrive := func(rate float64, work time.Duration, offer func()) {
		var next func()
		next = func() {
			o.offered[work]++
			offer()
			o.after(time.Duration(o.rnd.ExpFloat64()/rate*float64(time.Second)), next)
		}
		next()
	}
	arrive(shortRate, shortWork, func() { o.send(o.now, shortWork, shortObjective) })
	arrive(longRate, longWork, func() {
		if keepSlotFree {
			o.judge(o.now)
			return
		}
		o.send(o.now, longWork, longObjective)
	})
	var noise func()
	noise = func() {
		if o.slowness = 1; o.rnd.Float64() < 0.2 {
			o.slowness = 3
		}
		o.after(noisePeriod, noise)
	}
	noise()
	for len(o.queue) > 0 && o.now < simulatedTime {
		e := heap.Pop(&o.queue).(event)
		o.now = e.at
		e.what()
	}
	share := func(work time.Duration) float64 { return float64(o.inTime[work]) / float64(o.offered[work]) }
	return share(shortWork), share(longWork)
}

// Guards against long work that fills all slots of an owner while urgent short work waits.
func TestShortWorkIsInTimeBesideLongWork(t *testing.T) {
	for _, load := range []float64{0.7, 1} {
		shortBefore, longBefore := simulateOwner(7.6*load, 3.1*load, false)
		short, long := simulateOwner(7.6*load, 3.1*load, true)
		t.Logf("load %.1f: short work in time %.3f, before %.3f; long work %.3f, before %.3f", load, short, shortBefore, long, longBefore)
		require.Less(t, 1-short, 0.75*(1-shortBefore), "a quarter of the late answers at least is gained")
		require.Greater(t, 2*short*7.6+long*3.1, 2*shortBefore*7.6+longBefore*3.1, "value of the answers in time")
	}
}
