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

// minRoundInterval is the minimum time between a round of asks and one that a refused request
// triggers. Such a round borrows share before the next renewal; the minimum keeps a customer at
// ten times its contract from causing a flood of asks.
const minRoundInterval = 50 * time.Millisecond

// shareExchanger runs the protocol of package shares with the other entries. It uses one
// goroutine, and one more for each ask in flight.
type shareExchanger struct {
	vm       string
	admitter *admitter
	feed     *feed.Feed
	pool     *peer.Pool
	log      *log.Logger
	// markReady marks the condition baseNotConfirmed as met. It may be called repeatedly.
	markReady  func()
	asks       metrics.Counter
	unanswered metrics.Counter

	mu sync.Mutex
	// inFlight holds the VMs whose last ask is in flight.
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

// shareService is the RPC service that the other entries call.
type shareService struct{ admitter *admitter }

// Share answers another entry's ask.
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

// baseNotConfirmed is the reason why an entry that has just started is not ready.
const baseNotConfirmed = "this VM's part of the contracts' limits is not confirmed by the others"

// maxBaseWait is how long a new entry waits for its base before it becomes ready without one. A
// VM that is listed but has failed confirms nothing, and meanwhile loans serve most customers.
const maxBaseWait = 2 * time.Second

func vmNames(places []wire.Place) []string {
	out := make([]string, len(places))
	for i, p := range places {
		out[i] = p.VM
	}
	return out
}

// askPeers sends an ask to every known entry, except those whose last ask is still in flight.
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
