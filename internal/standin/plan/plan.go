// Package plan writes the files that a run on one machine needs from descriptions of
// deployments: the settings of the daemons and of hq-standin, the objects for the store
// and a load, all on free loopback ports.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"

	"hemlockquay/internal/agent"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/dispatch"
	"hemlockquay/internal/entry"
	"hemlockquay/internal/loadgen"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/settings"
	"hemlockquay/internal/standin"
)

// Deployment describes the deployment of one user.
type Deployment struct {
	Name        string     `json:"name"`
	DataCentres []string   `json:"dataCentres"`
	Services    []Service  `json:"services"`
	Customers   []Customer `json:"customers"`
}

// Service is a service with its simulated targets.
type Service struct {
	model.Service `json:",inline"`
	// Servers is the number of targets, spread over the data centres.
	Servers int `json:"servers"`
	// MeanWorkUS is the mean service time of a target in microseconds.
	MeanWorkUS int `json:"meanWorkUs"`
}

// Customer is a customer with its contract and the load that it generates.
type Customer struct {
	Customer string             `json:"customer"`
	Token    string             `json:"token"`
	Services []model.Allowance  `json:"services"`
	Offers   []loadgen.Workload `json:"offers"`
}

// Check implements settings.Checker.
func (d *Deployment) Check() error {
	switch {
	case d.Name == "":
		return settings.Invalid("/name", "empty")
	case len(d.DataCentres) == 0:
		return settings.Invalid("/dataCentres", "empty")
	}
	for i, s := range d.Services {
		if s.Servers < 1 {
			return settings.Invalid(fmt.Sprintf("/services/%d/servers", i), "%d is below 1", s.Servers)
		}
	}
	return nil
}

// Endpoints are the addresses of a run's processes.
type Endpoints struct {
	Store   string
	Admin   string
	Entries []string
	Agents  []string
}

// planner collects the contents of the files.
type planner struct {
	dir string
	// used are the addresses that this plan has assigned.
	used      map[string]bool
	endpoints Endpoints
	load      loadgen.Experiment
	standin   standin.Settings
}

// Write plans the deployments on the given number of VMs and writes all files below dir.
func Write(dir string, vms int, deployments []Deployment) (*Endpoints, error) {
	p := &planner{dir: dir, used: make(map[string]bool)}
	ports, err := p.freePorts(2)
	if err != nil {
		return nil, err
	}
	p.standin.Store, p.standin.Admin = ports[0], ports[1]
	p.endpoints.Store, p.endpoints.Admin = "http://"+ports[0], "http://"+ports[1]
	var dcs []string
	for _, d := range deployments {
		dcs = append(dcs, d.DataCentres...)
	}
	if err := p.planVMs(vms, dcs); err != nil {
		return nil, err
	}
	for _, d := range deployments {
		if err := p.planDeployment(&d); err != nil {
			return nil, err
		}
	}
	p.load.Entries, p.load.Standin = p.endpoints.Entries, p.endpoints.Admin
	if err := p.write("standin.jsonc", &p.standin); err != nil {
		return nil, err
	}
	return &p.endpoints, p.write("load.jsonc", &p.load)
}

// portsPerVM counts the ports of the agent, dispatch and entry daemons and an admin port
// for each.
const portsPerVM = 6

func (p *planner) planVMs(n int, dcs []string) error {
	all, err := p.freePorts(n * portsPerVM)
	if err != nil {
		return err
	}
	for i := range n {
		ports := all[i*portsPerVM : (i+1)*portsPerVM]
		name := fmt.Sprintf("vm%d", i+1)
		base := daemon.Base{VM: name, DataCentre: dcs[i%len(dcs)]}
		a := agent.Settings{Base: base, Listen: ports[0], Store: p.endpoints.Store}
		for j := range n {
			if j != i {
				a.Peers = append(a.Peers, all[j*portsPerVM])
			}
		}
		d := dispatch.Settings{Base: base, Listen: ports[1], Agent: ports[0]}
		e := entry.Settings{Base: base, Listen: ports[2], Agent: ports[0]}
		a.Admin, d.Admin, e.Admin = ports[3], ports[4], ports[5]
		for file, s := range map[string]any{"agent": &a, "dispatch": &d, "entry": &e} {
			if err := p.write(filepath.Join(name, file+".jsonc"), s); err != nil {
				return err
			}
		}
		p.standin.VMs = append(p.standin.VMs, platform.VM{Name: name, DataCentre: base.DataCentre, AgentAddr: ports[0], State: platform.VMLive})
		p.endpoints.Entries = append(p.endpoints.Entries, "http://"+ports[2])
		p.load.Admins = append(p.load.Admins, ports[5])
		p.endpoints.Agents = append(p.endpoints.Agents, ports[3])
	}
	return nil
}

func (p *planner) planDeployment(d *Deployment) error {
	for _, s := range d.Services {
		if err := p.planService(d, s); err != nil {
			return err
		}
	}
	for _, c := range d.Customers {
		sum := sha256.Sum256([]byte(c.Token))
		contract := model.Contract{Customer: c.Customer, TokenSHA256: hex.EncodeToString(sum[:]), Services: c.Services}
		if err := p.write(objectFile(model.KindContract, c.Customer), &contract); err != nil {
			return err
		}
		for _, w := range c.Offers {
			w.Customer, w.Token = c.Customer, c.Token
			p.load.Workloads = append(p.load.Workloads, w)
		}
	}
	return nil
}

func (p *planner) planService(d *Deployment, s Service) error {
	ports, err := p.freePorts(s.Servers)
	if err != nil {
		return err
	}
	for i, addr := range ports {
		name := fmt.Sprintf("%s-%d", s.Name, i+1)
		s.Targets = append(s.Targets, model.Target{Name: name, Addr: addr, DataCentre: d.DataCentres[i%len(d.DataCentres)]})
		p.standin.Targets = append(p.standin.Targets, standin.TargetConfig{
			Service: s.Name, Name: name, Addr: addr, Slots: s.Slots, Keyed: s.Keyed,
			MeanWorkUS: s.MeanWorkUS, Seed: uint64(len(p.standin.Targets)),
		})
	}
	return p.write(objectFile(model.KindService, s.Name), &s.Service)
}

func objectFile(kind model.Kind, name string) string {
	return filepath.Join("objects", string(kind)+"."+name+".jsonc")
}

func (p *planner) write(file string, v any) error { return WriteJSON(filepath.Join(p.dir, file), v) }

// WriteJSON writes a value to a file as indented JSON and creates the file's directory.
func WriteJSON(file string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", file, err)
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return nil
}

// Ports are chosen below the ephemeral range, from which the system takes the ports of
// outgoing connections (32768 and up by default).
//
// Failure: a planned port lies in that range, and an outgoing connection of another process
// takes it before its daemon starts. The daemon cannot listen.
const (
	firstPort = 10_000
	lastPort  = 32_000
	// maxAttempts bounds the search for free ports.
	maxAttempts = 10_000
)

// freePorts returns n free addresses. No address is returned twice in one plan.
func (p *planner) freePorts(n int) ([]string, error) { return FreePorts(n, p.used) }

// FreePorts returns n loopback addresses that were free when it checked. It skips the
// addresses in used and adds the returned ones.
func FreePorts(n int, used map[string]bool) ([]string, error) {
	addrs := make([]string, 0, n)
	for attempts := 0; len(addrs) < n; attempts++ {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort))
		if used[addr] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil && attempts >= maxAttempts {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		if err != nil {
			continue
		}
		l.Close()
		used[addr] = true
		addrs = append(addrs, addr)
	}
	return addrs, nil
}
