package entry

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hemlockquay/internal/capacity"
	"hemlockquay/internal/decide/shares"
	"hemlockquay/internal/journal"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/view"
	"hemlockquay/internal/wire"
)

// newSlopeEntries returns entries with n contracts, of which active have received requests.
func newSlopeEntries(b *testing.B, vms, n, active int) *testEntries {
	e := &testEntries{clock: &fakeClock{now: time.Hour}}
	objects := []platform.Object{{Kind: model.KindService, Name: "booth", Spec: []byte(`{"name": "booth", "slots": 2, "connections": 10,
		"targets": [{"name": "booth-1", "addr": "127.0.0.1:1", "dataCentre": "a"}]}`)}}
	for i := range n {
		objects = append(objects, platform.Object{Kind: model.KindContract, Name: fmt.Sprint("c", i), Version: uint64(i + 1), Spec: fmt.Appendf(nil,
			`{"customer": "c%d", "tokenSHA256": "%064x", "services": [%s]}`, i, i, testAllowance)})
	}
	e.view = view.Build(objects, nil, nil)
	require.Empty(b, e.view.Problems)
	for i := range vms {
		name := fmt.Sprintf("entry-vm-%05d", i)
		e.view.Listed = append(e.view.Listed, wire.Place{VM: name})
		e.admitters = append(e.admitters, newAdmitter(name, 1, 0, e.clock, journal.New(name, processName, 16), metrics.NewRegistry()))
	}
	for range 8 {
		e.clock.now += shares.RenewInterval
		e.renew()
	}
	for _, c := range e.view.Contracts()[:active] {
		req := &parsedRequest{service: e.view.Service("booth"), contract: c, allowance: c.Services[0]}
		require.Nil(b, e.admitters[0].admit(req))
		for range 100 {
			// Most are refused, so that the entry wants more share than its base.
			_ = e.admitters[0].admit(req)
		}
	}
	e.clock.now += shares.RenewInterval
	e.renew()
	return e
}

// exchange delivers one ask of the first entry to the second, and the answer.
func (e *testEntries) exchange() (shares.Ask, shares.Answer) {
	e.seq++
	ask, sentAt := e.admitters[0].newAsk(e.admitters[1].vm, e.seq)
	answer := e.admitters[1].handleAsk(ask)
	e.admitters[0].handleAnswer(ask, answer, sentAt)
	return ask, answer
}

func messageBytes(b *testing.B, messages ...any) float64 {
	var out bytes.Buffer
	enc := msgpack.NewEncoder(&out)
	enc.SetOmitEmpty(true)
	enc.UseCompactInts(true)
	for _, m := range messages {
		require.NoError(b, enc.Encode(m))
	}
	return float64(out.Len())
}

// BenchmarkSlopeShareAccounts measures one exchange between two of nine entries, without a
// network, against the number of active accounts.
func BenchmarkSlopeShareAccounts(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			e := newSlopeEntries(b, 9, n, n)
			ask, answer := e.exchange()
			for b.Loop() {
				e.exchange()
			}
			b.ReportMetric(messageBytes(b, &ask, &answer), "message-B")
		})
	}
}

// BenchmarkSlopeShareEntries measures one exchange against the number of entries.
func BenchmarkSlopeShareEntries(b *testing.B) {
	for _, n := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			e := newSlopeEntries(b, n, 1, 1)
			ask, answer := e.exchange()
			for b.Loop() {
				e.exchange()
			}
			b.ReportMetric(messageBytes(b, &ask, &answer), "message-B")
		})
	}
}

// BenchmarkSlopeAccountPeriod measures the work that an entry does four times a second for n
// contracts in force, and the memory that it keeps for them.
func BenchmarkSlopeAccountPeriod(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			e := newSlopeEntries(b, 1, n, 0)
			kept := capacity.Retained(func() any {
				a := newAdmitter("x", 1, 0, e.clock, journal.New("x", processName, 16), metrics.NewRegistry())
				a.endPeriod(e.view)
				return a
			})
			for b.Loop() {
				e.clock.now += shares.RenewInterval
				e.admitters[0].endPeriod(e.view)
			}
			b.ReportMetric(kept, "heap-B")
		})
	}
}
