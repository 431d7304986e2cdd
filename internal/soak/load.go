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

// one sends a request: even ones to the route with keys, odd ones to the route that is not
// idempotent. All are POST, which the client's library does not send again by itself.
func (l *load) one(n, key int) {
	host, path, once := fleet.KeyedHost, fleet.KeyedPath, n%2 == 1
	if once {
		host, path = fleet.PoolHost, fleet.PoolPath
	}
	id := fmt.Sprintf("soak-%d", n)
	path += strconv.Itoa(n)
	v := l.vms[n/2%len(l.vms)]
	process, current, sent := v.staying(), v.current(), time.Now()
	l.check.Asked(id, once)
	r, err := http.NewRequest(http.MethodPost, "http://"+v.front+path, http.NoBody)
	if err != nil {
		l.check.Lost()
		return
	}
	r.Host = host
	r.Header.Set(fleet.Headers.RequestID, id)
	r.Header.Set(fleet.Headers.DeadlineMs, strconv.FormatInt(l.profile.Deadline.Milliseconds(), 10))
	if !once {
		r.Header.Set(fleet.Headers.Key, strconv.Itoa(key))
	}
	resp, err := l.client.Do(r)
	if err != nil {
		l.check.Lost()
		if _, stops := v.stopping(current); stops && !os.IsTimeout(err) {
			l.check.Cut(id, v.name)
		}
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch code := resp.StatusCode; {
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		l.check.Refused(id, code)
	case code/100 != 2:
		l.check.Failed()
		if at, stops := v.stopping(current); stops && l.profile.SoundLinks && code == http.StatusBadGateway && sent.Sub(at) > v.grace/2 {
			l.check.GivenUp(id, v.name, sent.Sub(at))
		}
	case err != nil && (os.IsTimeout(err) || process == nil || process != v.staying()):
		// The VM is suspended or its process has ended: the caller sees that the body is short.
		l.check.Lost()
	default:
		l.check.Answered(id, string(body), fleet.Body(resp.Header.Get(fleet.Headers.Stamp), path, bodyBytes))
	}
}
