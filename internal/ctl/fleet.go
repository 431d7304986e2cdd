package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockquay/internal/answers"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// Limits of queries to VMs.
const (
	// queryTimeout is the time limit of one request to a daemon's admin server.
	queryTimeout = 2 * time.Second
	// maxConcurrentQueries limits the daemons that are queried for their journals at
	// the same time.
	maxConcurrentQueries = 32
	// agentsQueried is how many agents are queried for the list of VMs. One agent
	// knows all VMs, unless a network partition hides some from it; querying several
	// makes up for that.
	agentsQueried = 3
	// maxResponseBytes limits the size of a daemon's response.
	maxResponseBytes = 64 << 20
)

var errNoAgent = errors.New("no agent answered; give the admin address of one with --agent IP:PORT")

// Fleet queries the daemons of all VMs.
type Fleet struct {
	// Store may be unavailable; then only Agents can be queried at first.
	Store platform.Store
	// Agents are the admin addresses of agents that the operator gave.
	Agents []string
	// HTTP is the client for the admin servers.
	HTTP *http.Client
}

// NewHTTPClient returns a client for the admin servers.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: answers.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

// VM is the state of one VM as the agents report it.
type VM struct {
	Name        string `json:"name"`
	DataCentre  string `json:"dataCentre"`
	Incarnation string `json:"incarnation,omitempty"`
	// State is Live, Leaving or Silent.
	State string `json:"state"`
	// InForce is the revision that is in force on all daemons of the VM, Held the one
	// that its agent has.
	InForce  uint64   `json:"inForce"`
	Held     uint64   `json:"held"`
	Watching bool     `json:"watching"`
	Problems []string `json:"problems,omitempty"`
}

// States of a VM. A Silent VM is listed by the platform, but no queried agent reports it.
const (
	Live    = "live"
	Leaving = "leaving"
	Silent  = "silent"
)

// agentDump is the part of an agent's dump that this package uses.
type agentDump struct {
	Members []wire.Member     `json:"members"`
	Daemons []wire.ReportArgs `json:"daemons"`
}

// daemonAddr is a daemon's admin address.
type daemonAddr struct{ vm, process, addr string }

// daemons returns the admin addresses of all daemons. They come from the status objects,
// or from the agent of a VM that has not been able to write its status object.
func (f *Fleet) daemons(ctx context.Context) ([]daemonAddr, error) {
	statuses := f.vmStatuses(ctx)
	var out []daemonAddr
	known := make(map[string]bool)
	for _, s := range statuses {
		known[s.Name] = true
		for _, a := range s.AdminAddrs {
			out = append(out, daemonAddr{s.Name, a.Process, a.Addr})
		}
	}
	dumps, err := f.queryAgents(ctx, statuses)
	if err != nil {
		return nil, err
	}
	for _, d := range dumps {
		for _, m := range d.Members {
			if known[m.VM] {
				continue
			}
			known[m.VM] = true
			out = append(out, daemonAddr{m.VM, agentProcess, m.AdminAddr})
			dump, err := f.agentDump(ctx, m.AdminAddr)
			if err != nil {
				continue
			}
			for _, r := range dump.Daemons {
				out = append(out, daemonAddr{m.VM, r.Process, r.Admin})
			}
		}
	}
	return out, nil
}

// agentProcess is the agent's process name in status objects.
const agentProcess = "hq-agent"

// VMs returns all VMs that the platform lists or an agent has received heartbeats from,
// sorted by name.
func (f *Fleet) VMs(ctx context.Context) ([]VM, error) {
	found := make(map[string]*VM)
	statuses := f.vmStatuses(ctx)
	if vms, err := f.Store.VMs(ctx); err == nil {
		for _, vm := range vms {
			found[vm.Name] = &VM{Name: vm.Name, DataCentre: vm.DataCentre, State: Silent}
		}
	}
	dumps, err := f.queryAgents(ctx, statuses)
	if err != nil {
		return nil, err
	}
	for _, d := range dumps {
		for _, m := range d.Members {
			mergeMember(found, m)
		}
	}
	for _, s := range statuses {
		if vm := found[s.Name]; vm != nil {
			vm.Problems = s.Problems
		}
	}
	out := make([]VM, 0, len(found))
	for _, vm := range found {
		out = append(out, *vm)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// mergeMember merges one agent's view of a VM into found. The latest incarnation wins;
// within one incarnation the highest revisions do.
func mergeMember(found map[string]*VM, m wire.Member) {
	vm := found[m.VM]
	if vm == nil {
		vm = &VM{Name: m.VM}
		found[m.VM] = vm
	}
	if vm.Incarnation != "" && vm.Incarnation != m.Incarnation {
		if startedEarlier(m.Incarnation, vm.Incarnation) {
			return
		}
		*vm = VM{Name: m.VM}
	}
	vm.DataCentre, vm.Incarnation, vm.State = m.DataCentre, m.Incarnation, Live
	if m.Leaving {
		vm.State = Leaving
	}
	vm.InForce, vm.Held = max(vm.InForce, m.Revision), max(vm.Held, m.Held)
	vm.Watching = vm.Watching || m.Watching
}

// startedEarlier reports whether incarnation a of a VM started before incarnation b.
// Incarnations hold the start time, so a shorter one is the earlier one.
func startedEarlier(a, b string) bool { return len(a) < len(b) || (len(a) == len(b) && a < b) }

// vmStatuses returns the VMs' status objects, or none if the store is unavailable.
func (f *Fleet) vmStatuses(ctx context.Context) []model.VMStatus {
	l, err := f.Store.List(ctx)
	if err != nil {
		return nil
	}
	var out []model.VMStatus
	for _, o := range l.Objects {
		if o.Kind != model.KindVM {
			continue
		}
		if s, err := model.Decode(o.Kind, o.Name, o.Spec); err == nil {
			out = append(out, *s.(*model.VMStatus))
		}
	}
	return out
}

// queryAgents returns the dumps of at least one agent, and of agentsQueried agents if
// that many answer. It tries the agents that the operator gave first, then the others
// in random order.
func (f *Fleet) queryAgents(ctx context.Context, statuses []model.VMStatus) ([]agentDump, error) {
	addrs := slices.Clone(f.Agents)
	for _, s := range statuses {
		addrs = append(addrs, adminAddr(s, agentProcess))
	}
	named := len(f.Agents)
	rand.Shuffle(len(addrs)-named, func(i, j int) { addrs[named+i], addrs[named+j] = addrs[named+j], addrs[named+i] })
	var out []agentDump
	for chunk := range slices.Chunk(addrs, agentsQueried) {
		out = append(out, f.agentDumps(ctx, chunk)...)
		if len(out) >= agentsQueried {
			break
		}
	}
	if len(out) == 0 {
		return nil, errNoAgent
	}
	return out, nil
}

func (f *Fleet) agentDumps(ctx context.Context, addrs []string) []agentDump {
	var mu sync.Mutex
	var out []agentDump
	var queries errgroup.Group
	for _, addr := range addrs {
		queries.Go(func() error {
			d, err := f.agentDump(ctx, addr)
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, d)
			}
			return nil
		})
	}
	_ = queries.Wait()
	return out
}

func (f *Fleet) agentDump(ctx context.Context, addr string) (agentDump, error) {
	var dump struct {
		Sections []struct {
			Name  string          `json:"name"`
			Value json.RawMessage `json:"value"`
		} `json:"sections"`
	}
	if err := f.get(ctx, addr, "/dump", &dump); err != nil {
		return agentDump{}, err
	}
	for _, s := range dump.Sections {
		if s.Name != "agent" {
			continue
		}
		var d agentDump
		if err := json.Unmarshal(s.Value, &d); err != nil {
			return d, fmt.Errorf("dump of %s: %w", addr, err)
		}
		return d, nil
	}
	return agentDump{}, fmt.Errorf("dump of %s: no section \"agent\"; this is not an agent's admin address", addr)
}

// get decodes the JSON at a path of a daemon's admin server into out.
func (f *Fleet) get(ctx context.Context, addr, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return fmt.Errorf("get %s: %w", addr, err)
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("get %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s%s: status %d", addr, path, resp.StatusCode)
	}
	text, err := answers.ReadAll(resp.Body, maxResponseBytes)
	if err == nil {
		err = json.Unmarshal(text, out)
	}
	if err != nil {
		return fmt.Errorf("decode response of %s%s: %w", addr, path, err)
	}
	return nil
}

func adminAddr(s model.VMStatus, process string) string {
	for _, a := range s.AdminAddrs {
		if a.Process == process {
			return a.Addr
		}
	}
	return ""
}

// Dump returns the complete state of a daemon as JSON.
func (f *Fleet) Dump(ctx context.Context, vm, process string) (json.RawMessage, error) {
	daemons, err := f.daemons(ctx)
	if err != nil {
		return nil, err
	}
	for _, d := range daemons {
		if d.vm == vm && d.process == process {
			var out json.RawMessage
			err := f.get(ctx, d.addr, "/dump", &out)
			return out, err
		}
	}
	return nil, fmt.Errorf("no known admin address of %s on VM %s", process, vm)
}
