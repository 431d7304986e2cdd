package agent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/model"
	"hemlockquay/internal/ownership"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/view"
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
