package agent

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/model"
	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// maxStatusInterval is the longest time between two checks whether the VM's status must be
// written; the shortest is half of it.
//
// Load pattern: every write of a status raises the store's revision, so a status that contained
// the newest revision would cause its own next write, on every VM. It is written only when
// addresses, incarnation or problems change. The current revision is sent in heartbeats, and
// hqctl reads it from any one agent.
const maxStatusInterval = 5 * time.Second

// reporter writes the VM's status object and reports rejected objects. It runs in one goroutine.
type reporter struct {
	agent          *agent
	store          platform.Store
	log            *log.Logger
	problemGauge   metrics.Gauge
	loggedProblems []string
	writtenStatus  model.VMStatus
}

func newReporter(a *agent) *reporter {
	return &reporter{
		agent: a, store: a.storeFor(platform.CauseStatus), log: a.Log,
		problemGauge: metrics.GetOrRegisterGauge("config.refused", a.Registry),
	}
}

func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, maxStatusInterval/2+rand.N(maxStatusInterval/2))
		status := r.status()
		r.reportProblems(status.Problems)
		if ctx.Err() == nil && !sameStatus(status, r.writtenStatus) {
			r.write(ctx, status)
		}
	}
}

// status returns the VM's status as its agent sees it.
func (r *reporter) status() model.VMStatus {
	me := r.agent.members.selfMember()
	s := model.VMStatus{
		Name: me.VM, Incarnation: me.Incarnation, DataCentre: me.DataCentre, AgentAddr: me.AgentAddr,
		Revision: me.Revision, Problems: r.agent.config.problems(),
		AdminAddrs: []model.ProcessAddr{{Process: agentProcess, Addr: me.AdminAddr}},
	}
	for _, d := range r.agent.relay.liveDaemons() {
		s.AdminAddrs = append(s.AdminAddrs, model.ProcessAddr{Process: d.Process, Addr: d.Admin})
		s.Problems = append(s.Problems, d.Problems...)
	}
	slices.SortFunc(s.AdminAddrs, func(a, b model.ProcessAddr) int {
		if a.Process < b.Process {
			return -1
		}
		return 1
	})
	slices.Sort(s.Problems)
	s.Problems = slices.Compact(s.Problems)
	return s
}

func (r *reporter) reportProblems(problems []string) {
	r.problemGauge.Update(int64(len(problems)))
	for _, p := range problems {
		if !slices.Contains(r.loggedProblems, p) {
			r.log.Error().Str("step", "configure").Msg("object refused, the last good version stays: " + p)
			r.agent.Journal.Add("configure", "object refused, the last good version stays: "+p)
		}
	}
	r.loggedProblems = problems
}

func sameStatus(a, b model.VMStatus) bool {
	return a.Incarnation == b.Incarnation && slices.Equal(a.AdminAddrs, b.AdminAddrs) && slices.Equal(a.Problems, b.Problems)
}

func (r *reporter) write(ctx context.Context, s model.VMStatus) {
	ctx, cancel := context.WithTimeout(ctx, r.agent.Settings.StoreTimeout.D())
	defer cancel()
	o := platform.Object{Kind: model.KindVM, Name: s.Name, Writer: r.agent.newWriteTag()}
	current, err := r.store.Get(ctx, o.ID())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		r.log.Debug().Err(err).Str("step", "status").Str("peer", "store").Msg("cannot read the VM's status object")
		return
	}
	o.Version = current.Version
	if o.Spec, err = json.Marshal(&s); err != nil {
		r.log.Error().Err(err).Str("step", "status").Msg("cannot encode the VM's status object")
		return
	}
	if _, err = platform.Write(ctx, r.store, o); err != nil {
		r.log.Debug().Err(err).Str("step", "status").Str("peer", "store").Msg("cannot write the VM's status object")
		return
	}
	r.writtenStatus = s
}
