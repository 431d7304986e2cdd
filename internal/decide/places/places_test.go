package places

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

const (
	testSlots     = 2
	testService   = 140 * time.Millisecond
	testObjective = 800 * time.Millisecond
)

// play is an owner with its line. Time advances by a millisecond in each step.
type play struct {
	line *Line
	now  time.Duration
	next uint64
	// asked holds when the callers of requests came and the priority of these, ends the requests that the owner runs or
	// queues, in order.
	asked map[ID]request
	queue []ID
	ends  map[ID]time.Duration

	served, late, refused map[int]int
	retryAfter            []time.Duration
	longestWait           time.Duration
	most                  int
}

type request struct {
	priority int
	at       time.Duration
}

func newPlay() *play {
	return &play{
		line: NewLine(testSlots), asked: make(map[ID]request), ends: make(map[ID]time.Duration),
		served: make(map[int]int), late: make(map[int]int), refused: make(map[int]int),
	}
}

// arrive asks for a place for a request.
func (p *play) arrive(priority int) {
	p.next++
	id := ID{VM: "a", Number: p.next}
	p.asked[id] = request{priority, p.now}
	p.send(p.line.Next(p.now))
	d := p.line.Take(Request{ID: id, Priority: priority, Service: testService, Patience: Patience(testObjective, 2*time.Second, testService), Hold: 2 * time.Second}, p.now)
	switch d.Verdict {
	case Granted:
		p.queue = append(p.queue, id)
	case Refused:
		p.refused[priority]++
		p.retryAfter = append(p.retryAfter, d.RetryAfter)
	}
}

func (p *play) send(grants []Grant) {
	for _, g := range grants {
		p.longestWait = max(p.longestWait, g.Waited)
		p.queue = append(p.queue, g.ID)
	}
}

// step lets the owner work for a millisecond.
func (p *play) step() {
	p.now += time.Millisecond
	for id, end := range p.ends {
		if p.now < end {
			continue
		}
		delete(p.ends, id)
		r := p.asked[id]
		if p.now-r.at <= testObjective {
			p.served[r.priority]++
		} else {
			p.late[r.priority]++
		}
		p.line.Return(id)
	}
	p.send(p.line.Next(p.now))
	p.most = max(p.most, len(p.queue)+len(p.ends))
	for len(p.ends) < testSlots && len(p.queue) > 0 {
		p.ends[p.queue[0]] = p.now + testService
		p.queue = p.queue[1:]
	}
}

func (p *play) run(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.step()
	}
}

// Guards against an owner that is overrun by a burst from all VMs, and against requests that are refused after a wait.
func TestBurstIsServedUpToTheObjectiveAndRefusedBeyond(t *testing.T) {
	p := newPlay()
	for range 40 {
		p.arrive(0)
	}
	require.Zero(t, p.line.Running()-roomFactor*testSlots)
	refused := p.refused[0]
	p.run(2 * time.Second)
	require.Equal(t, 40, p.served[0]+p.late[0]+p.refused[0])
	require.Equal(t, refused, p.refused[0], "none is refused after a wait")
	require.GreaterOrEqual(t, p.served[0], 8, "two slots answer that many requests within three quarters of the objective")
	require.Zero(t, p.late[0])
	require.LessOrEqual(t, p.most, 4*testSlots)
}

// Guards against an overloaded owner whose callers are all late because each waits for those before it.
func TestOverloadedOwnerAnswersInTimeWhatItAnswers(t *testing.T) {
	p := newPlay()
	draw := rand.New(rand.NewPCG(1, 1))
	const perSecond, seconds = 140, 5
	for range seconds * 1000 {
		if draw.Float64() < perSecond/1000.0 {
			p.arrive(0)
		}
		p.step()
	}
	capacity := float64(testSlots) * seconds / testService.Seconds()
	require.Greater(t, float64(p.served[0]), 0.9*capacity, "answers within the objective")
	require.Less(t, float64(p.late[0]), 0.05*capacity)
	require.Less(t, p.longestWait, testObjective)
	for _, d := range p.retryAfter {
		require.Positive(t, d)
		require.LessOrEqual(t, d, maxRetryAfter)
	}
}

// Guards against urgent requests that fill an owner and leave nothing to others, and against others that delay them.
func TestUrgentRequestsGoFirstAndLeaveAShare(t *testing.T) {
	p := newPlay()
	for range 5000 {
		if p.now%(40*time.Millisecond) == 0 {
			p.arrive(1)
			p.arrive(2)
		}
		p.step()
	}
	require.Greater(t, p.served[1], 2*p.served[2], "the urgent ones")
	asked := float64(p.served[2] + p.late[2] + p.refused[2])
	all := float64(p.served[1]+p.late[1]+p.served[2]+p.late[2]) / (2 * asked)
	require.Greater(t, float64(p.served[2]+p.late[2])/asked, all/4, "share served of the others, by that of all")
}

// Guards against places that are lost with the VM that had them.
func TestPlaceOfALostVMIsFreeAfterItsRequest(t *testing.T) {
	l := NewLine(1)
	for i := range uint64(3) {
		l.Take(Request{ID: ID{VM: "lost", Number: i}, Service: testService, Patience: time.Minute, Hold: time.Second}, 0)
	}
	require.Equal(t, roomFactor, l.Running())
	require.Equal(t, Waiting, l.Take(Request{ID: ID{VM: "b"}, Service: testService, Patience: time.Minute, Hold: time.Minute}, 0).Verdict)
	require.Empty(t, l.Next(900*time.Millisecond))
	grants := l.Next(time.Second)
	require.Len(t, grants, 1, "the third request of the lost VM has ended as well")
	require.Equal(t, "b", grants[0].ID.VM)
}

// Guards against a wait that goes on although its caller has left.
func TestReturnEndsAWait(t *testing.T) {
	l := NewLine(1)
	for i := range uint64(4) {
		l.Take(Request{ID: ID{Number: i}, Service: testService, Patience: time.Minute, Hold: time.Minute}, 0)
	}
	l.Return(ID{Number: 2})
	l.Return(ID{Number: 0})
	grants := l.Next(0)
	require.Len(t, grants, 1)
	require.Equal(t, uint64(3), grants[0].ID.Number)
}

// Guards against more places than an owner runs and queues, whatever is asked and returned.
func TestPlacesNeverExceedTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		l, now := NewLine(slots), time.Duration(0)
		var ids []ID
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				id := ID{Number: uint64(len(ids))}
				ids = append(ids, id)
				l.Next(now)
				l.Take(Request{
					ID: id, Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Service: testService,
					Patience: time.Duration(rapid.IntRange(-100, 2000).Draw(t, "patience")) * time.Millisecond,
					Hold:     time.Duration(rapid.IntRange(1, 3000).Draw(t, "hold")) * time.Millisecond,
				}, now)
			case 1:
				if len(ids) > 0 {
					l.Return(ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")])
				}
			default:
				l.Next(now)
			}
			require.LessOrEqual(t, l.Running(), roomFactor*slots)
			require.LessOrEqual(t, l.Waiting(), maxWaiting)
		}
	})
}
