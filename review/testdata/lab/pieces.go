package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// warnings is a configuration with a route whose requests may run once and one whose requests may be repeated, to a service
// without keys.
const warnings = `{"Version":"00000007","Routes":{"warn-issue":{"Host":"basin.example","PathPrefix":"/warn/","Kind":"non_idempotent","TimeoutS":5.0,"SloS":1.0,"Priority":1,"Service":"straume","MaxAttempts":2},"gauge-read":{"Host":"basin.example","PathPrefix":"/gauge/","Kind":"idempotent","TimeoutS":5.0,"SloS":0.8,"Priority":1,"Service":"straume","MaxAttempts":2}},
"Services":{"straume":{"HealthPath":"/health","MaxConns":520,"Protocol":"h1","Tls":false}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// pieces sends requests in threes on connections that are kept: one that may run once, and two that may be repeated, the last
// of which has a body. With trouble, the further two are sent before the first one is answered, and the body arrives in pieces;
// without, each is sent when the one before is answered.
func pieces(l *lab, trouble bool) ([]string, error) {
	const (
		servers, slots = 12, 16
		consumers      = 24
		span           = 20 * time.Second
	)
	l.setConfig(warnings)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%02d", i), service: "straume", slots: slots, queue: 4 * slots, work: 20 * time.Millisecond}
		if err := l.startServer(s); err != nil {
			return nil, err
		}
	}
	if err := l.startGateways(1, 0); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	p := &piecewise{lab: l, trouble: trouble, answers: make(map[int]int)}
	until := time.Now().Add(span)
	for range consumers {
		wait.Go(func() {
			for time.Now().Before(until) {
				p.connection(until)
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	l.record.printf("answers by status %v, without an answer %d", p.answers, p.lost)
	fmt.Println("answers by status", p.answers, "without an answer", p.lost)
	broken := append(p.broken, p.judgeServers()...)
	rules := make(map[string]int)
	for _, b := range broken {
		rule, _, _ := strings.Cut(b, ":")
		rules[rule]++
	}
	l.record.printf("findings by rule %v", rules)
	fmt.Println("findings by rule", rules)
	return broken, nil
}

type piecewise struct {
	lab     *lab
	trouble bool
	mu      sync.Mutex
	answers map[int]int
	lost    int
	broken  []string
	// sent holds the requests by id, as they were sent.
	sent sync.Map
}

// sentRequest is a request of a consumer.
type sentRequest struct{ method, path, body string }

func (p *piecewise) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.lab.record.printf("finding %s", text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, text)
}

// connection sends triples of requests on one connection until it ends.
func (p *piecewise) connection(until time.Time) {
	k, err := dial(p.lab.gateways[0].front)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer k.conn.Close()
	for time.Now().Before(until) {
		if !p.triple(k) {
			return
		}
	}
}

func (p *piecewise) triple(k *caller) bool {
	ids := []string{fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", rand.Uint64())}
	body := strings.Repeat(ids[2], 1+rand.IntN(800))
	p.sent.Store(ids[0], sentRequest{http.MethodGet, "/warn/a", ""})
	p.sent.Store(ids[1], sentRequest{http.MethodGet, "/gauge/b", ""})
	p.sent.Store(ids[2], sentRequest{http.MethodPost, "/gauge/c", body})
	p.lab.record.printf("sent %s", strings.Join(ids, " "))
	_ = k.conn.SetDeadline(time.Now().Add(5 * time.Second))
	first := fmt.Sprintf("GET /warn/a HTTP/1.1\r\nHost: basin.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", ids[0])
	second := fmt.Sprintf("GET /gauge/b HTTP/1.1\r\nHost: basin.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", ids[1])
	third := fmt.Sprintf("POST /gauge/c HTTP/1.1\r\nHost: basin.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", ids[2], len(body), body)
	if !p.trouble {
		for i, text := range []string{first, second, third} {
			if _, err := io.WriteString(k.conn, text); err != nil {
				return false
			}
			if !p.read(k, ids[i], i) {
				return false
			}
		}
		return true
	}
	if _, err := io.WriteString(k.conn, first+second); err != nil {
		return false
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(time.Duration(rand.IntN(15)) * time.Millisecond)
		rest := []byte(third)
		for len(rest) > 0 {
			n := min(len(rest), 100+rand.IntN(400))
			if _, err := k.conn.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
			time.Sleep(time.Duration(50+rand.IntN(400)) * time.Microsecond)
		}
	}()
	defer func() { <-done }()
	for i, id := range ids {
		if !p.read(k, id, i) {
			_ = k.conn.Close()
			return false
		}
	}
	return true
}

// read reads the answer to a request, the at-th of a triple. It returns false if the connection is of no more use.
func (p *piecewise) read(k *caller, id string, at int) bool {
	resp, err := http.ReadResponse(k.in, &http.Request{Method: http.MethodGet})
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		p.lab.record.printf("no answer to %s, number %d: %v", id, at, err)
		p.mu.Lock()
		p.lost++
		p.mu.Unlock()
		return false
	}
	got := resp.Header.Get("X-Request-Id")
	p.lab.record.printf("answered %s: %d, of request %s", id, resp.StatusCode, got)
	p.mu.Lock()
	p.answers[resp.StatusCode]++
	p.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusOK && (got != id || !bytes.HasSuffix(text, []byte(" "+id))):
		p.breaks("MIXED: the answer to %s, number %d, belongs to request %s", id, at, got)
		return false
	case resp.StatusCode == http.StatusBadRequest:
		p.breaks("DENIED: %s, number %d, is answered 400 %q", id, at, strings.TrimSpace(string(text)))
		return false
	}
	return !resp.Close
}

// judgeServers returns the requests that servers ran with other bytes than were sent, or twice.
func (p *piecewise) judgeServers() (out []string) {
	once := make(map[string]int)
	for _, s := range p.lab.servers {
		s.mu.Lock()
		for _, r := range s.seen {
			if strings.HasPrefix(r.path, "/warn/") {
				once[r.id]++
			}
			sent, known := p.sent.Load(r.id)
			switch want, _ := sent.(sentRequest); {
			case !known:
				out = append(out, fmt.Sprintf("UNASKED: %s ran %s %s with the id %q, which nobody sent", s.id, r.method, r.path, r.id))
			case want.method != r.method || want.path != r.path || want.body != r.body:
				out = append(out, fmt.Sprintf("UNASKED: %s ran %s as %s %s with %d bytes of body, sent was %s %s with %d", s.id, r.id, r.method, r.path, len(r.body), want.method, want.path, len(want.body)))
			}
		}
		s.mu.Unlock()
	}
	for id, n := range once {
		if n > 1 {
			out = append(out, fmt.Sprintf("TWICE: %s, which may run once, ran %d times", id, n))
		}
	}
	return out
}
