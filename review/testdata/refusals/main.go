// Command refusals runs three gateways in front of servers of which one answers a part of the requests that it has run
// with a status that callers take for a refusal. It exits with 1 if a caller was told that a request has not run which a
// server had run, 0 if not, and 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hemlockquay/internal/standin/fleet"
)

const (
	gateways, servers = 3, 8
	slots             = 6
	work              = 40 * time.Millisecond
	// failingFrom and failingUntil are when the server fails, from the start of traffic. Every second request fails.
	failingFrom, failingUntil = 3 * time.Second, 11 * time.Second
	traffic                   = 15 * time.Second
	perSecond                 = 80
	// callerPatience is the time limit of a caller, in which it tries again after a refusal.
	callerPatience = 1500 * time.Millisecond
	heartbeat      = 870 * time.Millisecond
)

// failingServer is the server that fails.
const failingServer = "s-2"

// falseRefusals are the statuses with which the failing server answers in turn.
var falseRefusals = []int{http.StatusTooManyRequests, http.StatusRequestTimeout}

const config = `{"Version":"00000001","Routes":{"refund":{"Host":"vault.example","PathPrefix":"/refund/",
"Kind":"non_idempotent","TimeoutS":1,"SloS":0.4,"Priority":1,"Service":"docvault","MaxAttempts":2}},
"Services":{"docvault":{"HealthPath":"/health","MaxConns":120}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// settings is the form of deploy/settings.tmpl.
const settings = `{"vm":%q,"dataCentre":%q,"admin":%q,"front":%q,"ready":%q,"peers":%q,"seeds":[%q],"store":%q,
"regions":{"cairo-nasr":"cairo","cairo-maadi":"cairo","cairo-giza":"cairo"},"memoryMB":284,"linkMbps":1000,"grace":"6s",
"holdMost":"10s","places":{"fromVMs":16},"spread":{"moves":96,"ranges":1536,"surges":true},"pipeline":{"requests":8},
"repeats":{"ratio":0.2,"slack":60,"window":"10s"}}`

var zones = []string{"cairo-nasr", "cairo-maadi", "cairo-giza"}

// run is one run of a request at a server.
type run struct {
	server string
	status int
	notRun bool
}

// world is what the servers and callers of the case have seen.
type world struct {
	mu   sync.Mutex
	runs map[string][]run
	// failing reports whether failingServer fails, failed counts its requests meanwhile.
	failing atomic.Bool
	failed  int
	began   time.Time
	record  *os.File
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve answers a request as the server with an id.
func (w *world) serve(id string, busy chan struct{}, out http.ResponseWriter, in *http.Request) {
	request := in.Header.Get("X-Request-Id")
	out.Header().Set("X-Instance-Id", id)
	if request != "" {
		out.Header().Set("X-Request-Id", request)
	}
	if target := in.Header.Get("X-Target-Instance"); target != "" && target != id {
		out.Header().Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if in.URL.Path == "/health" {
		return
	}
	if request == "" {
		out.Header().Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case busy <- struct{}{}:
	default:
		out.Header().Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-busy }()
	body, _ := io.ReadAll(in.Body)
	status := http.StatusOK
	w.mu.Lock()
	if id == failingServer && w.failing.Load() {
		if w.failed++; w.failed%2 == 0 {
			status = falseRefusals[w.failed/2%len(falseRefusals)]
		}
	}
	w.runs[request] = append(w.runs[request], run{server: id, status: status})
	w.mu.Unlock()
	w.logf("server %s runs request %s (%s) and answers %d", id, request, body, status)
	time.Sleep(work)
	out.Header().Set("X-Server-Stamp", id+"."+request)
	out.WriteHeader(status)
	fmt.Fprintf(out, "%s by %s", body, id)
}

// call sends a refund and tries again after a refusal, as callers do. It returns the broken promises.
func (w *world) call(number int, fronts []string) (broken []string, statuses []int) {
	deadline := time.Now().Add(callerPatience)
	for try := range 3 {
		request := fmt.Sprintf("r%05d-%d", number, try)
		status, err := w.send(request, fmt.Sprintf("refund %d", number), fronts[(number+try)%len(fronts)], time.Until(deadline))
		if err != nil {
			w.logf("request %s gets no answer: %v", request, err)
			return broken, append(statuses, 0)
		}
		statuses = append(statuses, status)
		w.mu.Lock()
		runs := append([]run(nil), w.runs[request]...)
		w.mu.Unlock()
		if !promises(status) {
			return broken, statuses
		}
		if len(runs) > 0 {
			text := fmt.Sprintf("REFUSED: request %s (refund %d) is answered %d and has run at %s", request, number, status, runs[0].server)
			w.logf("%s", text)
			broken = append(broken, text)
		}
		if time.Until(deadline) < 200*time.Millisecond {
			return broken, statuses
		}
		time.Sleep(50 * time.Millisecond)
	}
	return broken, statuses
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (w *world) send(request, body, front string, left time.Duration) (int, error) {
	client := &http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true}}
	out, err := http.NewRequest(http.MethodPost, "http://"+front+"/refund/x", bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	out.Host = "vault.example"
	out.Header.Set("X-Request-Id", request)
	out.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	w.logf("request %s (%s) is sent to %s", request, body, front)
	in, err := client.Do(out)
	if err != nil {
		return 0, err
	}
	defer in.Body.Close()
	_, err = io.ReadAll(in.Body)
	w.logf("request %s is answered %d", request, in.StatusCode)
	return in.StatusCode, err
}

func main() {
	// The gateways end with the thread that started them.
	runtime.LockOSThread()
	code, err := runCase(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func runCase(recordPath string, trouble bool) (int, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return 2, err
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(temporary)
	w := &world{runs: make(map[string][]run), began: time.Now(), record: record}
	store := fleet.NewStore()
	storeAddr, err := listen(store)
	if err != nil {
		return 2, err
	}
	store.Set("config", "main", json.RawMessage(config))
	if err := w.startServers(store); err != nil {
		return 2, err
	}
	fronts, stop, err := startGateways(temporary, storeAddr)
	defer stop()
	if err != nil {
		return 2, err
	}
	return w.play(fronts, trouble)
}

func (w *world) play(fronts []string, trouble bool) (int, error) {
	w.began = time.Now()
	if trouble {
		time.AfterFunc(failingFrom, func() { w.failing.Store(true) })
		time.AfterFunc(failingUntil, func() { w.failing.Store(false) })
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var broken []string
	counts, refunded := make(map[int]int), make(map[int]int)
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for number := 0; time.Since(w.began) < traffic; number++ {
		<-tick.C
		wait.Go(func() {
			b, statuses := w.call(number, fronts)
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, b...)
			for _, s := range statuses {
				counts[s]++
			}
			for try := range statuses {
				w.mu.Lock()
				refunded[number] += len(w.runs[fmt.Sprintf("r%05d-%d", number, try)])
				w.mu.Unlock()
			}
		})
	}
	wait.Wait()
	twice := 0
	for _, n := range refunded {
		if n > 1 {
			twice++
		}
	}
	if counts[http.StatusOK] == 0 {
		return 2, errors.New("no request was served")
	}
	sort.Strings(broken)
	summary := fmt.Sprintf("answers by status %v; %d requests REFUSED that had run; %d refunds paid more than once", counts, len(broken), twice)
	w.logf("%s", summary)
	fmt.Println(summary)
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return 1, nil
	}
	return 0, nil
}

// startServers starts the servers and keeps their entries in the store.
func (w *world) startServers(store *fleet.Store) error {
	born := time.Now().UnixMilli()
	for i := range servers {
		id, busy := fmt.Sprintf("s-%d", i), make(chan struct{}, slots)
		addr, err := listen(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { w.serve(id, busy, out, in) }))
		if err != nil {
			return err
		}
		go func() {
			for seq := 1; ; seq++ {
				store.Set("servers", id, map[string]any{
					"Service": "docvault", "Addr": addr, "Zone": zones[i%len(zones)], "Version": "v1", "Slots": slots, "State": "ready",
					"WarmupLeftS": 0, "Seq": seq, "born": born,
				})
				time.Sleep(heartbeat)
			}
		}()
	}
	return nil
}

func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// startGateways starts the gateways and waits until they are ready. stop ends them.
func startGateways(dir, store string) (fronts []string, stop func(), err error) {
	var commands []*exec.Cmd
	stop = func() {
		for _, c := range commands {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
	ports, err := freePorts(4 * gateways)
	if err != nil {
		return nil, stop, err
	}
	var ready []string
	for i := range gateways {
		own, name := ports[4*i:], fmt.Sprintf("vm-%d", i+1)
		file := filepath.Join(dir, name+".json")
		text := fmt.Sprintf(settings, name, zones[i%len(zones)], own[0], own[1], own[2], own[3], ports[3], store)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, stop, err
		}
		c := exec.Command("target/hq-gateway", "--config", file)
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := c.Start(); err != nil {
			return nil, stop, err
		}
		commands, fronts, ready = append(commands, c), append(fronts, own[1]), append(ready, own[2])
	}
	for _, addr := range ready {
		if err := awaitReady(addr); err != nil {
			return nil, stop, err
		}
	}
	time.Sleep(time.Second)
	return fronts, stop, nil
}

func awaitReady(addr string) error {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if in, err := http.Get("http://" + addr + "/ready"); err == nil {
			in.Body.Close()
			if in.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("no gateway is ready at %s", addr)
}

// freePorts returns loopback addresses with ports below those of outgoing connections.
func freePorts(n int) (out []string, err error) {
	for port := 10000 + os.Getpid()%8000; port < 30000 && len(out) < n; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, addr)
	}
	if len(out) < n {
		return nil, errors.New("no free ports")
	}
	return out, nil
}
