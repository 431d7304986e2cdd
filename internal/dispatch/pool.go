package dispatch

import (
	"time"

	"hemlockquay/internal/decide/balance"
	"hemlockquay/internal/decide/slots"
	"hemlockquay/internal/model"
	"hemlockquay/internal/wire"
)

// poolTarget is a target of a queue with what was measured of it.
type poolTarget struct {
	model.Target
	measured balance.Target
	limit    slots.Limit
	// incarnation is what its health endpoint said last.
	incarnation string
	// running holds the jobs whose attempts are on their way.
	running map[*job]struct{}
	// diedAt is when it was last found dead.
	diedAt time.Time
}

// requests lists what runs on the target.
func (t *poolTarget) requests() []*wire.Request {
	out := make([]*wire.Request, 0, len(t.running))
	for j := range t.running {
		out = append(out, j.request)
	}
	return out
}

// pool is the targets of a queue: one for a keyed service, all for an unkeyed one.
type pool struct {
	service *model.Service
	targets []*poolTarget
	// measured is targets' part for the choice, in the same order.
	measured   []*balance.Target
	fixedSlots bool
}

// sync takes over the service object in force. What was measured of a target
// stays with its name and address.
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

// update renews the number that may be in flight at the target.
func (p *pool) update(t *poolTarget) {
	t.measured.Limit = p.service.Slots
	if !p.fixedSlots {
		t.measured.Limit = t.limit.Value(p.service.Slots)
	}
}

// capacity returns the slots of targets that serve, a slow one counting for what
// it does, and the plain number of slots.
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

// nextBackoffEnd is how long until the rest of a target ends, tickEvery where none
// rests. A queue that noticed it at its next tick only would leave a slot idle.
func (p *pool) nextBackoffEnd(now time.Time) time.Duration {
	next := tickInterval
	for _, t := range p.targets {
		if backoff := t.measured.ServesFrom().Sub(now); backoff > 0 {
			next = min(next, backoff)
		}
	}
	return next
}

// mostlySlow reports whether over half of the targets count as slow. Then it is the
// expectation that is wrong.
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

// index returns the target's place, -1 for nil or one that is gone.
func (p *pool) index(t *poolTarget) int {
	for i, other := range p.targets {
		if other == t {
			return i
		}
	}
	return -1
}
