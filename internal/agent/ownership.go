package agent

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/target"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// planEvery is how often the assigner looks for services without assignment.
const planEvery = 500 * time.Millisecond

// planner writes the first assignment of a service. It is one goroutine. The
// conditional write lets exactly one planner of all VMs succeed.
type planner struct {
	store   platform.Store
	config  *configuration
	members *members
	tag     func() string
	timeout time.Duration
	log     *log.Logger
}

func (p *planner) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, planEvery)
		v := view.Build(p.config.list(), nil, nil)
		for _, s := range v.Services() {
			if s.Keyed && v.Assignment(s.Name) == nil {
				p.plan(ctx, s)
			}
		}
	}
}

func (p *planner) plan(ctx context.Context, s *model.Service) {
	a := ownership.Initial(s, p.members.live(), p.members.me().Incarnation)
	spec, err := json.Marshal(&a)
	if err != nil {
		p.log.Error().Err(err).Str("step", "plan").Msg("cannot encode")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	o := platform.Object{Kind: model.KindAssignment, Name: s.Name, Writer: p.tag(), Spec: spec}
	_, err = platform.Write(ctx, p.store, o)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		p.log.Warn().Err(err).Str("step", "plan").Str("service", s.Name).Msg("assignment not written")
	}
}

// grantor renews the grants of the groups that name this VM first. It is one
// goroutine and one for each order on its way.
type grantor struct {
	config    *configuration
	members   *members
	table     *grantTable
	commander *target.Commander
	started   int64
	every     time.Duration
	life      time.Duration
	log       *log.Logger

	mu    sync.Mutex
	known map[string]targetClock
}

// targetClock is what a target last told of itself.
type targetClock struct {
	incarnation string
	clock       int64
}

func (g *grantor) run(ctx context.Context) {
	tick := time.NewTicker(g.every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.renew(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// renew sends one order to each target that owns groups of this grantor.
func (g *grantor) renew(ctx context.Context) {
	v := view.Build(g.config.list(), nil, nil)
	me := g.members.me().VM
	for _, s := range v.Services() {
		a := v.Assignment(s.Name)
		if a == nil {
			continue
		}
		byOwner := make(map[string][]model.Group)
		for _, group := range a.Groups {
			if len(group.Grantors) > 0 && group.Grantors[0] == me {
				byOwner[group.Owner.Name] = append(byOwner[group.Owner.Name], group)
			}
		}
		for owner, groups := range byOwner {
			if t, ok := s.Target(owner); ok {
				go g.order(ctx, s.Name, t, groups, me)
			}
		}
	}
}

func (g *grantor) order(ctx context.Context, service string, t model.Target, groups []model.Group, me string) {
	ctx, cancel := context.WithTimeout(ctx, g.every)
	defer cancel()
	g.mu.Lock()
	last := g.known[t.Addr]
	g.mu.Unlock()
	order := target.Order{Incarnation: last.incarnation}
	for _, group := range groups {
		order.Groups = append(order.Groups, target.GroupOrder{
			Service: service, Group: group.ID, Slices: group.Slices, Rank: g.rank(group, me),
			Until: last.clock + int64(g.life),
		})
	}
	report, err := g.commander.Send(ctx, t.Addr, &order)
	if err != nil {
		g.log.Debug().Err(err).Str("step", "grant").Str("peer", t.Name).Msg("no report")
		return
	}
	g.mu.Lock()
	g.known[t.Addr] = targetClock{report.Incarnation, report.Clock}
	g.mu.Unlock()
	for i, group := range groups {
		if i < len(report.Groups) && report.Groups[i].Confirmed && report.Groups[i].Held > report.Clock {
			g.table.set(wire.Grant{
				Service: service, Group: group.ID, Slices: group.Slices, Rank: g.rank(group, me),
				Target: model.TargetRef{Name: t.Name, Incarnation: report.Incarnation},
			})
		}
	}
}

func (g *grantor) rank(group model.Group, me string) wire.Rank {
	return wire.Rank{Epoch: group.Epoch, Succession: 0, Incarnation: g.started, Agent: me}
}
