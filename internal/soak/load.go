package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"hemlockquay/internal/pause"
	"hemlockquay/internal/standin/fleet"
)

// load sends requests to all VMs in turn at planned times. It reuses connections until the process
// has exited, also while a VM is shutting down.
type load struct {
	profile Profile
	vms     []*vm
	client  *http.Client
	check   *Checker
	random  *rand.Rand

	// begin is the start of traffic.
	begin time.Time

	mu      sync.Mutex
	samples []sample
}

func newLoad(w *site, seed uint64, check *Checker) *load {
	l := &load{
		// The default transport keeps too few idle connections per host for the rate.
		client:  &http.Client{Timeout: w.profile.CallerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: w.profile.Rate}},
		profile: w.profile,
		check:   check, random: rand.New(rand.NewPCG(seed, loadStream)),
	}
	for _, name := range w.profile.vmNames() {
		l.vms = append(l.vms, w.vms[name])
	}
	return l
}

// run sends requests until the context ends, and waits for their answers.
func (l *load) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	l.begin = time.Now()
	for n := 0; pause.For(ctx, time.Until(l.begin.Add(time.Duration(n)*time.Second/time.Duration(l.profile.Rate)))); n++ {
		key := l.random.IntN(keys)
		wait.Go(func() { l.send(n, key) })
	}
}

// sentRequest is one request that was sent to a VM.
type sentRequest struct {
	id, path string
	vm       *vm
	at       time.Time
	// running and latest are the results of vm.running and vm.latest when the request was sent.
	running, latest *process
}

// send sends a request: even ones to the keyed route, odd ones to the non-idempotent route. All are
// POST, which net/http does not retry by itself.
func (l *load) send(n, key int) {
	host, path, once := fleet.KeyedHost, fleet.KeyedPath, n%2 == 1
	if once {
		host, path = fleet.PoolHost, fleet.PoolPath
	}
	v := l.vms[n/2%len(l.vms)]
	s := &sentRequest{
		id: fmt.Sprintf("soak-%d", n), path: path + strconv.Itoa(n),
		vm: v, at: time.Now(), running: v.running(), latest: v.latest(),
	}
	l.check.RequestSent(s.id, once)
	r, err := http.NewRequest(http.MethodPost, "http://"+v.requestAddr+s.path, http.NoBody)
	if err != nil {
		l.check.RequestLost()
		return
	}
	r.Host = host
	r.Header.Set(fleet.Headers.RequestID, s.id)
	r.Header.Set(fleet.Headers.DeadlineMs, strconv.FormatInt(l.profile.Deadline.Milliseconds(), 10))
	if !once {
		r.Header.Set(fleet.Headers.Key, strconv.Itoa(key))
	}
	served := false
	defer func() { l.record(s, !once, served) }()
	resp, err := l.client.Do(r)
	if err != nil {
		l.handleError(s, err)
		return
	}
	defer resp.Body.Close()
	served = resp.StatusCode/100 == 2
	l.handleResponse(s, resp)
}

// record keeps the outcome of a request.
func (l *load) record(s *sentRequest, keyed, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample{at: s.at.Sub(l.begin), vm: s.vm.name, keyed: keyed, served: served})
}

// handleError records a request that ended without an answer.
func (l *load) handleError(s *sentRequest, err error) {
	l.check.RequestLost()
	if _, stops := s.vm.shutdownStart(s.latest); stops && !os.IsTimeout(err) {
		l.check.ConnectionClosed(s.id, s.vm.name)
	}
}

// handleResponse records an answer.
func (l *load) handleResponse(s *sentRequest, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	switch code := resp.StatusCode; {
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		l.check.RequestRefused(s.id, code)
	case code/100 != 2:
		l.check.RequestFailed()
		if code == http.StatusBadGateway {
			l.checkAborted(s)
		}
	case err != nil && (os.IsTimeout(err) || s.running == nil || s.running != s.vm.running()):
		// The VM is suspended or its process was told to end, and the caller can tell that the body is
		// truncated.
		l.check.RequestLost()
	default:
		l.check.RequestAnswered(s.id, string(body), fleet.Body(resp.Header.Get(fleet.Headers.Stamp), s.path, bodyBytes))
	}
}

// checkAborted records a 502, which leaves open whether the request ran, if the VM accepted the request
// in the second half of its grace period.
func (l *load) checkAborted(s *sentRequest) {
	stoppedAt, stops := s.vm.shutdownStart(s.latest)
	after := s.at.Sub(stoppedAt)
	if stops && l.profile.ReliableLinks && after > s.vm.grace/2 {
		l.check.RequestAborted(s.id, s.vm.name, after)
	}
}
