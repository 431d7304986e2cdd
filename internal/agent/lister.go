package agent

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// listInterval is how often the platform's list of VMs is read; it lags anyway.
const listInterval = time.Second

// lister reads the platform's list. It is one goroutine.
type lister struct {
	store   platform.Store
	members *members
	timeout time.Duration
	log     *log.Logger
}

func (l *lister) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.readList(ctx)
		pause.For(ctx, listInterval)
	}
}

func (l *lister) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	vms, err := l.store.VMs(ctx)
	if err != nil {
		// The list in force stays: an outage of the platform ends no VM.
		l.log.Debug().Err(err).Str("step", "list-vms").Str("peer", "platform").Msg("list not read")
		return
	}
	l.members.setList(vms)
}
