package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hemlockquay/internal/standin/fleet"
)

// gatewayProgram is the start command of deploy/system.toml, from the repository's root.
const gatewayProgram = "target/hq-gateway"

// heartbeat is the interval at which servers write their entries.
const heartbeat = 870 * time.Millisecond

// lab is the environment of a case.
type lab struct {
	record *record
	dir    string
	store  *fleet.Store
	// storeAddr is the address of the store.
	storeAddr string
	server    *http.Server
	gateways  []*gateway
	servers   []*server
	// memoryMB is the memory of a machine. Default: that of a small deployment.
	memoryMB int
	stop     chan struct{}
	wait     sync.WaitGroup
}

// gateway is one process of hq-gateway.
type gateway struct {
	name, front, ready, peers, admin string
	command                          *exec.Cmd
	ended                            chan struct{}
}

func newLab(r *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &lab{record: r, dir: dir, memoryMB: 284, store: fleet.NewStore(), storeAddr: listener.Addr().String(), stop: make(chan struct{})}
	l.server = &http.Server{Handler: l.store}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// close ends all processes that the case started.
func (l *lab) close() {
	close(l.stop)
	for _, g := range l.gateways {
		g.kill()
	}
	for _, s := range l.servers {
		s.end()
	}
	l.wait.Wait()
	_ = l.server.Close()
	_ = os.RemoveAll(l.dir)
}

// The range of ports of gateways. It is below the ports that the system gives to outgoing connections, which could take one
// before the gateway listens.
const firstPort, lastPort = 10000, 30000

// freeAddrs returns n free loopback addresses, chosen at random so that scripts that run side by side do not choose the same.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			if tries > 1000 {
				return nil, err
			}
			continue
		}
		defer listener.Close()
		out = append(out, addr)
	}
	return out, nil
}

// startGateways starts n gateways with the settings that deploy/settings.tmpl gives a machine of a small deployment. maxFDs
// is the limit on descriptors of each process, or 0 for none.
func (l *lab) startGateways(n, maxFDs int) error {
	addrs, err := freeAddrs(4 * n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1), front: addrs[4*i], ready: addrs[4*i+1], peers: addrs[4*i+2], admin: addrs[4*i+3]}
		l.gateways = append(l.gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.peers)
		}
	}
	for _, g := range l.gateways {
		settings := map[string]any{
			"vm": g.name, "dataCentre": "zone-a", "admin": g.admin, "front": g.front, "ready": g.ready, "peers": g.peers, "seeds": seeds,
			"store": l.storeAddr, "regions": map[string]string{"zone-a": "region"}, "memoryMB": l.memoryMB, "linkMbps": 1000.0, "grace": "6s", "holdMost": "10s",
			"places": map[string]any{"fromVMs": 16}, "spread": map[string]any{"moves": 96, "ranges": 1536, "surges": true},
			"pipeline": map[string]any{"requests": 8}, "repeats": map[string]any{"ratio": 0.2, "slack": 60, "window": "10s"},
		}
		text, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		file := l.settingsOf(g)
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		if err := l.startGateway(g, file, maxFDs); err != nil {
			return err
		}
	}
	for _, g := range l.gateways {
		if !l.awaitReady(g) {
			return fmt.Errorf("%s did not become ready; its log: %s", g.name, l.log(g))
		}
	}
	return nil
}

// settingsOf returns the settings file of a gateway.
func (l *lab) settingsOf(g *gateway) string { return filepath.Join(l.dir, g.name+".json") }

func (l *lab) startGateway(g *gateway, settings string, maxFDs int) error {
	g.command = exec.Command(gatewayProgram, "--config", settings)
	if maxFDs > 0 {
		// The shell lowers its own limit and is replaced by the gateway.
		script := fmt.Sprintf("ulimit -n %d && exec %s --config %s", maxFDs, gatewayProgram, settings)
		g.command = exec.Command("/bin/bash", "-c", script)
	}
	log, err := os.OpenFile(filepath.Join(l.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command.Stdout, g.command.Stderr = log, log
	// The gateway ends with this program, however that ends.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func() {
		_ = g.command.Wait()
		_ = log.Close()
		close(g.ended)
	}()
	return nil
}

// log returns what a gateway has logged.
func (l *lab) log(g *gateway) string {
	text, err := os.ReadFile(filepath.Join(l.dir, g.name+".log"))
	if err != nil {
		return ""
	}
	return string(text)
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil || g.ended == nil {
		return
	}
	if g.running() {
		g.signal(syscall.SIGKILL)
		<-g.ended
	}
}

// isReady asks a gateway as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (l *lab) awaitReady(g *gateway) bool {
	for range 100 {
		if g.isReady() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// setConfig writes a configuration as the operator does.
func (l *lab) setConfig(text string) { l.store.Set("config", "main", json.RawMessage(text)) }
