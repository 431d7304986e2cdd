package dispatch

import (
	"time"

	"hemlockquay/internal/decide/balance"
	"hemlockquay/internal/decide/slots"
	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// poolTarget is a target of a queue with its measurements.
type poolTarget struct {
	model.Target
	measured balance.Target
	limit    slots.Limit
	// incarnation is the one that its health endpoint reported last.
	incarnation string
	// running holds the jobs with an attempt in flight to the target.
	running map[*job]struct{}
	// diedAt is when the target was last found to have ended.
	diedAt time.Time
}

// requests returns the requests in flight to the target.
func (t *poolTarget) requests() []*wire.Request {
	out := make([]*wire.Request, 0, len(t.running))
	for j := range t.running {
		out = append(out, j.request)
	}
	return out
}

// pool holds the targets of a queue: one target of a keyed service, or all targets of
// an unkeyed one.
type pool struct {
	service *model.Service
	targets []*poolTarget
	// measured holds the measurements of targets, in the same order, as input for the
	// choice of a target.
	measured   []*balance.Target
	fixedSlots bool
}

// sync applies a new version of the service. A target whose name and address have not
// changed keeps its measurements. A targetName other than "" selects that target only.
func (p *pool) sync(s *model.Service, targetName string) {
	if p.service == s {
		return
	}
	known := make(map[model.Target]*poolTarget, len(p.targets))
	for _, t := range p.targets {
		known[t.Target] = t
	}
	p.service, p.targets, p.measured = s, nil, nil
	for _, target := range s.Targets {
		if targetName != "" && target.Name != targetName {
			continue
		}
		t := known[target]
		if t == nil {
			t = &poolTarget{Target: target, running: make(map[*job]struct{})}
		}
		p.targets = append(p.targets, t)
		p.measured = append(p.measured, &t.measured)
	}
	for _, t := range p.targets {
		p.update(t)
	}
}

// update recomputes how many requests may be in flight to the target.
func (p *pool) update(t *poolTarget) {
	t.measured.Limit = p.service.Slots
	if !p.fixedSlots {
		t.measured.Limit = t.limit.Value(p.service.Slots)
	}
}

// capacity returns the slots of the targets that serve: effective, where those of a slow
// target are divided by its slowness, and in total.
func (p *pool) capacity(now time.Time) (effective float64, total int) {
	for _, t := range p.targets {
		if !t.measured.Serves(now) {
			continue
		}
		total += t.measured.Limit
		share := float64(t.measured.Limit)
		if t.measured.Slow() {
			share /= t.measured.Slowness()
		}
		effective += share
	}
	return effective, total
}

// nextBackoffEnd returns the time until the next back-off of a target ends, at most
// tickInterval. A queue that noticed the end only at its next tick would leave a slot
// idle until then.
func (p *pool) nextBackoffEnd(now time.Time) time.Duration {
	next := tickInterval
	for _, t := range p.targets {
		if backoff := t.measured.ServesFrom().Sub(now); backoff > 0 {
			next = min(next, backoff)
		}
	}
	return next
}

// mostlySlow reports whether more than half of the targets count as slow. In that case
// the expected service times are wrong rather than the targets slow.
func (p *pool) mostlySlow() bool {
	n := 0
	for _, t := range p.targets {
		if t.measured.Slow() {
			n++
		}
	}
	return 2*n > len(p.targets)
}

func (p *pool) find(name string) *poolTarget {
	for _, t := range p.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// index returns the index of the target, or -1 for nil and for a target that has been
// removed.
func (p *pool) index(t *poolTarget) int {
	for i, other := range p.targets {
		if other == t {
			return i
		}
	}
	return -1
}
