package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// chunks sends requests one after the other on connections that are kept and never idle. Their bodies come in chunks. With
// trouble, each connection begins with a few requests that are sent before the first one is answered; without, these are sent
// one after the other, too.
func chunks(l *lab, trouble bool) ([]string, error) {
	const (
		servers, slots = 10, 8
		consumers      = 24
		span           = 88 * time.Second
	)
	l.setConfig(warnings)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%02d", i), service: "straume", slots: slots, queue: 4 * slots, work: 180 * time.Millisecond}
		if err := l.startServer(s); err != nil {
			return nil, err
		}
	}
	if err := l.startGateways(2, 0); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := &chunked{lab: l, trouble: trouble, answers: make(map[int]int)}
	var wait sync.WaitGroup
	until := time.Now().Add(span)
	for i := range consumers {
		wait.Go(func() {
			time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
			for time.Now().Before(until) {
				c.connection(l.gateways[i%2].front, until)
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	ran := make(map[string]bool)
	for _, s := range l.servers {
		s.mu.Lock()
		for id := range s.ran {
			ran[id] = true
		}
		s.mu.Unlock()
	}
	var broken []string
	for _, id := range c.cut {
		if ran[id] {
			broken = append(broken, fmt.Sprintf("LOST: %s, on a kept connection, was run by a server, and its connection was closed without an answer", id))
		}
	}
	l.record.printf("answers by status %v, closed without an answer %d, of them run %d", c.answers, len(c.cut), len(broken))
	fmt.Println("answers by status", c.answers, "closed without an answer", len(c.cut), "of them run", len(broken))
	if len(broken) <= 3 {
		return nil, nil
	}
	return broken, nil
}

type chunked struct {
	lab     *lab
	trouble bool
	mu      sync.Mutex
	answers map[int]int
	// cut holds the requests whose connection was closed without an answer, before their time limit.
	cut []string
}

// connection uses one connection until it ends.
func (c *chunked) connection(addr string, until time.Time) {
	k, err := dial(addr)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer k.conn.Close()
	opened := time.Now()
	if !c.begin(k) {
		return
	}
	for time.Now().Before(until) {
		id := fmt.Sprintf("%016x", rand.Uint64())
		c.lab.record.printf("sent %s on a connection that is open for %.1f s", id, time.Since(opened).Seconds())
		_ = k.conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := fmt.Fprintf(k.conn, "POST /warn/a HTTP/1.1\r\nHost: basin.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nflood\r\n0\r\n\r\n", id)
		if err != nil {
			return
		}
		if !c.read(k, id) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// begin sends three requests without a body.
func (c *chunked) begin(k *caller) bool {
	_ = k.conn.SetDeadline(time.Now().Add(3 * time.Second))
	var ids []string
	var text strings.Builder
	for range 3 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET /gauge/b HTTP/1.1\r\nHost: basin.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", id)
		if c.trouble {
			continue
		}
		if _, err := io.WriteString(k.conn, text.String()); err != nil || !c.read(k, id) {
			return false
		}
		text.Reset()
	}
	if !c.trouble {
		return true
	}
	c.lab.record.printf("sent %s before the first one was answered", strings.Join(ids, " "))
	if _, err := io.WriteString(k.conn, text.String()); err != nil {
		return false
	}
	for _, id := range ids {
		if !c.read(k, id) {
			return false
		}
	}
	return true
}

// read reads the answer to a request. It returns false if the connection is of no more use.
func (c *chunked) read(k *caller, id string) bool {
	resp, err := http.ReadResponse(k.in, &http.Request{Method: http.MethodGet})
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		c.lab.record.printf("no answer to %s: %v", id, err)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cut = append(c.cut, id)
		return false
	}
	c.lab.record.printf("answered %s: %d", id, resp.StatusCode)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[resp.StatusCode]++
	return !resp.Close
}
