package agent

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"hemlockquay/internal/pause"
	"hemlockquay/internal/platform"
)

// listInterval is the time between two reads of the platform's list of VMs. The list lags behind
// the VMs, so more frequent reads would gain nothing.
const listInterval = time.Second

// lister reads the platform's list of VMs. It runs in one goroutine.
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
		// The previous list stays in force: an outage of the platform must not remove VMs.
		l.log.Debug().Err(err).Str("step", "list-vms").Str("peer", "platform").Msg("cannot read the list of VMs; the previous list stays in force")
		return
	}
	l.members.setList(vms)
}
