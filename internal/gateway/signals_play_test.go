package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The users' bounds. A VM that has passed on a response which says that its target leaves sends it nothing later than
// leavingBound after that. A VM that was asked for a rest sends no more than restAllowed requests between restBegins
// after that and the end of the rest.
const (
	leavingBound = 2 * time.Second
	restBegins   = 500 * time.Millisecond
	restAllowed  = 2
)

// latestAfterLeaving returns how long after the first response that says so the last request of any VM arrived, and
// the number of VMs that were told.
func (l *playTarget) latestAfterLeaving() (latest time.Duration, told int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := make(map[string]time.Time)
	for _, a := range l.answers {
		if _, known := first[a.vm]; a.leaving && !known {
			first[a.vm] = a.at
		}
	}
	for _, a := range l.arrivals {
		if at, known := first[a.vm]; known {
			latest = max(latest, a.at.Sub(at))
		}
	}
	return latest, len(first)
}

// mostWhileResting returns the most requests of one VM in the time in which the target has asked it for none.
func (l *playTarget) mostWhileResting(rest time.Duration) (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.answers {
		if !a.refused {
			continue
		}
		n := 0
		for _, b := range l.arrivals {
			if since := b.at.Sub(a.at); b.vm == a.vm && since >= restBegins && since < rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against requests to a target that has said in its responses that it leaves, while the store does not answer.
func TestLeavingTargetGetsNoRequestsAfterItHasSaidSo(t *testing.T) {
	for _, vms := range []int{9, 82} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			inPlay(t, func(t *testing.T) {
				p := newLimitPlay(t, vms)
				defer p.stop()
				for _, vm := range p.vms {
					vm.silent.Store(true)
				}
				keyed, pool := p.offer("keyed", 30, 8*time.Second), p.offer("pool", 30, 8*time.Second)
				time.Sleep(time.Second)
				p.targets["owner"].setSignals(true, 0, "")
				p.targets["limited"].setSignals(true, 0, "")
				keyed.Wait()
				pool.Wait()
				for _, id := range []string{"owner", "limited"} {
					latest, told := p.targets[id].latestAfterLeaving()
					t.Log(id, "told", told, "VMs, the last request came", latest, "after that")
					require.NotZero(t, told)
					require.LessOrEqual(t, latest, leavingBound, id)
				}
				require.Equal(t, map[int]int{http.StatusOK: p.statuses["pool"][http.StatusOK]}, p.statuses["pool"], "the other target of the pool serves the rest")
			})
		})
	}
}

// Guards against requests to a target in the time in which it has asked the VM for none.
func TestTargetGetsNoRequestsWhileItRests(t *testing.T) {
	const rest = 3 * time.Second
	for _, vms := range []int{9, 82} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			inPlay(t, func(t *testing.T) {
				p := newLimitPlay(t, vms)
				defer p.stop()
				keyed, pool := p.offer("keyed", 30, 12*time.Second), p.offer("pool", 30, 12*time.Second)
				time.Sleep(time.Second)
				p.targets["owner"].setSignals(false, 1, rest.String())
				p.targets["limited"].setSignals(false, 0.5, rest.String())
				time.Sleep(6 * time.Second)
				p.targets["owner"].setSignals(false, 0, "")
				keyed.Wait()
				pool.Wait()
				for _, id := range []string{"owner", "limited"} {
					most := p.targets[id].mostWhileResting(rest)
					t.Log(id, "got at most", most, "requests of one VM while it rested")
					require.LessOrEqual(t, most, restAllowed, id)
				}
				require.NotZero(t, p.targets["owner"].between(time.Now().Add(-time.Second), time.Now(), nil), "the owner serves again")
			})
		})
	}
}

// Guards against an owner that refuses all requests and gets several times as many as before.
func TestOwnerThatRefusesEverythingGetsNoMoreThanBefore(t *testing.T) {
	const offered, before, over = 30, 3 * time.Second, 6 * time.Second
	inPlay(t, func(t *testing.T) {
		p := newLimitPlay(t, 9)
		defer p.stop()
		requests := p.offer("keyed", offered, before+over)
		time.Sleep(before)
		usual := p.targets["owner"].between(time.Now().Add(-before), time.Now(), nil)
		p.targets["owner"].setSignals(false, 1, "")
		began := time.Now()
		requests.Wait()
		first, all := p.targets["owner"].between(began, began.Add(time.Second), nil), p.targets["owner"].between(began, began.Add(over), nil)
		t.Log("requests a second: usual", float64(usual)/before.Seconds(), "first second of refusals", first, "all", float64(all)/over.Seconds())
		require.LessOrEqual(t, float64(first), 1.2*offered)
		require.LessOrEqual(t, float64(all)/over.Seconds(), offered/2.0)
	})
}
