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

// stepAdmit is the step that refusals by contract report.
const stepAdmit = "admit"

// Parameters of the demand that an entry reports to the ledger of shares.
const (
	// demandHeadroom is the factor by which the wanted share exceeds the measured demand, so
	// that growth within one renewal interval is not refused.
	demandHeadroom = 1.25
	// demandSmoothing is the weight of the latest renewal interval in the moving average of
	// the demand. The average follows a step within about a second.
	demandSmoothing = 0.3
	// An entry keeps 1/reserveDivisor of its base in reserve, and does not lend it, until
	// reserveDuration after the account's last request. Without this time limit, eight idle
	// entries of nine withheld 22 % of a contract from the one that received all requests.
	reserveDivisor  = 4
	reserveDuration = 10 * time.Second
	// refusalEndDelay is the time without a refusal after which the journal records that
	// refusing has ended.
	refusalEndDelay = 5 * time.Second
)

// admitter enforces customers' contracts at this entry. It is safe for concurrent use.
type admitter struct {
	vm      string
	clock   boottime.Clock
	journal *journal.Journal
	// readTimeout is the maximum time for reading a body, during which a request counts as
	// in flight.
	readTimeout time.Duration
	admitted    metrics.Meter
	refused     map[admission.Reason]metrics.Meter
	// shareWanted signals the shareExchanger that a request was refused because this entry's
	// share did not suffice.
	shareWanted chan struct{}

	mu       sync.Mutex
	ledger   *shares.Ledger
	accounts map[shares.Account]*accountLimiter
	// active are the accounts whose share or use may change; see active.go.
	active map[shares.Account]*accountLimiter
	// base is the base that the gates of all accounts were last updated with.
	base shares.Units
	// revision is that of the configuration whose contracts have limiters in accounts. It is
	// 0 if accounts must be checked again.
	revision uint64
	// vmCount is the number of VMs that the platform lists.
	vmCount int
}

// accountLimiter holds the limits and the demand of one account at this entry.
type accountLimiter struct {
	gate        *admission.Gate
	allowance   model.Allowance
	maxDuration time.Duration
	// offered counts the requests since lastMeasured. demandPerSecond is the moving average
	// of their rate.
	offered         int
	lastRequest     time.Duration
	demandPerSecond float64
	lastMeasured    time.Duration
	// lastRefusal is when a request was last refused, 0 once the journal has recorded that
	// refusing ended.
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

// gateTime converts a reading of the clock to the time.Time that the gate takes.
func gateTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// admit admits or refuses a request by the customer's contract and this entry's share of it.
// release must be called once for each admitted request.
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
	return problem.Refuse(problem.OverLimit, stepAdmit, a.vm, detail).WithRetryAfter(max(d.RetryAfter, time.Millisecond))
}

// release records that an admitted request has ended.
func (a *admitter) release(req *parsedRequest, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := shares.Account{Customer: req.contract.Customer, Service: req.service.Name}
	a.limiterFor(account, a.clock.Now()).gate.Done(took)
}

// limiterFor returns the account's limiter, which it creates if there is none.
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

// refresh passes the account's demand to the ledger and its share to the gate. It must run
// before and after each change of the ledger: the gate takes a lowered share to be in force
// since the last update that it received.
func (a *admitter) refresh(account shares.Account, l *accountLimiter, now time.Duration) {
	a.ledger.SetDemand(account, l.shareDemand(a.vmCount, now), now)
	rate, concurrency := a.ledger.Share(account, now)
	l.gate.Set(admission.Share{
		Rate:        fractionOf(rate, l.allowance.Rate),
		Burst:       fractionOf(rate, float64(l.allowance.Burst)),
		Concurrency: fractionOf(concurrency, float64(l.allowance.Concurrency)),
	}, gateTime(now))
}

// fractionOf returns the part of limit that a share makes up.
func fractionOf(share shares.Units, limit float64) float64 {
	return float64(share) / float64(shares.Whole) * limit
}

// unitsFor returns the share of limit that amount makes up, rounded up and at most Whole.
func unitsFor(amount, limit float64) shares.Units {
	return min(shares.Units(math.Ceil(amount/limit*float64(shares.Whole))), shares.Whole)
}

// shareDemand returns what this entry needs of the account. While there is any demand, it wants
// enough for at least one request: an equal part of a small burst or concurrency may be less.
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

// measure updates the moving average of the demand with the requests since the last call.
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

// endPeriod runs at the end of each renewal interval. It applies the configuration and the
// platform's list of VMs, measures the demand and deactivates accounts that are not in use.
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

// hasBase reports whether the other entries have confirmed this entry's base. Without a base an
// entry refuses customers far below their contracts, so it is not ready before it has one.
func (a *admitter) hasBase() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Base(a.clock.Now()) > 0
}

// newAsk returns the next ask to a peer and the time at which it was made.
func (a *admitter) newAsk(peer string, seq uint64) (shares.Ask, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.refreshActive(now)
	return a.ledger.Ask(peer, seq, now), now
}

// handleAsk answers another entry's ask.
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

// handleAnswer applies the answer to an ask that newAsk returned at sentAt.
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

// AccountState describes one account in the dump. Shares are fractions of the contract.
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
