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

// minRoundInterval is the least time between two rounds when a request was refused:
// a share is borrowed sooner than at the next renewal, and a customer at ten
// times its contract causes no flood of asks.
const minRoundInterval = 50 * time.Millisecond

// shareExchanger carries the protocol of package shares between entries. It is one
// goroutine and one for each ask in flight.
type shareExchanger struct {
	vm       string
	admitter *admitter
	feed     *feed.Feed
	pool     *peer.Pool
	log      *log.Logger
	// markReady says that requests may come.
	markReady  func()
	asks       metrics.Counter
	unanswered metrics.Counter

	mu       sync.Mutex
	inFlight map[string]bool
	seq      uint64
}

func newShareExchanger(vm string, a *admitter, f *feed.Feed, markReady func(), logger *log.Logger, registry metrics.Registry) *shareExchanger {
	return &shareExchanger{
		vm:         vm,
		admitter:   a,
		feed:       f,
		pool:       peer.NewPool(1),
		log:        logger,
		markReady:  markReady,
		asks:       metrics.GetOrRegisterCounter("shares.asks", registry),
		unanswered: metrics.GetOrRegisterCounter("shares.lost", registry),
		inFlight:   make(map[string]bool),
	}
}

// shareService holds the method that net/rpc publishes.
type shareService struct{ admitter *admitter }

// Share answers the ask of another entry.
func (r *shareService) Share(ask *shares.Ask, answer *shares.Answer) error {
	*answer = r.admitter.handleAsk(*ask)
	return nil
}

func (s *shareExchanger) run(ctx context.Context) {
	ticker := time.NewTicker(shares.RenewInterval)
	defer ticker.Stop()
	var lastRound time.Time
	start := time.Now()
	for {
		select {
		case <-ticker.C:
			s.admitter.endPeriod(s.feed.Current())
			if s.admitter.hasBase() || time.Since(start) > maxBaseWait {
				s.markReady()
			}
		case <-s.admitter.shareWanted:
			if time.Since(lastRound) < minRoundInterval {
				continue
			}
		case <-ctx.Done():
			return
		}
		lastRound = time.Now()
		s.askPeers(ctx)
	}
}

// baseNotConfirmed is why an entry that has just started is not ready.
const baseNotConfirmed = "this VM's part of the contracts' limits is not confirmed by the others"

// maxBaseWait bounds how long a new entry waits for its part: a VM that is listed
// but dead confirms nothing, and loans serve most customers meanwhile.
const maxBaseWait = 2 * time.Second

func vmNames(places []wire.Place) []string {
	out := make([]string, len(places))
	for i, p := range places {
		out[i] = p.VM
	}
	return out
}

// askPeers asks every entry that is known, unless it has an ask to answer yet.
func (s *shareExchanger) askPeers(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.feed.Current().Members {
		if m.VM == s.vm || m.EntryAddr == "" || s.inFlight[m.VM] {
			continue
		}
		s.inFlight[m.VM] = true
		s.seq++
		go s.requestShare(ctx, m, s.seq)
	}
}

func (s *shareExchanger) requestShare(ctx context.Context, m wire.Member, seq uint64) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, m.VM)
	}()
	ctx, cancel := context.WithTimeout(ctx, shares.LeaseDuration)
	defer cancel()
	ask, sentAt := s.admitter.newAsk(m.VM, seq)
	var answer shares.Answer
	s.asks.Inc(1)
	if err := s.pool.Get(m.EntryAddr).Call(ctx, wire.MethodShare, &ask, &answer); err != nil {
		s.unanswered.Inc(1)
		s.log.Debug().Err(err).Str("step", "share").Str("peer", m.VM).Msg("no answer")
		return
	}
	s.admitter.handleAnswer(ask, answer, sentAt)
}
