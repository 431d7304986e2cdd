package grants

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
)

// A scenario drives the parts of a walk by hand, where random steps meet the
// order of events too seldom. All clocks run true; group 0 of the walk is used:
// owner t0, standby t1, witness t2.
type scenario struct {
	*walk
	t *testing.T
}

func newScenario(t *testing.T, broken guard) *scenario {
	w := newWalk(rand.New(rand.NewPCG(1, 0)), broken)
	for _, tgt := range w.targets {
		tgt.clock.rate = 1
	}
	s := &scenario{w, t}
	for i := range w.agents {
		w.agents[i].clock = clock{origin: time.Second, rate: 1}
	}
	s.store = s.store[:1]
	for i := range s.agents {
		s.agents[i] = s.agent(s.agents[i].vm)
	}
	return s
}

// agent starts a new life of the VM's agent with the store's record.
func (s *scenario) agent(vm string) *walkAgent {
	a := s.newAgent(vm)
	a.clock = clock{origin: time.Second, rate: 1}
	a.groups = a.groups[:1]
	a.groups[0].Adopt(s.store[0], a.clock.at(s.now))
	return a
}

// record puts a record into the store and shows it to the agents.
func (s *scenario) record(rec model.Group, to ...*walkAgent) {
	s.store[0] = rec
	s.version++
	for _, a := range to {
		s.syncAgent(a)
	}
}

// orders lets the agent decide, and returns what it would send.
func (s *scenario) orders(a *walkAgent) []letter {
	before := len(s.letters)
	s.tickAgent(a)
	sent := s.letters[before:]
	s.letters = s.letters[:before:before]
	return sent
}

// reach delivers letters to the named targets and returns the reports.
func (s *scenario) reach(letters []letter, names ...string) []letter {
	var reports []letter
	for _, l := range letters {
		for _, n := range names {
			if l.order.Target == n {
				r, err := s.apply(int(n[1]-'0'), l)
				require.NoError(s.t, err)
				l.report = r
				reports = append(reports, l)
			}
		}
	}
	return reports
}

// answer brings reports back.
func (s *scenario) answer(reports []letter) {
	for _, l := range reports {
		l.agent.groups[l.group].HandleReport(&l.order, l.report, l.agent.clock.at(s.now))
	}
}

// talk runs the agent for the time with the named targets in reach, and returns
// the first fault.
func (s *scenario) talk(d time.Duration, a *walkAgent, names ...string) error {
	for until := s.now + d; s.now < until; s.now += 20 * ms {
		s.answer(s.reach(s.orders(a), names...))
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// both runs two agents that reach different targets.
func (s *scenario) both(d time.Duration, a *walkAgent, as []string, b *walkAgent, bs []string) error {
	for until := s.now + d; s.now < until; s.now += 20 * ms {
		s.answer(s.reach(s.orders(a), as...))
		s.answer(s.reach(s.orders(b), bs...))
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) suspectAll(a *walkAgent) {
	for i := range a.suspect {
		a.suspect[i] = "vm"+string(rune('0'+i)) != a.vm
	}
}

// zombieOfTheSameEpoch: a VM is replaced under its name, and its old agent, only
// frozen, goes on. The new life wrote an epoch; the old one reads it, wins it
// before the new one asks anybody, and goes on with the owner, which the new life
// cannot reach. The store confirms the epoch to both lives: a key gets two owners.
func zombieOfTheSameEpoch(s *scenario) error {
	old := s.agents[0]
	fresh := s.agent("vm0")
	rec := s.store[0]
	rec.Epoch, rec.Author = 2, fresh.groups[0].params.Incarnation
	s.record(rec, old)
	if err := s.talk(200*ms, old, "t0", "t1", "t2"); err != nil {
		return err
	}
	s.syncAgent(fresh)
	return s.both(4*time.Second, old, []string{"t0"}, fresh, []string{"t1", "t2"})
}

// lateConfirmation: the witness confirms to the old grantor, and the answer takes
// almost a second. Meanwhile the new grantor fences the witness and waits. Dated
// from its arrival, the answer would let the old grantor renew the owner for
// another half second, while the new one grants the standby.
func lateConfirmation(s *scenario) error {
	old, next := s.agents[0], s.agents[1]
	if err := s.talk(200*ms, old, "t0", "t1", "t2"); err != nil {
		return err
	}
	s.now += 150 * ms
	late := s.reach(s.orders(old), "t2")
	rec := s.store[0]
	rec.Epoch, rec.Author, rec.Grantors = 2, next.groups[0].params.Incarnation, []string{"vm1", "vm0", "vm2"}
	s.record(rec, next)
	old.cutOff = true
	wait := s.now + 1200*ms
	if err := s.both(300*ms, old, []string{"t0"}, next, []string{"t1", "t2"}); err != nil {
		return err
	}
	for s.now < wait {
		if err := s.both(20*ms, old, []string{"t0"}, next, []string{"t1", "t2"}); err != nil {
			return err
		}
	}
	s.answer(late)
	return s.both(time.Second, old, []string{"t0"}, next, []string{"t1", "t2"})
}

// answersOfAnEarlierRank: a grantor's questions of epoch 1 are answered late,
// after it took epoch 2 and its turn there. Counted for the new rank, they would
// win a group in which nobody was fenced, and another grants the standby.
func answersOfAnEarlierRank(s *scenario) error {
	first, second := s.agents[0], s.agents[1]
	late := s.reach(s.orders(first), "t0", "t1", "t2")
	s.now += 150 * ms
	late = append(late, s.reach(s.orders(first), "t0", "t1", "t2")...)
	rec := s.store[0]
	rec.Epoch, rec.Grantors, rec.MoveTo = 2, []string{"vm1", "vm0", "vm2"}, "t1"
	s.record(rec, second)
	if err := s.talk(300*ms, second, "t0", "t1", "t2"); err != nil {
		return err
	}
	s.suspectAll(first)
	s.syncAgent(first)
	_ = s.orders(first)
	s.answer(late)
	return s.both(time.Second, first, []string{"t0"}, second, []string{"t1", "t2"})
}

// betweenTwoEpochs: a grantor sleeps; the next in line takes its group over and
// moves it to the standby. A new epoch names the sleeper first. It wakes, reaches
// the old owner only, and goes on with the grant it had before it slept, while
// the standby serves: a key gets two owners.
func betweenTwoEpochs(s *scenario) error {
	sleeper, next := s.agents[0], s.agents[1]
	if err := s.talk(200*ms, sleeper, "t0", "t1", "t2"); err != nil {
		return err
	}
	rec := s.store[0]
	rec.MoveTo = "t1"
	s.record(rec, next)
	s.suspectAll(next)
	if err := s.talk(time.Second, next, "t0", "t1", "t2"); err != nil {
		return err
	}
	rec = ChangePair(rec, s.ref(0), s.ref(1), s.ref(3), "planner-1")
	s.record(rec, sleeper)
	return s.both(time.Second, sleeper, []string{"t0", "t2", "t3"}, next, []string{"t1", "t2"})
}

// answerOfAnEarlierRelease: keys move to the standby and back, all at one rank, and are to
// move once more. The owner is cut off; an answer to the first release, which waited
// somewhere, comes now. Taken for the end of this release, the standby is granted while the
// grant that the owner got in between is in force: a key gets two owners.
func answerOfAnEarlierRelease(s *scenario) error {
	a := s.agents[0]
	move := func(to string) {
		rec := s.store[0]
		rec.MoveTo = to
		s.record(rec, a)
	}
	if err := s.talk(300*ms, a, everybody...); err != nil {
		return err
	}
	move("t1")
	late := s.reach(s.orders(a), "t0")
	for _, to := range []string{"t1", "t0"} {
		move(to)
		if err := s.talk(time.Second, a, everybody...); err != nil {
			return err
		}
		require.Equal(s.t, to, s.owner())
	}
	move("t1")
	_ = s.orders(a)
	s.answer(late)
	return s.talk(time.Second, a, "t1", "t2")
}

// byHand are the guards that scenarios take out.
var byHand = []struct {
	broken guard
	play   func(*scenario) error
}{
	{reusesEpoch, zombieOfTheSameEpoch},
	{answerDated, lateConfirmation},
	{staleReports, answersOfAnEarlierRank},
	{carriesBlindly, betweenTwoEpochs},
	{earlierRelease, answerOfAnEarlierRelease},
}

// TestScenarios plays each story with the guard in place and without it.
func TestScenarios(t *testing.T) {
	for _, c := range byHand {
		t.Run(string(c.broken), func(t *testing.T) {
			require.NoError(t, c.play(newScenario(t, "")), "with the guard")
			require.Error(t, c.play(newScenario(t, c.broken)), "without the guard")
		})
	}
}
