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

// load sends requests to all VMs in turn at planned times, over connections that are kept
// until the process is gone, also while a VM says that it leaves.
type load struct {
	profile Profile
	vms     []*vm
	client  *http.Client
	check   *Checker
	keys    *rand.Rand
}

func newLoad(w *world, seed uint64, check *Checker) *load {
	l := &load{
		// A caller's own connections: the default ones are kept too few.
		client:  &http.Client{Timeout: w.profile.Patience, Transport: &http.Transport{MaxIdleConnsPerHost: w.profile.Rate}},
		profile: w.profile,
		check:   check, keys: rand.New(rand.NewPCG(seed, loadStream)),
	}
	for _, name := range vmNames() {
		l.vms = append(l.vms, w.vms[name])
	}
	return l
}

// run sends requests until the context ends, and waits for their answers.
func (l *load) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	begin := time.Now()
	for n := 0; pause.For(ctx, time.Until(begin.Add(time.Duration(n)*time.Second/time.Duration(l.profile.Rate)))); n++ {
		key := l.keys.IntN(keys)
		wait.Go(func() { l.one(n, key) })
	}
}

// sending is one request to a VM.
type sending struct {
	id, path string
	vm       *vm
	at       time.Time
	// staying is the VM's process then if it was not to end, current its process in any case.
	staying, current *process
}

// one sends a request: even ones to the route with keys, odd ones to the route that is not
// idempotent. All are POST, which the client's library does not send again by itself.
func (l *load) one(n, key int) {
	host, path, once := fleet.KeyedHost, fleet.KeyedPath, n%2 == 1
	if once {
		host, path = fleet.PoolHost, fleet.PoolPath
	}
	v := l.vms[n/2%len(l.vms)]
	s := &sending{
		id: fmt.Sprintf("soak-%d", n), path: path + strconv.Itoa(n),
		vm: v, at: time.Now(), staying: v.staying(), current: v.current(),
	}
	l.check.Asked(s.id, once)
	r, err := http.NewRequest(http.MethodPost, "http://"+v.front+s.path, http.NoBody)
	if err != nil {
		l.check.Lost()
		return
	}
	r.Host = host
	r.Header.Set(fleet.Headers.RequestID, s.id)
	r.Header.Set(fleet.Headers.DeadlineMs, strconv.FormatInt(l.profile.Deadline.Milliseconds(), 10))
	if !once {
		r.Header.Set(fleet.Headers.Key, strconv.Itoa(key))
	}
	resp, err := l.client.Do(r)
	if err != nil {
		l.unanswered(s, err)
		return
	}
	defer resp.Body.Close()
	l.answered(s, resp)
}

// unanswered judges a connection that ended without an answer.
func (l *load) unanswered(s *sending, err error) {
	l.check.Lost()
	if _, stops := s.vm.stopping(s.current); stops && !os.IsTimeout(err) {
		l.check.Cut(s.id, s.vm.name)
	}
}

// answered judges an answer.
func (l *load) answered(s *sending, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	switch code := resp.StatusCode; {
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		l.check.Refused(s.id, code)
	case code/100 != 2:
		l.check.Failed()
		if code == http.StatusBadGateway {
			l.givenUp(s)
		}
	case err != nil && (os.IsTimeout(err) || s.staying == nil || s.staying != s.vm.staying()):
		// The VM is suspended or its process has ended: the caller sees that the body is short.
		l.check.Lost()
	default:
		l.check.Answered(s.id, string(body), fleet.Body(resp.Header.Get(fleet.Headers.Stamp), s.path, bodyBytes))
	}
}

// givenUp judges an answer that promises nothing, of a VM that took the request in the second
// half of its grace.
func (l *load) givenUp(s *sending) {
	stoppedAt, stops := s.vm.stopping(s.current)
	after := s.at.Sub(stoppedAt)
	if stops && l.profile.SoundLinks && after > s.vm.grace/2 {
		l.check.GivenUp(s.id, s.vm.name, after)
	}
}
