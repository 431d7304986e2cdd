package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
	"hemlockquay/internal/wire"
)

// exchangeBetween delivers one ask and, unless it is lost, its answer.
func (e *testEntries) exchangeBetween(from, to *admitter, answerLost bool) {
	e.seq++
	ask, sentAt := from.newAsk(to.vm, e.seq)
	if answer := to.handleAsk(ask); !answerLost {
		from.handleAnswer(ask, answer, sentAt)
	}
}

// Failure: an account becomes active and inactive at different entries while messages are lost,
// renewals are late and a VM joins. An entry lends share of an inactive account without updating
// its gate, which then admits requests on the same share as the borrower, so that all entries
// together exceed the contract.
func TestInactiveAccountsDoNotExceedTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEntriesWithIdleContracts(t, 4, testAllowance, 2)
		joining := e.admitters[3]
		all, listed := e.admitters, e.view.Listed
		e.admitters, e.view.Listed = all[:3], listed[:3]
		e.offerLoad(2*time.Second, noLoad(3)...)
		var admitted []time.Duration
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			a := e.admitters[rapid.IntRange(0, len(e.admitters)-1).Draw(t, "entry")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				for range rapid.IntRange(1, 60).Draw(t, "offered") {
					if a.admit(e.req) == nil {
						admitted = append(admitted, e.clock.now)
						a.release(e.req, time.Millisecond)
					}
				}
			case 3, 4, 5:
				if peer := e.admitters[rapid.IntRange(0, len(e.admitters)-1).Draw(t, "peer")]; peer != a {
					e.exchangeBetween(a, peer, rapid.Bool().Draw(t, "lost"))
				}
			case 6, 7:
				a.endPeriod(e.view)
			case 8:
				e.clock.now += time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond
			case 9:
				e.clock.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
				if len(e.admitters) == 3 && rapid.IntRange(0, 9).Draw(t, "joins") == 0 {
					e.admitters, e.view.Listed = append(e.admitters[:3:3], joining), append([]wire.Place{}, listed...)
				}
			}
		}
		for i, first := range admitted {
			for j := i; j < len(admitted); j++ {
				window := (admitted[j] - first).Seconds()
				require.LessOrEqual(t, float64(j-i+1), 40+200*window+0.01, "admitted in %v s", window)
			}
		}
	})
}
