package entry

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"hemlockquay/internal/boottime"
	"hemlockquay/internal/decide/admission"
	"hemlockquay/internal/decide/shares"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
)

// stepAdmit is the step of refusals by contract.
const stepAdmit = "admit"

// Figures of the demand that an entry asks its share for.
const (
	// demandHeadroom is added to the demand seen, so that growth within one renewal
	// is not refused.
	demandHeadroom = 1.25
	// demandSmoothing is the weight of the newest renewal period: the estimate
	// follows a step within about a second.
	demandSmoothing = 0.3
	// reserveDivisor is the part of its base that an entry does not lend while it
	// sees requests, and reserveFor how long it counts as seeing them. Of nine
	// entries without this limit in time, eight idle ones kept 22 % of a contract
	// from the one that all requests came through.
	reserveDivisor  = 4
	reserveDuration = 10 * time.Second
	// refusalEndDelay is how long nothing is refused until the journal says so.
	refusalEndDelay = 5 * time.Second
)

// admitter holds customers to their contracts at this entry. It is safe for
// concurrent use.
type admitter struct {
	vm      string
	clock   boottime.Clock
	journal *journal.Journal
	// readTimeout is how long a body may take, which counts as in flight.
	readTimeout time.Duration
	admitted    metrics.Meter
	refused     map[admission.Reason]metrics.Meter
	// shareWanted notifies the sharer that a request was refused for want of share.
	shareWanted chan struct{}

	mu       sync.Mutex
	ledger   *shares.Ledger
	accounts map[shares.Account]*accountLimiter
	// active are the accounts whose share or use may change; see active.go.
	active map[shares.Account]*accountLimiter
	// base is the part of every contract of which all gates were notified.
	base shares.Units
	// revision is the configuration whose contracts have ledgers, 0 for none.
	revision uint64
	vmCount  int
}

// accountLimiter is one account at this entry.
type accountLimiter struct {
	gate        *admission.Gate
	allowance   model.Allowance
	maxDuration time.Duration
	// offered counts requests since the last measure, demand is per second.
	offered         int
	lastRequest     time.Duration
	demandPerSecond float64
	lastMeasured    time.Duration
	// lastRefusal is when a request was last refused, 0 if that is long ago.
	lastRefusal time.Duration
}

func newAdmitter(vm string, incarnation int64, readTimeout time.Duration, clock boottime.Clock, j *journal.Journal, registry metrics.Registry) *admitter {
	return &admitter{
		vm:          vm,
		clock:       clock,
		journal:     j,
		readTimeout: readTimeout,
		admitted:    metrics.GetOrRegisterMeter("admission.admitted", registry),
		refused: map[admission.Reason]metrics.Meter{
			admission.OverRate:        metrics.GetOrRegisterMeter("admission.refused.rate", registry),
			admission.OverConcurrency: metrics.GetOrRegisterMeter("admission.refused.concurrency", registry),
		},
		shareWanted: make(chan struct{}, 1),
		ledger:      shares.New(vm, incarnation, clock.Now()),
		accounts:    make(map[shares.Account]*accountLimiter),
		active:      make(map[shares.Account]*accountLimiter),
	}
}

// gateTime puts a reading of the clock into the form that the gate wants.
func gateTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// admit decides by contract and share. Each admitted req needs one release.
func (a *admitter) admit(req *parsedRequest) *problem.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	account := shares.Account{Customer: req.contract.Customer, Service: req.service.Name}
	l := a.limiterFor(account, now)
	a.setLimits(l, req.service, req.allowance)
	a.activate(account, l)
	l.offered++
	l.lastRequest = now
	a.refresh(account, l, now)
	d := l.gate.Admit(gateTime(now))
	if d.OK {
		a.admitted.Mark(1)
		return nil
	}
	return a.refuse(account, l, d, now)
}

func (a *admitter) refuse(account shares.Account, l *accountLimiter, d admission.Decision, now time.Duration) *problem.Error {
	a.refused[d.Reason].Mark(1)
	if l.lastRefusal == 0 {
		a.journal.Add(stepAdmit, fmt.Sprintf("refusing began: over its %s at this entry", d.Reason), account.Customer, account.Service)
	}
	l.lastRefusal = now
	select {
	case a.shareWanted <- struct{}{}:
	default:
	}
	detail := fmt.Sprintf("customer %s is over its %s for %s", account.Customer, d.Reason, account.Service)
	return problem.Refuse(problem.OverLimit, stepAdmit, a.vm, detail).After(max(d.RetryAfter, time.Millisecond))
}

// release ends an admitted req.
func (a *admitter) release(req *parsedRequest, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := shares.Account{Customer: req.contract.Customer, Service: req.service.Name}
	a.limiterFor(account, a.clock.Now()).gate.Done(took)
}

func (a *admitter) limiterFor(account shares.Account, now time.Duration) *accountLimiter {
	l := a.accounts[account]
	if l == nil {
		l = &accountLimiter{gate: admission.New(), lastMeasured: now}
		a.accounts[account] = l
	}
	return l
}

func (a *admitter) setLimits(l *accountLimiter, s *model.Service, allowance model.Allowance) {
	l.allowance, l.maxDuration = allowance, s.MaxDeadline.D()+answerMargin+a.readTimeout
}

// refresh passes the book what the account needs and the gate what it has. It
// must run before and after each change of the book: the gate counts a lowered
// share from the last update that it received.
func (a *admitter) refresh(account shares.Account, l *accountLimiter, now time.Duration) {
	a.ledger.SetDemand(account, l.shareDemand(a.vmCount, now), now)
	rate, concurrency := a.ledger.Share(account, now)
	l.gate.Set(admission.Share{
		Rate:        fractionOf(rate, l.allowance.Rate),
		Burst:       fractionOf(rate, float64(l.allowance.Burst)),
		Concurrency: fractionOf(concurrency, float64(l.allowance.Concurrency)),
	}, gateTime(now))
}

func fractionOf(share shares.Units, limit float64) float64 {
	return float64(share) / float64(shares.Whole) * limit
}

// unitsFor is the share that so much of a limit makes up, at most the whole.
func unitsFor(amount, limit float64) shares.Units {
	return min(shares.Units(math.Ceil(amount/limit*float64(shares.Whole))), shares.Whole)
}

// shareDemand says what this entry needs. With any demand at all that is enough for one
// request: of a small burst or concurrency an equal part admits none.
func (l *accountLimiter) shareDemand(vmCount int, now time.Duration) shares.Demand {
	d := shares.Demand{MaxDuration: l.maxDuration}
	inFlight := float64(l.gate.InFlight())
	burst, concurrency := float64(l.allowance.Burst), float64(l.allowance.Concurrency)
	if inFlight > 0 {
		d.InUse = unitsFor(inFlight, concurrency)
	}
	if l.demandPerSecond > 0 || l.offered > 0 {
		d.Want = max(unitsFor(demandHeadroom*l.demandPerSecond, l.allowance.Rate), unitsFor(demandHeadroom*inFlight+1, concurrency), unitsFor(1, burst))
	}
	if n := float64(max(vmCount, 1)); l.lastRequest != 0 && now-l.lastRequest < reserveDuration && burst >= n && concurrency >= n {
		d.Reserve = shares.Whole / shares.Units(max(vmCount, 1)) / reserveDivisor
	}
	return d
}

// measure takes the demand since the last call into the estimate.
func (l *accountLimiter) measure(now time.Duration) {
	elapsed := (now - l.lastMeasured).Seconds()
	if elapsed <= 0 {
		return
	}
	rate := float64(l.offered) / elapsed
	l.demandPerSecond += demandSmoothing * (rate - l.demandPerSecond)
	if l.offered == 0 && l.demandPerSecond < 0.01 {
		l.demandPerSecond = 0
	}
	l.offered, l.lastMeasured = 0, now
}

// endPeriod ends a renewal endPeriod: it takes the platform's list, measures demand
// and forgets accounts without use.
func (a *admitter) endPeriod(v *view.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	vms := vmNames(v.Listed)
	a.vmCount = len(vms)
	a.updateAccounts(v, now)
	a.refreshActive(now)
	a.ledger.SetVMs(vms, now)
	a.ledger.Expire(now)
	for account, l := range a.active {
		l.measure(now)
		if l.lastRefusal != 0 && now-l.lastRefusal > refusalEndDelay {
			l.lastRefusal = 0
			a.journal.Add(stepAdmit, "refusing ended: within the contract again", account.Customer, account.Service)
		}
	}
	a.refreshActive(now)
	a.deactivateIdle(now)
}

// hasBase reports whether the others confirmed this VM's part of the limits.
// Without a base an entry refuses customers far below their contracts, so it is not ready before.
func (a *admitter) hasBase() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Base(a.clock.Now()) > 0
}

func (a *admitter) newAsk(peer string, seq uint64) (shares.Ask, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.refreshActive(now)
	return a.ledger.Ask(peer, seq, now), now
}

func (a *admitter) handleAsk(ask shares.Ask) shares.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, w := range ask.Wants {
		a.activateKnown(w.Account, now)
	}
	a.refreshActive(now)
	answer := a.ledger.HandleAsk(ask, now)
	a.refreshActive(now)
	return answer
}

func (a *admitter) handleAnswer(ask shares.Ask, answer shares.Answer, sentAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, loan := range answer.Loans {
		a.activateKnown(loan.Account, now)
	}
	a.refreshActive(now)
	a.ledger.HandleAnswer(ask, answer, sentAt, now)
	a.refreshActive(now)
}

// AccountState is one account in the dump; shares are fractions of the contract.
type AccountState struct {
	Customer    string  `json:"customer"`
	Service     string  `json:"service"`
	Share       float64 `json:"share"`
	Concurrency float64 `json:"concurrencyShare"`
	Running     int     `json:"running"`
	Demand      float64 `json:"demand"`
	Refusing    bool    `json:"refusing"`
}

// limitsState is the admitter's section of the dump.
type limitsState struct {
	Counted  []string       `json:"counted"`
	Accounts []AccountState `json:"accounts"`
}

func (a *admitter) dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	out := limitsState{Counted: a.ledger.Counted()}
	for account, l := range a.accounts {
		rate, concurrency := a.ledger.Share(account, now)
		out.Accounts = append(out.Accounts, AccountState{
			Customer: account.Customer, Service: account.Service,
			Share: fractionOf(rate, 1), Concurrency: fractionOf(concurrency, 1),
			Running: l.gate.InFlight(), Demand: l.demandPerSecond, Refusing: l.lastRefusal != 0,
		})
	}
	slices.SortFunc(out.Accounts, func(p, q AccountState) int {
		return strings.Compare(p.Customer+"/"+p.Service, q.Customer+"/"+q.Service)
	})
	return out
}
