package grants

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
)

// A scenario drives a simulation step by step, for sequences of events that random steps
// reach too rarely. All clocks run at the true rate. It uses group 0 of the simulation:
// owner t0, standby t1, witness t2.
type scenario struct {
	*simulation
	t *testing.T
}

func newScenario(t *testing.T, mutation mutation) *scenario {
	sim := newSimulation(rand.New(rand.NewPCG(1, 0)), mutation)
	for _, tgt := range sim.targets {
		tgt.clock.rate = 1
	}
	s := &scenario{sim, t}
	for i := range sim.agents {
		sim.agents[i].clock = clock{origin: time.Second, rate: 1}
	}
	s.store = s.store[:1]
	for i := range s.agents {
		s.agents[i] = s.startAgent(s.agents[i].vm)
	}
	return s
}

// startAgent starts a new incarnation of the VM's agent with the store's record.
func (s *scenario) startAgent(vm string) *simAgent {
	a := s.newAgent(vm)
	a.clock = clock{origin: time.Second, rate: 1}
	a.groups = a.groups[:1]
	a.groups[0].Adopt(s.store[0], a.clock.at(s.now))
	return a
}

// setRecord writes a record to the store and lets the given agents read it.
func (s *scenario) setRecord(rec model.Group, to ...*simAgent) {
	s.store[0] = rec
	s.version++
	for _, a := range to {
		s.syncAgent(a)
	}
}

// tickOrders runs a tick of the agent and returns the orders instead of sending them.
func (s *scenario) tickOrders(a *simAgent) []message {
	before := len(s.messages)
	s.tickAgent(a)
	sent := s.messages[before:]
	s.messages = s.messages[:before:before]
	return sent
}

// deliverTo delivers the messages for the named targets and returns the reports.
func (s *scenario) deliverTo(messages []message, names ...string) []message {
	var reports []message
	for _, m := range messages {
		for _, n := range names {
			if m.order.Target == n {
				r, err := s.apply(int(n[1]-'0'), m)
				require.NoError(s.t, err)
				m.report = r
				reports = append(reports, m)
			}
		}
	}
	return reports
}

// returnReports delivers reports to the agents that sent the orders.
func (s *scenario) returnReports(reports []message) {
	for _, m := range reports {
		m.agent.groups[m.group].HandleReport(&m.order, m.report, m.agent.clock.at(s.now))
	}
}

// runAgent runs the agent for d with the named targets reachable, and returns the first
// violation of the invariant.
func (s *scenario) runAgent(d time.Duration, a *simAgent, names ...string) error {
	for until := s.now + d; s.now < until; s.now += 20 * ms {
		s.returnReports(s.deliverTo(s.tickOrders(a), names...))
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// runAgents is runAgent for two agents that reach different targets.
func (s *scenario) runAgents(d time.Duration, a *simAgent, as []string, b *simAgent, bs []string) error {
	for until := s.now + d; s.now < until; s.now += 20 * ms {
		s.returnReports(s.deliverTo(s.tickOrders(a), as...))
		s.returnReports(s.deliverTo(s.tickOrders(b), bs...))
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) suspectAll(a *simAgent) {
	for i := range a.suspect {
		a.suspect[i] = "vm"+string(rune('0'+i)) != a.vm
	}
}

// staleAgentSharesEpoch: a VM is replaced under the same name, and its old agent, which was
// only frozen, resumes. The new incarnation wrote an epoch. The old one reads it, wins
// it before the new one has asked any target, and keeps granting the owner, which the new
// one cannot reach. The store confirms the epoch to both, so a key gets two owners.
func staleAgentSharesEpoch(s *scenario) error {
	old := s.agents[0]
	fresh := s.startAgent("vm0")
	rec := s.store[0]
	rec.Epoch, rec.Author = 2, fresh.groups[0].params.Incarnation
	s.setRecord(rec, old)
	if err := s.runAgent(200*ms, old, "t0", "t1", "t2"); err != nil {
		return err
	}
	s.syncAgent(fresh)
	return s.runAgents(4*time.Second, old, []string{"t0"}, fresh, []string{"t1", "t2"})
}

// lateConfirmation: the witness confirms the old grantor's order, and the answer takes
// almost a second. Meanwhile the new grantor fences the witness and waits. If the
// confirmation counted from its arrival, the old grantor would renew the owner for another
// half second, while the new one grants the standby.
func lateConfirmation(s *scenario) error {
	old, next := s.agents[0], s.agents[1]
	if err := s.runAgent(200*ms, old, "t0", "t1", "t2"); err != nil {
		return err
	}
	s.now += 150 * ms
	late := s.deliverTo(s.tickOrders(old), "t2")
	rec := s.store[0]
	rec.Epoch, rec.Author, rec.Grantors = 2, next.groups[0].params.Incarnation, []string{"vm1", "vm0", "vm2"}
	s.setRecord(rec, next)
	old.storeCut = true
	wait := s.now + 1200*ms
	if err := s.runAgents(300*ms, old, []string{"t0"}, next, []string{"t1", "t2"}); err != nil {
		return err
	}
	for s.now < wait {
		if err := s.runAgents(20*ms, old, []string{"t0"}, next, []string{"t1", "t2"}); err != nil {
			return err
		}
	}
	s.returnReports(late)
	return s.runAgents(time.Second, old, []string{"t0"}, next, []string{"t1", "t2"})
}

// reportsForEarlierRank: a grantor's orders of epoch 1 are answered late, after it adopted
// epoch 2 and claimed the group there. If the answers counted for the new rank, it would
// win a group in which no target was fenced, while another agent grants the standby.
func reportsForEarlierRank(s *scenario) error {
	first, second := s.agents[0], s.agents[1]
	late := s.deliverTo(s.tickOrders(first), "t0", "t1", "t2")
	s.now += 150 * ms
	late = append(late, s.deliverTo(s.tickOrders(first), "t0", "t1", "t2")...)
	rec := s.store[0]
	rec.Epoch, rec.Grantors, rec.MoveTo = 2, []string{"vm1", "vm0", "vm2"}, "t1"
	s.setRecord(rec, second)
	if err := s.runAgent(300*ms, second, "t0", "t1", "t2"); err != nil {
		return err
	}
	s.suspectAll(first)
	s.syncAgent(first)
	_ = s.tickOrders(first)
	s.returnReports(late)
	return s.runAgents(time.Second, first, []string{"t0"}, second, []string{"t1", "t2"})
}

// takeoverBetweenEpochs: a grantor is paused; the next in line takes its group over and
// moves it to the standby. A new epoch names the paused agent first. It resumes, reaches
// only the old owner, and renews the grant from before its pause, while the standby
// serves: a key gets two owners.
func takeoverBetweenEpochs(s *scenario) error {
	paused, next := s.agents[0], s.agents[1]
	if err := s.runAgent(200*ms, paused, "t0", "t1", "t2"); err != nil {
		return err
	}
	rec := s.store[0]
	rec.MoveTo = "t1"
	s.setRecord(rec, next)
	s.suspectAll(next)
	if err := s.runAgent(time.Second, next, "t0", "t1", "t2"); err != nil {
		return err
	}
	rec = ReplaceTargets(rec, s.ref(0), s.ref(1), s.ref(3), "planner-1")
	s.setRecord(rec, paused)
	return s.runAgents(time.Second, paused, []string{"t0", "t2", "t3"}, next, []string{"t1", "t2"})
}

// reportForEarlierRelease: keys move to the standby and back, all at one rank, and are to
// move once more. The owner is partitioned, and a delayed answer to the first release
// arrives. If it were taken for the end of this release, the standby would be granted while
// the grant that the owner got in between is in force: a key gets two owners.
func reportForEarlierRelease(s *scenario) error {
	a := s.agents[0]
	move := func(to string) {
		rec := s.store[0]
		rec.MoveTo = to
		s.setRecord(rec, a)
	}
	if err := s.runAgent(300*ms, a, allTargetNames...); err != nil {
		return err
	}
	move("t1")
	late := s.deliverTo(s.tickOrders(a), "t0")
	for _, to := range []string{"t1", "t0"} {
		move(to)
		if err := s.runAgent(time.Second, a, allTargetNames...); err != nil {
			return err
		}
		require.Equal(s.t, to, s.servingTarget())
	}
	move("t1")
	_ = s.tickOrders(a)
	s.returnReports(late)
	return s.runAgent(time.Second, a, "t1", "t2")
}

// scenarios lists the checks that are disabled, each with the scenario that notices it.
var scenarios = []struct {
	mutation mutation
	run      func(*scenario) error
}{
	{reusesEpoch, staleAgentSharesEpoch},
	{countsFromAnswer, lateConfirmation},
	{staleReports, reportsForEarlierRank},
	{carriesUnchecked, takeoverBetweenEpochs},
	{earlierRelease, reportForEarlierRelease},
}

// Runs each scenario with the safety check in place, and with the check disabled, where it
// must find a violation.
func TestScenarios(t *testing.T) {
	for _, c := range scenarios {
		t.Run(string(c.mutation), func(t *testing.T) {
			require.NoError(t, c.run(newScenario(t, "")), "with the check")
			require.Error(t, c.run(newScenario(t, c.mutation)), "without the check")
		})
	}
}
