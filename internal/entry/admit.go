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
	// headroom is added to the demand seen, so that growth within one renewal
	// is not refused.
	headroom = 1.25
	// demandWeight is the weight of the newest renewal period: the estimate
	// follows a step within about a second.
	demandWeight = 0.3
	// reservePart is the part of its base that an entry does not lend while it
	// sees requests, and reserveFor how long it counts as seeing them. Of nine
	// entries without this limit in time, eight idle ones kept 22 % of a contract
	// from the one that all requests came through.
	reservePart = 4
	reserveFor  = 10 * time.Second
	// calm is how long nothing is refused until the journal says so.
	calm = 5 * time.Second
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
	book     *shares.Ledger
	accounts map[shares.Account]*ledger
	// active are the accounts whose share or use may change; see active.go.
	active map[shares.Account]*ledger
	// base is the part of every contract of which all gates were notified.
	base shares.Units
	// revision is the configuration whose contracts have ledgers, 0 for none.
	revision uint64
	vms      int
}

// ledger is one account at this entry.
type ledger struct {
	gate      *admission.Gate
	allowance model.Allowance
	longest   time.Duration
	// offered counts requests since the last measure, demand is per second.
	offered  int
	seen     time.Duration
	demand   float64
	measured time.Duration
	// refusedAt is when a request was last refused, 0 if that is long ago.
	refusedAt time.Duration
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
		book:        shares.New(vm, incarnation, clock.Now()),
		accounts:    make(map[shares.Account]*ledger),
		active:      make(map[shares.Account]*ledger),
	}
}

// instant puts a reading of the clock into the form that the gate wants.
func instant(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// admit decides by contract and share. Each admitted req needs one release.
func (a *admitter) admit(v *parsedRequest) *problem.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	account := shares.Account{Customer: v.contract.Customer, Service: v.service.Name}
	l := a.ledger(account, now)
	a.setLimits(l, v.service, v.allowance)
	a.activate(account, l)
	l.offered++
	l.seen = now
	a.refresh(account, l, now)
	d := l.gate.Admit(instant(now))
	if d.OK {
		a.admitted.Mark(1)
		return nil
	}
	return a.refuse(account, l, d, now)
}

func (a *admitter) refuse(account shares.Account, l *ledger, d admission.Decision, now time.Duration) *problem.Error {
	a.refused[d.Reason].Mark(1)
	if l.refusedAt == 0 {
		a.journal.Add(stepAdmit, fmt.Sprintf("refusing began: over its %s at this entry", d.Reason), account.Customer, account.Service)
	}
	l.refusedAt = now
	select {
	case a.shareWanted <- struct{}{}:
	default:
	}
	detail := fmt.Sprintf("customer %s is over its %s for %s", account.Customer, d.Reason, account.Service)
	return problem.Refuse(problem.OverLimit, stepAdmit, a.vm, detail).WithRetryAfter(max(d.RetryAfter, time.Millisecond))
}

// release ends an admitted req.
func (a *admitter) release(v *parsedRequest, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := shares.Account{Customer: v.contract.Customer, Service: v.service.Name}
	a.ledger(account, a.clock.Now()).gate.Done(took)
}

func (a *admitter) ledger(account shares.Account, now time.Duration) *ledger {
	l := a.accounts[account]
	if l == nil {
		l = &ledger{gate: admission.New(), measured: now}
		a.accounts[account] = l
	}
	return l
}

func (a *admitter) setLimits(l *ledger, s *model.Service, allowance model.Allowance) {
	l.allowance, l.longest = allowance, s.MaxDeadline.D()+answerMargin+a.readTimeout
}

// refresh passes the book what the account needs and the gate what it has. It
// must run before and after each change of the book: the gate counts a lowered
// share from the last update that it received.
func (a *admitter) refresh(account shares.Account, l *ledger, now time.Duration) {
	a.book.SetDemand(account, l.use(a.vms, now), now)
	rate, concurrency := a.book.Share(account, now)
	l.gate.Set(admission.Share{
		Rate:        part(rate, l.allowance.Rate),
		Burst:       part(rate, float64(l.allowance.Burst)),
		Concurrency: part(concurrency, float64(l.allowance.Concurrency)),
	}, instant(now))
}

func part(u shares.Units, of float64) float64 { return float64(u) / float64(shares.Whole) * of }

// units is the share that so much of a limit makes up, at most the whole.
func units(of, limit float64) shares.Units {
	return min(shares.Units(math.Ceil(of/limit*float64(shares.Whole))), shares.Whole)
}

// use says what this entry needs. With any demand at all that is enough for one
// request: of a small burst or concurrency an equal part admits none.
func (l *ledger) use(vms int, now time.Duration) shares.Demand {
	u := shares.Demand{MaxDuration: l.longest}
	running := float64(l.gate.InFlight())
	burst, concurrency := float64(l.allowance.Burst), float64(l.allowance.Concurrency)
	if running > 0 {
		u.InUse = units(running, concurrency)
	}
	if l.demand > 0 || l.offered > 0 {
		u.Want = max(units(headroom*l.demand, l.allowance.Rate), units(headroom*running+1, concurrency), units(1, burst))
	}
	if n := float64(max(vms, 1)); l.seen != 0 && now-l.seen < reserveFor && burst >= n && concurrency >= n {
		u.Reserve = shares.Whole / shares.Units(max(vms, 1)) / reservePart
	}
	return u
}

// measure takes the demand since the last call into the estimate.
func (l *ledger) measure(now time.Duration) {
	period := (now - l.measured).Seconds()
	if period <= 0 {
		return
	}
	seen := float64(l.offered) / period
	l.demand += demandWeight * (seen - l.demand)
	if l.offered == 0 && l.demand < 0.01 {
		l.demand = 0
	}
	l.offered, l.measured = 0, now
}

// period ends a renewal period: it takes the platform's list, measures demand
// and forgets accounts without use.
func (a *admitter) period(v *view.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	vms := listedNames(v.Listed)
	a.vms = len(vms)
	a.open(v, now)
	a.refreshActive(now)
	a.book.SetVMs(vms, now)
	a.book.Expire(now)
	for account, l := range a.active {
		l.measure(now)
		if l.refusedAt != 0 && now-l.refusedAt > calm {
			l.refusedAt = 0
			a.journal.Add(stepAdmit, "refusing ended: within the contract again", account.Customer, account.Service)
		}
	}
	a.refreshActive(now)
	a.rest(now)
}

// hasBase reports whether the others confirmed this VM's part of the limits.
// Without a base an entry refuses customers far below their contracts, so it is not ready before.
func (a *admitter) hasBase() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.book.Base(a.clock.Now()) > 0
}

func (a *admitter) ask(peer string, seq uint64) (shares.Ask, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.refreshActive(now)
	return a.book.Ask(peer, seq, now), now
}

func (a *admitter) receive(ask shares.Ask) shares.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, w := range ask.Wants {
		a.activateNamed(w.Account, now)
	}
	a.refreshActive(now)
	answer := a.book.HandleAsk(ask, now)
	a.refreshActive(now)
	return answer
}

func (a *admitter) take(ask shares.Ask, answer shares.Answer, asked time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, loan := range answer.Loans {
		a.activateNamed(loan.Account, now)
	}
	a.refreshActive(now)
	a.book.HandleAnswer(ask, answer, asked, now)
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
	out := limitsState{Counted: a.book.Counted()}
	for account, l := range a.accounts {
		rate, concurrency := a.book.Share(account, now)
		out.Accounts = append(out.Accounts, AccountState{
			Customer: account.Customer, Service: account.Service,
			Share: part(rate, 1), Concurrency: part(concurrency, 1),
			Running: l.gate.InFlight(), Demand: l.demand, Refusing: l.refusedAt != 0,
		})
	}
	slices.SortFunc(out.Accounts, func(p, q AccountState) int {
		return strings.Compare(p.Customer+"/"+p.Service, q.Customer+"/"+q.Service)
	})
	return out
}
