package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gauges is a configuration with one route, whose requests may be repeated, to a service without keys.
const gauges = `{"Version":"00000007","Routes":{"gauge-read":{"Host":"gauges.example","PathPrefix":"/gauge/","Kind":"idempotent","TimeoutS":3.0,"SloS":0.8,"Priority":1,"Service":"straume","MaxAttempts":2}},
"Services":{"straume":{"HealthPath":"/health","MaxConns":520,"Protocol":"h1","Tls":false}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

const (
	// lanesMemoryMB is the memory of the smallest machine of the deployment.
	lanesMemoryMB = 144
	// lanesClients is the number of consumers, lanesDepth the number of requests that one sends at a time, lanesPause the
	// mean time between two such batches.
	lanesClients, lanesDepth = 1000, 8
	lanesPause               = 6800 * time.Millisecond
	lanesLimit               = 4 * time.Second
)

// lanes sends the traffic of consumers that send several requests at a time on connections that they keep, while all machines
// but one are lost. A process that exceeds the memory of its machine is killed, and started again, as the platform does.
func lanes(l *lab, trouble bool) ([]string, error) {
	const (
		gateways, servers, slots = 6, 20, 16
		calm, pressed            = 16 * time.Second, 24 * time.Second
	)
	l.memoryMB = lanesMemoryMB
	l.setConfig(gauges)
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%02d", i), service: "straume", slots: slots, queue: 4 * slots, work: 140 * time.Millisecond}
		if err := l.startServer(s); err != nil {
			return nil, err
		}
	}
	if err := l.startGateways(gateways, 0); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	p := &platform{lab: l, peak: make(map[string]int)}
	p.watch()
	v := newRotation(l)
	b := &batches{lab: l, rotation: v, answers: make(map[int]int), cut: make(map[string][]string)}
	stop := make(chan struct{})
	for range lanesClients {
		b.wait.Go(func() { b.client(stop) })
	}
	time.Sleep(calm)
	if trouble {
		l.record.printf("all machines but %s are lost", l.gateways[0].name)
		for _, g := range l.gateways[1:] {
			p.lose(g)
		}
	}
	time.Sleep(pressed)
	close(stop)
	b.wait.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	l.record.printf("peak memory in MB %v, killed for their memory %d, answers by status %v", p.peak, p.killed, b.answers)
	fmt.Println("peak memory in MB", p.peak, "killed for their memory", p.killed, "answers by status", b.answers)
	cut := b.cutAtServers(l.gateways[0].front)
	l.record.printf("requests on kept connections of %s that a server ran and that got no answer: %s", l.gateways[0].name, strings.Join(cut, " "))
	fmt.Println("cut on kept connections after a server began to run them:", len(cut))
	if p.killed == 0 || len(cut) <= 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d processes ended by themselves (memory over %d MB), and %d requests on kept connections, passed on to servers, got no answer",
		p.killed, lanesMemoryMB, len(cut))}, nil
}

// platform kills processes that exceed the memory of their machine, and starts them again.
type platform struct {
	lab    *lab
	mu     sync.Mutex
	lost   map[*gateway]bool
	peak   map[string]int
	killed int
}

// lose removes a machine for good.
func (p *platform) lose(g *gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == nil {
		p.lost = make(map[*gateway]bool)
	}
	p.lost[g] = true
	g.kill()
}

func (p *platform) watch() {
	p.lab.wait.Go(func() {
		for {
			select {
			case <-p.lab.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, g := range p.lab.gateways {
				p.check(g)
			}
		}
	})
}

func (p *platform) check(g *gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost[g] {
		return
	}
	mb := residentMB(g)
	p.peak[g.name] = max(p.peak[g.name], mb)
	if mb <= lanesMemoryMB {
		return
	}
	p.killed++
	p.lab.record.printf("%s has %d MB and is killed", g.name, mb)
	g.signal(syscall.SIGKILL)
	<-g.ended
	if err := p.lab.startGateway(g, p.lab.settingsOf(g), 0); err != nil {
		p.lab.record.printf("%s not started again: %v", g.name, err)
	}
}

// residentMB returns the resident memory of a process, in units of 2^20 bytes.
func residentMB(g *gateway) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.Atoi(fields[1])
			if err == nil {
				return kb >> 10
			}
		}
	}
	return 0
}

// batches are consumers that send several requests before the first one is answered.
type batches struct {
	lab      *lab
	rotation *rotation
	wait     sync.WaitGroup
	mu       sync.Mutex
	answers  map[int]int
	// cut holds the requests on kept connections that were closed without an answer, before their time limit, by the
	// address of the machine.
	cut map[string][]string
}

func (b *batches) client(stop chan struct{}) {
	var k *caller
	kept := false
	pause := time.Duration(rand.Float64() * float64(lanesPause))
	for {
		select {
		case <-stop:
			if k != nil {
				_ = k.conn.Close()
			}
			return
		case <-time.After(pause):
		}
		pause = time.Duration((0.85 + 0.3*rand.Float64()) * float64(lanesPause))
		if k == nil {
			var err error
			if k, err = dial(b.rotation.choose()); err != nil {
				k, kept, pause = nil, false, time.Second
				continue
			}
		}
		if !b.send(k, kept) {
			_ = k.conn.Close()
			k, kept, pause = nil, false, 200*time.Millisecond
			continue
		}
		kept = true
	}
}

// send sends a batch and reports whether all its requests were answered and the connection stays open.
func (b *batches) send(k *caller, kept bool) bool {
	var text strings.Builder
	var ids []string
	for range lanesDepth {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET /gauge/2f HTTP/1.1\r\nHost: gauges.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, lanesLimit.Milliseconds())
	}
	b.lab.record.printf("sent %s on a kept connection: %t", strings.Join(ids, " "), kept)
	sent := time.Now()
	_ = k.conn.SetDeadline(sent.Add(lanesLimit))
	if _, err := io.WriteString(k.conn, text.String()); err != nil {
		return false
	}
	for i, id := range ids {
		resp, err := http.ReadResponse(k.in, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			b.lab.record.printf("no answer to %s: %v", strings.Join(ids[i:], " "), err)
			b.mu.Lock()
			if b.answers[0] += len(ids) - i; kept && time.Since(sent) < lanesLimit {
				addr := k.conn.RemoteAddr().String()
				b.cut[addr] = append(b.cut[addr], ids[i:]...)
			}
			b.mu.Unlock()
			return false
		}
		b.lab.record.printf("answered %s: %d", id, resp.StatusCode)
		b.mu.Lock()
		b.answers[resp.StatusCode]++
		b.mu.Unlock()
		if resp.Close {
			return false
		}
	}
	return true
}

// cutAtServers returns those of the requests cut at a machine that a server had begun to run.
func (b *batches) cutAtServers(addr string) (out []string) {
	ran := make(map[string]bool)
	for _, s := range b.lab.servers {
		s.mu.Lock()
		for id := range s.ran {
			ran[id] = true
		}
		s.mu.Unlock()
	}
	for _, id := range b.cut[addr] {
		if ran[id] {
			out = append(out, id)
		}
	}
	return out
}
