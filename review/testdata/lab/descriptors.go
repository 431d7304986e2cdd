package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// notes is a configuration with one route, whose requests may be repeated, to a service without keys.
const notes = `{"Version":"00000007","Routes":{"changelog-fetch":{"Host":"notes.example","PathPrefix":"/notes/","Kind":"idempotent","TimeoutS":1.0,"SloS":0.15,"Priority":1,"Service":"notesvc","MaxAttempts":2}},
"Services":{"notesvc":{"HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// descriptors sends the traffic of a deployment over new connections, which consumers keep for idleMost, while all machines
// but one are lost. Each process has the descriptors that a machine has. Afterwards it opens a few new connections.
func descriptors(l *lab, trouble bool) ([]string, error) {
	const (
		gateways, servers, slots = 8, 10, 3
		maxFDs                   = 4100
		perSecond                = 415.0
		calm, pressed, settled   = 4 * time.Second, 18 * time.Second, 8 * time.Second
		probing, probers         = 6 * time.Second, 10
	)
	l.setConfig(notes)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%02d", i), service: "notesvc", slots: slots, queue: 12, work: 36 * time.Millisecond}
		if err := l.startServer(s); err != nil {
			return nil, err
		}
	}
	if err := l.startGateways(gateways, maxFDs); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	v := newRotation(l)
	c := newConsumers(l)
	began, number, lost := time.Now(), 0, false
	for now := began; now.Sub(began) < calm+pressed; now = time.Now() {
		if trouble && !lost && now.Sub(began) >= calm {
			lost = true
			l.record.printf("all machines but %s are lost", l.gateways[0].name)
			for _, g := range l.gateways[1:] {
				g.kill()
			}
		}
		number++
		c.sendFresh(v.choose(), request{
			method: http.MethodGet, host: "notes.example", path: "/notes/" + strconv.Itoa(number), id: fmt.Sprintf("%016x", rand.Uint64()), limit: time.Second,
		})
		time.Sleep(time.Until(began.Add(time.Duration(float64(number) / perSecond * float64(time.Second)))))
	}
	c.wait.Wait()
	survivor := l.gateways[0]
	l.record.printf("descriptors of %s: %d", survivor.name, descriptorsOf(survivor))
	fmt.Println("requests", c.sent, "answers by status", c.counts(), "descriptors of the survivor", descriptorsOf(survivor))
	c.leave()
	l.record.printf("the consumers have left")
	time.Sleep(settled)
	l.record.printf("descriptors of %s: %d", survivor.name, descriptorsOf(survivor))

	var mu sync.Mutex
	var wait sync.WaitGroup
	answered, ready, asked := 0, 0, 0
	for i := range probers {
		wait.Go(func() {
			for n, until := 0, time.Now().Add(probing); time.Now().Before(until); n++ {
				r := request{method: http.MethodGet, host: "notes.example", path: "/notes/late", id: fmt.Sprintf("late-%02d-%02d", i, n), limit: time.Second}
				l.record.printf("new connection, sent %s to %s", r.id, survivor.name)
				status, err := probe(survivor.front, r)
				l.record.printf("answered %s: %d %v", r.id, status, err)
				mu.Lock()
				if status != 0 {
					answered++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for until := time.Now().Add(probing); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		asked++
		if survivor.isReady() {
			ready++
		}
	}
	wait.Wait()
	l.record.printf("of %d consumers over %v, answers %d; ready %d of %d times; running %t", probers, probing, answered, ready, asked, survivor.running())
	fmt.Println("after the load: answers", answered, "ready", ready, "of", asked, "running", survivor.running())
	for _, line := range strings.Split(l.log(survivor), "\n") {
		if strings.Contains(line, "too many open files") && strings.Contains(strings.ToLower(line), "accept") {
			l.record.printf("log of %s: %s", survivor.name, line)
			break
		}
	}
	if answered == 0 && ready == asked && survivor.running() {
		return []string{fmt.Sprintf("RECOVER: %s says that it is ready and took no new connection for %v, while %d consumers tried", survivor.name, probing, probers)}, nil
	}
	return nil, nil
}

func probe(addr string, r request) (int, error) {
	k, err := dial(addr)
	if err != nil {
		return 0, err
	}
	defer k.conn.Close()
	status, _, err := k.exchange(r)
	return status, err
}

// sendFresh sends a request on a new connection, which its consumer keeps.
func (c *consumers) sendFresh(addr string, r request) {
	c.mu.Lock()
	c.sent++
	c.mu.Unlock()
	c.wait.Go(func() {
		c.lab.record.printf("sent %s to %s", r.id, addr)
		status := 0
		k, err := dial(addr)
		if err == nil {
			closing := false
			if status, closing, err = k.exchange(r); err != nil || closing {
				_ = k.conn.Close()
			} else {
				c.keep(addr, k)
			}
		}
		c.lab.record.printf("answered %s: %d %v", r.id, status, err)
		c.mu.Lock()
		c.answers[r.id] = status
		c.mu.Unlock()
	})
}

// keep keeps a connection until it has been idle for idleMost.
func (c *consumers) keep(addr string, k *caller) {
	c.mu.Lock()
	c.idle[addr] = append(c.idle[addr], k)
	c.mu.Unlock()
	time.AfterFunc(idleMost, func() { _ = k.conn.Close() })
}

// leave closes all connections of the consumers.
func (c *consumers) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, k := range list {
			_ = k.conn.Close()
		}
	}
	clear(c.idle)
}

// rotation is the platform's choice of machines: two misses in a row take one out.
type rotation struct {
	mu sync.Mutex
	in []*gateway
}

func newRotation(l *lab) *rotation {
	v := &rotation{in: l.gateways}
	misses := make(map[*gateway]int)
	l.wait.Go(func() {
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(time.Second):
			}
			var in []*gateway
			for _, g := range l.gateways {
				if misses[g]++; g.isReady() {
					misses[g] = 0
				}
				if misses[g] < 2 {
					in = append(in, g)
				}
			}
			if len(in) == 0 {
				in = l.gateways
			}
			v.mu.Lock()
			v.in = in
			v.mu.Unlock()
		}
	})
	return v
}

func (v *rotation) choose() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.in[rand.IntN(len(v.in))].front
}

// descriptorsOf returns the number of open descriptors of a gateway.
func descriptorsOf(g *gateway) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}
