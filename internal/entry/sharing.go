package entry

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/decide/shares"
	"hemlockquay/internal/feed"
	"hemlockquay/internal/peer"
	"hemlockquay/internal/wire"
)

// wantedPause is the least time between two rounds when a request was refused:
// a share is borrowed sooner than at the next renewal, and a customer at ten
// times its contract causes no flood of asks.
const wantedPause = 50 * time.Millisecond

// sharer carries the protocol of package shares between entries. It is one
// goroutine and one for each ask in flight.
type sharer struct {
	vm       string
	admitter *admitter
	feed     *feed.Feed
	peers    *peer.Pool
	log      *log.Logger
	// settled says that requests may come.
	settled func()
	asks    metrics.Counter
	lost    metrics.Counter

	mu   sync.Mutex
	busy map[string]bool
	seq  uint64
}

func newSharer(vm string, a *admitter, f *feed.Feed, settled func(), logger *log.Logger, registry metrics.Registry) *sharer {
	return &sharer{
		vm:       vm,
		admitter: a,
		feed:     f,
		peers:    peer.NewPool(1),
		log:      logger,
		settled:  settled,
		asks:     metrics.GetOrRegisterCounter("shares.asks", registry),
		lost:     metrics.GetOrRegisterCounter("shares.lost", registry),
		busy:     make(map[string]bool),
	}
}

// shareReceiver holds the method that net/rpc publishes.
type shareReceiver struct{ admitter *admitter }

// Share answers the ask of another entry.
func (r *shareReceiver) Share(ask *shares.Ask, answer *shares.Answer) error {
	*answer = r.admitter.receive(*ask)
	return nil
}

func (s *sharer) run(ctx context.Context) {
	period := time.NewTicker(shares.RenewInterval)
	defer period.Stop()
	var last time.Time
	begun := time.Now()
	for {
		select {
		case <-period.C:
			s.admitter.period(s.feed.Current())
			if s.admitter.hasBase() || time.Since(begun) > settleWithin {
				s.settled()
			}
		case <-s.admitter.shareWanted:
			if time.Since(last) < wantedPause {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = time.Now()
		s.round(ctx)
	}
}

// needsBase is why an entry that has just started is not ready.
const needsBase = "this VM's part of the contracts' limits is not confirmed by the others"

// settleWithin bounds how long a new entry waits for its part: a VM that is listed
// but dead confirms nothing, and loans serve most customers meanwhile.
const settleWithin = 2 * time.Second

func listedNames(places []wire.Place) []string {
	out := make([]string, len(places))
	for i, p := range places {
		out[i] = p.VM
	}
	return out
}

// round asks every entry that is known, unless it has an ask to answer yet.
func (s *sharer) round(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.feed.Current().Members {
		if m.VM == s.vm || m.EntryAddr == "" || s.busy[m.VM] {
			continue
		}
		s.busy[m.VM] = true
		s.seq++
		go s.requestShare(ctx, m, s.seq)
	}
}

func (s *sharer) requestShare(ctx context.Context, m wire.Member, seq uint64) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, m.VM)
	}()
	ctx, cancel := context.WithTimeout(ctx, shares.LeaseDuration)
	defer cancel()
	ask, asked := s.admitter.ask(m.VM, seq)
	var answer shares.Answer
	s.asks.Inc(1)
	if err := s.peers.Get(m.EntryAddr).Call(ctx, wire.MethodShare, &ask, &answer); err != nil {
		s.lost.Inc(1)
		s.log.Debug().Err(err).Str("step", "share").Str("peer", m.VM).Msg("no answer")
		return
	}
	s.admitter.take(ask, answer, asked)
}
