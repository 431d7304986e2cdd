package grantor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/lease"
)

// pushTimeout bounds telling another VM of changed leases.
const pushTimeout = 300 * time.Millisecond

// ErrMalformed is the error of leases that another VM tells in part or cannot take in.
var ErrMalformed = errors.New("lists do not fit together")

// pushFunc sends an update to a VM and tells whether it could use it.
type pushFunc func(ctx context.Context, vm string, u *lease.Update) (used bool, err error)

// teller tells the other VMs of a service's leases. Each VM has one update on its way
// at most, from the version that it last confirmed to the latest: a slow link gets
// fewer updates, not a queue of them.
type teller struct {
	push pushFunc
	log  *log.Logger

	mu     sync.Mutex
	latest *lease.Routing
	peers  map[string]*told
}

// told is what one VM was told.
type told struct {
	known *lease.Routing
	busy  bool
}

func newTeller(push pushFunc, logger *log.Logger) *teller {
	return &teller{push: push, log: logger, peers: make(map[string]*told)}
}

// tell brings the VMs to this version.
func (t *teller) tell(ctx context.Context, r *lease.Routing, vms []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latest = r
	for _, vm := range vms {
		p := t.peers[vm]
		if p == nil {
			p = new(told)
			t.peers[vm] = p
		}
		if !p.busy {
			p.busy = true
			go t.serve(ctx, vm, p)
		}
	}
}

// serve tells one VM until it knows the latest version or an update fails. A VM that
// an update did not reach learns from the heartbeats that it is behind.
func (t *teller) serve(ctx context.Context, vm string, p *told) {
	for {
		known, latest, more := t.next(p)
		if !more {
			return
		}
		u := lease.UpdateBetween(known, latest)
		used, err := t.send(ctx, vm, u)
		if err == nil && !used && u.Base == 0 {
			err = ErrMalformed
		}
		if err != nil {
			t.log.Info().Str("step", "leases").Str("peer", vm).Uint64("seq", latest.Seq).Err(err).Msg("leases not pushed")
			t.failed(p)
			return
		}
		t.note(p, latest, used)
	}
}

func (t *teller) send(ctx context.Context, vm string, u *lease.Update) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	return t.push(ctx, vm, u)
}

// next returns what a VM knows and what it is to know.
func (t *teller) next(p *told) (known, latest *lease.Routing, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.known == t.latest {
		p.busy = false
		return nil, nil, false
	}
	return p.known, t.latest, true
}

// note takes in the answer to an update. A VM that could not use it gets all.
func (t *teller) note(p *told, r *lease.Routing, used bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.known = nil
	if used {
		p.known = r
	}
}

func (t *teller) failed(p *told) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.known, p.busy = nil, false
}

// pushLeases sends changed leases to a VM.
func (k *Keepers) pushLeases(ctx context.Context, vm string, u *lease.Update) (bool, error) {
	var used bool
	err := k.Mesh.Call(ctx, vm, "View.Push", u, &used)
	return used, err
}
