package entry

import (
	"fmt"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/decide/shares"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/problem"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// fakeClock is a clock that tests set from one goroutine.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// testEntries are the admitters of several entries that exchange messages without a network.
type testEntries struct {
	clock     *fakeClock
	admitters []*admitter
	view      *view.View
	req       *parsedRequest
	seq       uint64
}

const tokenField = `"tokenSHA256": "0000000000000000000000000000000000000000000000000000000000000000"`

func newEntries(t testing.TB, n int, allowance string) *testEntries {
	return newEntriesWithIdleContracts(t, n, allowance, 0)
}

// newEntriesWithIdleContracts adds contracts of customers that send no requests.
func newEntriesWithIdleContracts(t require.TestingT, n int, allowance string, idleContracts int) *testEntries {
	e := &testEntries{clock: &fakeClock{now: time.Hour}}
	objects := []platform.Object{
		{Kind: model.KindService, Name: "booth", Spec: []byte(`{"name": "booth", "slots": 2, "connections": 10, "deadline": "2s",
			"targets": [{"name": "booth-1", "addr": "127.0.0.1:1", "dataCentre": "a"}]}`)},
		{Kind: model.KindContract, Name: "narrators", Spec: []byte(`{"customer": "narrators", ` + tokenField + `, "services": [` + allowance + `]}`)},
	}
	for i := range idleContracts {
		name := fmt.Sprintf("quiet%d", i)
		spec := fmt.Sprintf(`{"customer": %q, "tokenSHA256": "%064x", "services": [%s]}`, name, i+1, allowance)
		objects = append(objects, platform.Object{Kind: model.KindContract, Name: name, Spec: []byte(spec)})
	}
	e.view = view.Build(objects, nil, nil)
	e.view.Revision = 1
	require.Empty(t, e.view.Problems)
	contract := e.view.Contracts()[0]
	e.req = &parsedRequest{service: e.view.Service("booth"), contract: contract, allowance: contract.Services[0]}
	for i := range n {
		name := fmt.Sprintf("vm%d", i+1)
		e.view.Listed = append(e.view.Listed, wire.Place{VM: name})
		e.admitters = append(e.admitters, newAdmitter(name, 1, 0, e.clock, journal.New(name, processName, 16), metrics.NewRegistry()))
	}
	return e
}

// renew runs one renewal interval at all entries, without loss of messages.
func (e *testEntries) renew() {
	for _, a := range e.admitters {
		a.endPeriod(e.view)
		for _, other := range e.admitters {
			if other == a {
				continue
			}
			e.seq++
			ask, sentAt := a.newAsk(other.vm, e.seq)
			a.handleAnswer(ask, other.handleAsk(ask), sentAt)
		}
	}
}

// offerLoad sends perSecond[i] requests per second to entry i and counts the results.
func (e *testEntries) offerLoad(d time.Duration, perSecond ...int) (admitted, refused int) {
	const tick = 10 * time.Millisecond
	due := make([]float64, len(e.admitters))
	for step := range int(d / tick) {
		e.clock.now += tick
		if step%int(shares.RenewInterval/tick) == 0 {
			e.renew()
		}
		for i, a := range e.admitters {
			for due[i] += float64(perSecond[i]) * tick.Seconds(); due[i] >= 1; due[i]-- {
				if a.admit(e.req) != nil {
					refused++
					continue
				}
				admitted++
				a.release(e.req, tick)
			}
		}
	}
	return admitted, refused
}

func noLoad(n int) []int { return make([]int, n) }

const testAllowance = `{"service": "booth", "rate": 200, "burst": 40, "concurrency": 30}`

// A customer sends ten times its contract through all entries at once. Together they must admit
// at most the contract, and nearly all of it.
func TestCallerAboveItsContractGetsItFromAllEntriesTogether(t *testing.T) {
	e := newEntries(t, 3, testAllowance)
	e.offerLoad(2*time.Second, noLoad(3)...)
	admitted, _ := e.offerLoad(10*time.Second, 700, 700, 600)
	require.LessOrEqual(t, admitted, 200*10+40)
	require.GreaterOrEqual(t, admitted, 200*10*95/100)
}

// All requests of a customer come through one entry, within the contract. After two seconds no
// request may be refused.
func TestCallerUsingOneEntryGetsItsContract(t *testing.T) {
	e := newEntries(t, 9, testAllowance)
	e.offerLoad(2*time.Second, noLoad(9)...)
	load := noLoad(9)
	load[4] = 180
	e.offerLoad(2*time.Second, load...)
	admitted, refused := e.offerLoad(10*time.Second, load...)
	require.Zero(t, refused)
	require.InDelta(t, 1800, admitted, 2)
}

// The burst and concurrency of a contract are smaller than the number of entries. An equal part
// is less than one request, so the entry must borrow the rest from the others.
func TestSmallContractIsUsable(t *testing.T) {
	e := newEntries(t, 9, `{"service": "booth", "rate": 5, "burst": 1, "concurrency": 1}`)
	e.offerLoad(2*time.Second, noLoad(9)...)
	load := noLoad(9)
	load[2] = 20
	e.offerLoad(3*time.Second, load...)
	admitted, _ := e.offerLoad(10*time.Second, load...)
	require.LessOrEqual(t, admitted, 5*10+1)
	require.GreaterOrEqual(t, admitted, 40)
}

// Failure: the first request of a customer at an entry is refused, since its token bucket is
// created by this request and starts empty. The bucket must exist since the contract came into
// force.
func TestFirstRequestIsAdmittedAndRefusalIsNotRun(t *testing.T) {
	e := newEntries(t, 3, testAllowance)
	e.offerLoad(2*time.Second, noLoad(3)...)
	require.Nil(t, e.admitters[0].admit(e.req))
	var p *problem.Error
	for p == nil {
		p = e.admitters[0].admit(e.req)
	}
	require.Equal(t, problem.OverLimit, p.Kind)
	require.Equal(t, problem.RanNo, p.Ran)
	require.Positive(t, p.RetryAfter)
}

// Failure: thousands of contracts receive no requests, and refreshing all of them for each
// message of another entry takes a whole core (2.6 s for a renewal of nine entries with 20,000
// such contracts). They must become inactive. The first burst after an hour without requests
// must still get the entry's own part of the contract at once, and then borrow the rest.
func TestIdleContractsBecomeInactive(t *testing.T) {
	e := newEntriesWithIdleContracts(t, 3, testAllowance, 50)
	e.offerLoad(2*time.Second, noLoad(3)...)
	for _, a := range e.admitters {
		require.Empty(t, a.active)
		require.Len(t, a.accounts, 51)
		require.Equal(t, a.ledger.Base(e.clock.now), shares.Whole/3)
	}
	e.clock.now += time.Hour
	e.offerLoad(time.Second, noLoad(3)...)
	burst := 0
	for e.admitters[1].admit(e.req) == nil {
		burst++
	}
	require.Equal(t, 30/3, burst, "the entry's own part of the concurrency is admitted")
	require.Len(t, e.admitters[1].active, 1)
	for range burst {
		e.admitters[1].release(e.req, time.Millisecond)
	}
	e.offerLoad(3*time.Second, 0, 150, 0)
	admitted, _ := e.offerLoad(4*time.Second, 0, 150, 0)
	require.InDelta(t, 600, admitted, 5, "the other entries must lend what they do not use")
	require.Len(t, e.admitters[0].active, 1, "the account must be active at a lender")
	e.offerLoad(time.Minute, noLoad(3)...)
	for _, a := range e.admitters {
		require.Empty(t, a.active)
	}
}

func BenchmarkAdmit(b *testing.B) {
	e := newEntries(b, 9, `{"service": "booth", "rate": 1e9, "burst": 1000000000, "concurrency": 1000}`)
	e.offerLoad(2*time.Second, noLoad(9)...)
	b.ReportAllocs()
	for b.Loop() {
		if e.admitters[0].admit(e.req) == nil {
			e.admitters[0].release(e.req, time.Millisecond)
		}
	}
}

func BenchmarkRenewal(b *testing.B) {
	e := newEntries(b, 9, testAllowance)
	e.offerLoad(2*time.Second, noLoad(9)...)
	b.ReportAllocs()
	for b.Loop() {
		e.renew()
	}
}

// BenchmarkRenewalBesideQuietContracts is BenchmarkRenewal with 20,000 more contracts whose
// customers send no requests.
func BenchmarkRenewalBesideQuietContracts(b *testing.B) {
	e := newEntriesWithIdleContracts(b, 9, testAllowance, 20000)
	e.offerLoad(2*time.Second, noLoad(9)...)
	b.ReportAllocs()
	for b.Loop() {
		e.renew()
	}
}
