package gateway

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/lease"
	"hemlockquay/internal/route"
)

// playTarget is a target of a play. It says something of itself in its responses and counts what it gets.
type playTarget struct {
	id   string
	draw *rand.Rand

	mu sync.Mutex
	// limit is the limit that it states, or "" for none.
	limit string
	// leaving reports whether its responses say that it leaves. refuses is the share of requests that it refuses, and
	// rest what it asks for in these responses, or "".
	leaving  bool
	refuses  float64
	rest     string
	arrivals []arrival
	// answers are its responses, at the time at which they were sent.
	answers []playAnswer
	// slots is the number of requests that it runs at a time, and room the number from which on it resets connections.
	// Both are 0 for no bound. inFlight are its requests, mostAt is their greatest number, resets those without room.
	slots                          chan struct{}
	room, inFlight, mostAt, resets int
}

// playAnswer is a response of a target. vm is the VM that gets it.
type playAnswer struct {
	at      time.Time
	vm      string
	leaving bool
	refused bool
}

// setSignals sets what the responses of the target signal from now on.
func (l *playTarget) setSignals(leaving bool, refuses float64, rest string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving, l.refuses, l.rest = leaving, refuses, rest
}

// arrival is a request at a target. vm is the VM that sent it.
type arrival struct {
	at time.Time
	vm string
}

// setLimit sets the limit that the target states, or "" for none.
func (l *playTarget) setLimit(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

const (
	limitedWork = 40 * time.Millisecond
	// limitWindow, limitExcess, limitSlack and limitDelay are the users' bound: from limitDelay after the first
	// statement, a target gets no more in any limitWindow than limitExcess times what the limit allows, and
	// limitSlack.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	limitDelay  = 3 * time.Second
)

// serve answers the requests of one connection of a VM.
func (l *playTarget) serve(conn net.Conn, vm string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !l.enter() {
			return
		}
		l.mu.Lock()
		l.arrivals = append(l.arrivals, arrival{time.Now(), vm})
		header := "Id: " + r.Header.Get("Id") + "\r\n"
		if l.limit != "" {
			header += "Limit: " + l.limit + "\r\n"
		}
		status, work := "200 OK", limitedWork
		refused := l.draw.Float64() < l.refuses
		if refused {
			status, work = "503 Full", time.Millisecond
			header += "Not-Run: 1\r\n"
			if l.rest != "" {
				header += "Rest: " + l.rest + "\r\n"
			}
		}
		l.mu.Unlock()
		l.work(work)
		l.mu.Lock()
		if l.leaving {
			header += "Leaving: 1\r\n"
		}
		l.answers = append(l.answers, playAnswer{time.Now(), vm, l.leaving, refused})
		l.mu.Unlock()
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n%s\r\n", status, header); err != nil {
			return
		}
	}
}

// enter begins a request. It returns false if the target has no room for it.
func (l *playTarget) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.room > 0 && l.inFlight >= l.room {
		l.resets++
		return false
	}
	l.inFlight++
	l.mostAt = max(l.mostAt, l.inFlight)
	return true
}

// work runs a request when a slot is free, and ends it.
func (l *playTarget) work(d time.Duration) {
	if l.slots != nil {
		l.slots <- struct{}{}
	}
	time.Sleep(d)
	if l.slots != nil {
		<-l.slots
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// between returns the number of arrivals in [from, to) from VMs that are not excused.
func (l *playTarget) between(from, to time.Time, excused map[string]bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		if !a.at.Before(from) && a.at.Before(to) && !excused[a.vm] {
			n++
		}
	}
	return n
}

// most returns the most arrivals in any limitWindow that begins in [from, to).
func (l *playTarget) most(from, to time.Time, excused map[string]bool) (most int) {
	l.mu.Lock()
	begins := make([]time.Time, 0, len(l.arrivals))
	for _, a := range l.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			begins = append(begins, a.at)
		}
	}
	l.mu.Unlock()
	for _, begin := range begins {
		most = max(most, l.between(begin, begin.Add(limitWindow), excused))
	}
	return most
}

// limitPlay is a play whose VMs get requests for targets that state limits.
type limitPlay struct {
	*play
	targets map[string]*playTarget
	draw    *rand.Rand

	mu sync.Mutex
	// down holds the VMs that get no requests, because they have stopped or are cut off.
	down map[string]bool
	// excused holds the VMs that were stopped or cut at some time.
	excused map[string]bool
	// statuses counts the answers to callers by target service and status.
	statuses map[string]map[int]int
}

// newLimitPlay starts VMs that use an owner of all keys, and a pool of two targets.
func newLimitPlay(t *testing.T, vms int) *limitPlay {
	p := &limitPlay{
		play: newPlay(t, vms), targets: make(map[string]*playTarget), draw: rand.New(rand.NewPCG(1, uint64(vms))),
		down: make(map[string]bool), excused: make(map[string]bool), statuses: make(map[string]map[int]int),
	}
	for _, vm := range p.vms {
		p.prepare(vm)
	}
	for id, service := range map[string]string{"owner": "keyed", "limited": "pool", "free": "pool"} {
		p.targets[id] = &playTarget{id: id, draw: rand.New(rand.NewPCG(3, uint64(len(id))))}
		p.store.put("targets", id, catalog.Target{ID: id, Service: service, Addr: id + ":1", DataCentre: "a", Slots: 50, Born: 1, Revision: p.store.nextRevision()})
	}
	p.store.put("config", "main", route.Config{
		Version: 2,
		Routes: []route.Route{
			{Name: "keyed", Host: "keyed.example", Prefix: "/", Idempotent: true, Timeout: time.Second, MaxTargets: 2, Splits: []route.Split{{Service: "keyed", Weight: 1}}},
			{Name: "urgent", Host: "urgent.example", Prefix: "/", Priority: 0, Timeout: time.Second, MaxTargets: 2, Splits: []route.Split{{Service: "keyed", Weight: 1}}},
			{Name: "later", Host: "later.example", Prefix: "/", Priority: 2, Timeout: time.Second, MaxTargets: 2, Splits: []route.Split{{Service: "keyed", Weight: 1}}},
			{Name: "pool", Host: "pool.example", Prefix: "/", Idempotent: true, Timeout: time.Second, MaxTargets: 2, Splits: []route.Split{{Service: "pool", Weight: 1}}},
		},
		Services: map[string]route.Service{"keyed": {Name: "keyed", Keyed: true}, "pool": {Name: "pool"}},
	})
	time.Sleep(2 * time.Second)
	return p
}

// prepare lets a VM use the targets.
func (p *limitPlay) prepare(vm *playVM) {
	vm.state.setOwner("keyed", 1, 1, "owner", lease.Served)
	go vm.refreshPlaces(vm.ctx)
	vm.joined.Store(true)
	vm.membersListed.Store(true)
	vm.state.setRepeatLimit(testRepeatLimit)
	vm.state.mu.Lock()
	defer vm.state.mu.Unlock()
	vm.state.openConn = func(_ context.Context, addr string) (net.Conn, error) {
		near, far := net.Pipe()
		go p.targets[strings.TrimSuffix(addr, ":1")].serve(far, vm.self.VM)
		return near, nil
	}
}

func (p *limitPlay) stop() {
	p.play.stop()
	for _, vm := range p.vms {
		vm.state.mu.Lock()
		for _, t := range vm.state.targets {
			t.pool.Close()
		}
		vm.state.mu.Unlock()
	}
}

// offer sends requests of a route to VMs drawn evenly, at a mean rate per second, for some time.
func (p *limitPlay) offer(routeName string, perSecond float64, over time.Duration) *sync.WaitGroup {
	var wait sync.WaitGroup
	draw := rand.New(rand.NewPCG(p.draw.Uint64(), 2))
	wait.Go(func() {
		for end := time.Now().Add(over); time.Now().Before(end); time.Sleep(time.Duration(draw.ExpFloat64() / perSecond * float64(time.Second))) {
			vm := p.vms[draw.IntN(len(p.vms))]
			p.mu.Lock()
			down := p.down[vm.self.VM]
			p.mu.Unlock()
			if id := draw.Uint64(); !down {
				wait.Go(func() { p.send(vm, routeName, id) })
			}
		}
	})
	return &wait
}

func (p *limitPlay) send(vm *playVM, routeName string, id uint64) {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.RequestURI, r.Host = "/x", routeName+".example"
	r.Header.Set("Id", strconv.FormatUint(id, 16))
	r.Header.Set("Key", "1")
	w := httptest.NewRecorder()
	vm.ServeHTTP(w, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.statuses[routeName] == nil {
		p.statuses[routeName] = make(map[int]int)
	}
	p.statuses[routeName][w.Code]++
}

// setDown stops or cuts a VM off from the others, or lets it return. What it sends does not count.
func (p *limitPlay) setDown(vm *playVM, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[vm.self.VM] = down
	p.excused[vm.self.VM] = true
	if down {
		p.play.down.Store(vm.self.Addr, true)
	} else {
		p.play.down.Delete(vm.self.Addr)
	}
}

// holder returns the VM that grants the permits of a target while all VMs are live.
func (p *limitPlay) holder(target string) *playVM {
	vm := p.vms[0]
	vm.state.mu.Lock()
	defer vm.state.mu.Unlock()
	first := vm.state.holderOrderLocked(vm.state.targets[target])[0]
	for _, other := range p.vms {
		if other.self.VM == first {
			return other
		}
	}
	return nil
}

// allowed returns what the users' bound allows in any limitWindow.
func allowed(perSecond float64) int {
	return int(limitExcess*perSecond*limitWindow.Seconds() + limitSlack)
}

// Guards against a target that gets its limit once from each VM, or as much as before it stated one.
func TestLimitOfATargetHoldsOverAllVMs(t *testing.T) {
	const perSecond, offered, over = 3.4, 20, 12 * time.Second
	for _, vms := range []int{9, 82} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			inPlay(t, func(t *testing.T) {
				p := newLimitPlay(t, vms)
				defer p.stop()
				stated := time.Now()
				p.targets["owner"].setLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
				p.targets["limited"].setLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
				keyed, pool := p.offer("keyed", offered, over), p.offer("pool", offered, over)
				keyed.Wait()
				pool.Wait()
				for _, id := range []string{"owner", "limited"} {
					from, to := stated.Add(limitDelay), stated.Add(over-limitWindow)
					most := p.targets[id].most(from, to, nil)
					got := p.targets[id].between(from, stated.Add(over), nil)
					t.Log(id, "at most", most, "in", limitWindow, "share of the limit used", float64(got)/perSecond/(over-limitDelay).Seconds())
					require.LessOrEqual(t, most, allowed(perSecond), id)
					require.GreaterOrEqual(t, float64(got), 0.6*perSecond*(over-limitDelay).Seconds(), "%s is used", id)
				}
				require.Equal(t, map[int]int{http.StatusOK: p.statuses["pool"][http.StatusOK]}, p.statuses["pool"], "other targets of the pool serve the rest")
			})
		})
	}
}

// Guards against a bound that is lost with the VM that counts, and against two VMs that both count.
func TestLimitOfATargetHoldsWhileItsHolderStopsAndReturns(t *testing.T) {
	const perSecond, offered, over = 3.4, 20, 20 * time.Second
	inPlay(t, func(t *testing.T) {
		p := newLimitPlay(t, 9)
		defer p.stop()
		stated := time.Now()
		p.targets["owner"].setLimit("3.4")
		requests := p.offer("keyed", offered, over)
		for range 4 {
			time.Sleep(2500 * time.Millisecond)
			holder := p.holder("owner")
			p.setDown(holder, true)
			down := time.Now()
			time.Sleep(2 * time.Second)
			require.NotZero(t, p.targets["owner"].between(down.Add(time.Second), time.Now(), nil), "no VM grants permits in place of the holder")
			p.setDown(holder, false)
		}
		requests.Wait()
		most := p.targets["owner"].most(stated.Add(limitDelay), stated.Add(over-limitWindow), p.excused)
		require.LessOrEqual(t, most, allowed(perSecond))
	})
}

// Guards against a limit that stays in force after the target has ceased to state it.
func TestLimitOfATargetEndsWithItsNeed(t *testing.T) {
	inPlay(t, func(t *testing.T) {
		p := newLimitPlay(t, 9)
		defer p.stop()
		requests := p.offer("keyed", 20, 16*time.Second)
		p.targets["owner"].setLimit("0")
		time.Sleep(8 * time.Second)
		require.LessOrEqual(t, p.targets["owner"].between(time.Now().Add(-limitWindow), time.Now(), nil), allowed(0))
		p.targets["owner"].setLimit("")
		time.Sleep(6 * time.Second)
		require.Greater(t, p.targets["owner"].between(time.Now().Add(-time.Second), time.Now(), nil), 10)
		requests.Wait()
	})
}

// Guards against less urgent requests that take the places of more urgent ones at a target with a limit.
func TestUrgentRequestsGetThePlacesAtATargetWithALimit(t *testing.T) {
	inPlay(t, func(t *testing.T) {
		p := newLimitPlay(t, 9)
		defer p.stop()
		p.targets["owner"].setLimit("3.4")
		urgent, later := p.offer("urgent", 10, 20*time.Second), p.offer("later", 10, 20*time.Second)
		urgent.Wait()
		later.Wait()
		require.Greater(t, p.statuses["urgent"][http.StatusOK], 3*p.statuses["later"][http.StatusOK])
	})
}

// Guards against refused requests that wait, or whose callers all return at the same moment.
func TestRequestWithoutAPermitIsRefusedAtOnceWithAReturnTime(t *testing.T) {
	inPlay(t, func(t *testing.T) {
		p := newLimitPlay(t, 9)
		defer p.stop()
		p.targets["owner"].setLimit("1")
		returns := make(map[string]int)
		for i := range 60 {
			r := httptest.NewRequest(http.MethodGet, "/x", nil)
			r.RequestURI, r.Host = "/x", "keyed.example"
			r.Header.Set("Id", strconv.Itoa(i))
			r.Header.Set("Key", "1")
			w, began := httptest.NewRecorder(), time.Now()
			p.vms[i%9].ServeHTTP(w, r)
			if w.Code == http.StatusOK {
				continue
			}
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Less(t, time.Since(began), 20*time.Millisecond)
			returns[w.Header().Get("Retry-After")]++
		}
		require.Greater(t, len(returns), 20)
	})
}
