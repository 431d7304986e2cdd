package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// consumers send requests. They keep their connections and use them again.
type consumers struct {
	lab  *lab
	mu   sync.Mutex
	idle map[string][]*caller
	wait sync.WaitGroup
	// answers holds the status of each request by its id, 0 if it got no answer.
	answers map[string]int
	sent    int
}

// caller is one connection of a consumer.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
	used time.Time
}

func newConsumers(l *lab) *consumers {
	return &consumers{lab: l, idle: make(map[string][]*caller), answers: make(map[string]int)}
}

// idleMost is how long consumers use an idle connection again: four fifths of IdleTimeoutS.
const idleMost = 12 * time.Second

func (c *consumers) take(addr string) (*caller, error) {
	c.mu.Lock()
	for list := c.idle[addr]; len(list) > 0; list = c.idle[addr] {
		last := list[len(list)-1]
		c.idle[addr] = list[:len(list)-1]
		if time.Since(last.used) < idleMost {
			c.mu.Unlock()
			return last, nil
		}
		_ = last.conn.Close()
	}
	c.mu.Unlock()
	return dial(addr)
}

func dial(addr string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, in: bufio.NewReader(conn)}, nil
}

// request is one attempt of a consumer.
type request struct {
	method, host, path, id string
	key                    int
	limit                  time.Duration
}

// exchange sends a request and returns the status of its answer. It returns an error if there is no complete answer in time.
func (k *caller) exchange(r request) (status int, closing bool, err error) {
	_ = k.conn.SetDeadline(time.Now().Add(r.limit))
	length := ""
	if r.method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	_, err = fmt.Fprintf(k.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Shard-Key: %d\r\n%s\r\n",
		r.method, r.path, r.host, r.id, r.limit.Milliseconds(), r.key, length)
	if err != nil {
		return 0, true, err
	}
	resp, err := http.ReadResponse(k.in, &http.Request{Method: r.method})
	if err != nil {
		return 0, true, err
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, true, err
	}
	return resp.StatusCode, resp.Close, nil
}

// send sends a request in the background.
func (c *consumers) send(addr string, r request) {
	c.mu.Lock()
	c.sent++
	c.mu.Unlock()
	c.wait.Go(func() {
		c.lab.record.printf("sent %s to %s", r.id, addr)
		status, err := c.attempt(addr, r)
		c.lab.record.printf("answered %s: %d %v", r.id, status, err)
		c.mu.Lock()
		c.answers[r.id] = status
		c.mu.Unlock()
	})
}

func (c *consumers) attempt(addr string, r request) (int, error) {
	k, err := c.take(addr)
	if err != nil {
		return 0, err
	}
	status, closing, err := k.exchange(r)
	if err != nil || closing {
		_ = k.conn.Close()
		return status, err
	}
	k.used = time.Now()
	c.mu.Lock()
	c.idle[addr] = append(c.idle[addr], k)
	c.mu.Unlock()
	return status, nil
}

// counts returns the number of requests by the status of their answers.
func (c *consumers) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int]int)
	for _, status := range c.answers {
		out[status]++
	}
	return out
}
