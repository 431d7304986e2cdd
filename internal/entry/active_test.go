package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
	"hemlockquay/internal/wire"
)

// gossip carries one ask and, unless it is lost, its answer.
func (e *entries) gossip(from, to *admitter, lost bool) {
	e.seq++
	ask, asked := from.ask(to.vm, e.seq)
	if answer := to.receive(ask); !lost {
		from.take(ask, answer, asked)
	}
}

// A customer's account is quiet at some entries and in use at others by turns, while
// messages are lost, renewals are late and a VM joins. A gate that was not notified of a
// share lent away while nobody called would admit on it, beside its borrower: over all
// entries the customer would pass its contract.
func TestQuietAccountsKeepTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEntriesBeside(t, 4, narrators, 2)
		late := e.all[3]
		all, listed := e.all, e.view.Listed
		e.all, e.view.Listed = all[:3], listed[:3]
		e.offer(2*time.Second, idle(3)...)
		var admitted []time.Duration
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			a := e.all[rapid.IntRange(0, len(e.all)-1).Draw(t, "entry")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				for range rapid.IntRange(1, 60).Draw(t, "offered") {
					if a.admit(e.req) == nil {
						admitted = append(admitted, e.clock.now)
						a.release(e.req, time.Millisecond)
					}
				}
			case 3, 4, 5:
				if peer := e.all[rapid.IntRange(0, len(e.all)-1).Draw(t, "peer")]; peer != a {
					e.gossip(a, peer, rapid.Bool().Draw(t, "lost"))
				}
			case 6, 7:
				a.period(e.view)
			case 8:
				e.clock.now += time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond
			case 9:
				e.clock.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
				if len(e.all) == 3 && rapid.IntRange(0, 9).Draw(t, "joins") == 0 {
					e.all, e.view.Listed = append(e.all[:3:3], late), append([]wire.Place{}, listed...)
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
