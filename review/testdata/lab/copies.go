package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// reservations is a configuration with one route, whose requests may run once, to a service that is divided by key.
const reservations = `{"Version":"00000007","Routes":{"reserve":{"Host":"rooms.example","PathPrefix":"/reserve/","Kind":"non_idempotent","TimeoutS":0.8,"SloS":0.4,"Priority":1,"Service":"matchdesk","MaxAttempts":2}},
"Services":{"matchdesk":{"HealthPath":"/health","MaxConns":120,"Protocol":"h1","Tls":false,"Sharded":true,"WarmS":5.0,"Grants":"call"}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// copies sends requests that may run once while the servers of the service reject a part of the requests, and some of them
// send a second copy of some of their answers, which arrives where the answer to the next request is expected.
func copies(l *lab, trouble bool) ([]string, error) {
	const (
		gateways, servers, slots = 3, 12, 6
		perSecond                = 243.0
		shed, copied, share      = 0.55, 0.03, 0.6
		calm, waves, wave, pause = 3 * time.Second, 8, 5 * time.Second, 3 * time.Second
	)
	l.setConfig(reservations)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%02d", i), service: "matchdesk", sharded: true, slots: slots, queue: 24, work: 120 * time.Millisecond}
		if err := l.startServer(s); err != nil {
			return nil, err
		}
	}
	if err := l.startGateways(gateways, 0); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // The keys are granted.
	c := newConsumers(l)
	began, number := time.Now(), 0
	end := began.Add(calm + waves*(wave+pause))
	faulty := false
	for now := began; now.Before(end); now = time.Now() {
		since := now.Sub(began) - calm
		if on := trouble && since >= 0 && since%(wave+pause) < wave; on != faulty {
			faulty = on
			l.record.printf("faults of the servers: %t", on)
			for i, s := range l.servers {
				switch {
				case !on:
					s.setFaults(0, 0)
				case float64(i) < share*servers:
					s.setFaults(shed, copied)
				default:
					s.setFaults(shed, 0)
				}
			}
		}
		number++
		c.send(l.gateways[number%gateways].front, request{
			method: http.MethodPost, host: "rooms.example", path: "/reserve/2f", id: fmt.Sprintf("%016x", rand.Uint64()),
			key: rand.IntN(1 << 16), limit: 1500 * time.Millisecond,
		})
		time.Sleep(time.Until(began.Add(time.Duration(float64(number) / perSecond * float64(time.Second)))))
	}
	c.wait.Wait()
	time.Sleep(3 * time.Second) // A request that runs later than its answer would be seen.
	counts := c.counts()
	l.record.printf("requests %d, answers by status %v", c.sent, counts)
	fmt.Println("requests", c.sent, "answers by status", counts)
	if counts[http.StatusOK] < c.sent/5 {
		return nil, fmt.Errorf("only %d of %d requests were served", counts[http.StatusOK], c.sent)
	}
	return judgeOnce(l, c), nil
}

// judgeOnce returns the requests that ran more than once, or ran although their answer promises that they have not.
func judgeOnce(l *lab, c *consumers) (broken []string) {
	ran := make(map[string]int)
	for _, s := range l.servers {
		s.mu.Lock()
		for id, times := range s.ran {
			ran[id] += len(times)
		}
		s.mu.Unlock()
	}
	for id, n := range ran {
		status := c.answers[id]
		if n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times, answered %d", id, n, status))
		}
		switch status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			broken = append(broken, fmt.Sprintf("REFUSED: %s ran %d times, answered %d", id, n, status))
		}
	}
	return broken
}
