package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"hemlockquay/internal/gateway"
	"hemlockquay/internal/loadgen"
	"hemlockquay/internal/model"
	"hemlockquay/internal/standin/plan"
)

// Hosts and paths of the routes that Config has.
const (
	KeyedHost, KeyedPath = "k.example", "/k/"
	PoolHost, PoolPath   = "p.example", "/p/"
)

// Headers are the platform's names of what callers send and get.
var Headers = loadgen.GatewayHeaders{RequestID: "X-Request-Id", DeadlineMs: "X-Deadline-Ms", Key: "X-Shard-Key", Stamp: "X-Server-Stamp"}

const config = `{"Version":"%08x","Routes":{
"keyed":{"Host":"k.example","PathPrefix":"/k/","Kind":"idempotent","TimeoutS":5,"SloS":1,"Service":"keyed","MaxAttempts":2},
"pool":{"Host":"p.example","PathPrefix":"/p/","Kind":"non_idempotent","TimeoutS":5,"SloS":1,"Service":"pool","MaxAttempts":2}%s},
"Services":{"keyed":{"HealthPath":"/health","MaxConns":50,"Sharded":true},"pool":{"HealthPath":"/health","MaxConns":50}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// Config returns a configuration with a route to a service with keys and one to a
// service without, and more routes, each with a comma before it.
func Config(version int, more string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(config, version, more))
}

const (
	// labTargets is the number of targets of each service, labSlots of their slots.
	labTargets = 3
	labSlots   = 4
	// labWork is how long a target works on a request.
	labWork = 5 * time.Millisecond
	// labGrace is the time that a gateway has to leave.
	labGrace = 3 * time.Second
	// labRate is the requests a second of the load.
	labRate = 200
	// portsPerVM are front, ready, peers and admin.
	portsPerVM = 4
)

// RunLab plays the platform for gateways on one machine until the context ends. It
// writes the settings of each gateway to DIR/vm-N.jsonc and the load to
// DIR/load.jsonc; the latter is written last, when everything answers.
func RunLab(ctx context.Context, dir string, vms int) error {
	store := NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("lab: listen for the store: %w", err)
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	store.Set("config", "main", Config(1, ""))
	for _, target := range labFleet() {
		target.SetWork(labWork)
		if err := target.Start(store); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		defer target.Kill()
	}
	if err := writeLab(dir, vms, listener.Addr().String()); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	<-ctx.Done()
	return nil
}

func labFleet() []*Target {
	var out []*Target
	for i := range labTargets {
		out = append(out,
			&Target{ID: fmt.Sprintf("k-%d", i), Service: "keyed", Zone: "a", Keyed: true, Slots: labSlots},
			&Target{ID: fmt.Sprintf("p-%d", i), Service: "pool", Zone: "a", Slots: labSlots})
	}
	return out
}

func writeLab(dir string, vms int, store string) error {
	names := make([]string, vms)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%d", i+1)
	}
	written, err := WriteGateways(dir, names, labGrace, func(string) (string, error) { return store, nil })
	if err != nil {
		return err
	}
	load := loadgen.GatewayLoad{
		Rate: labRate, Headers: Headers,
		Routes: []loadgen.GatewayRoute{{Host: KeyedHost, Path: KeyedPath, Keyed: true}, {Host: PoolHost, Path: PoolPath}},
	}
	for _, s := range written {
		load.Addrs, load.Admins = append(load.Addrs, s.Front), append(load.Admins, s.Admin)
	}
	return plan.WriteJSON(filepath.Join(dir, "load.jsonc"), load)
}

// WriteGateways writes the settings of gateways on this machine at free ports, each to
// DIR/NAME.jsonc, and returns them in order. store returns the address at which a VM has the
// store.
func WriteGateways(dir string, names []string, grace time.Duration, store func(name string) (string, error)) ([]gateway.Settings, error) {
	ports, err := plan.FreePorts(len(names)*portsPerVM, make(map[string]bool))
	if err != nil {
		return nil, err
	}
	out := make([]gateway.Settings, len(names))
	for i, name := range names {
		addr, err := store(name)
		if err != nil {
			return nil, err
		}
		own := ports[i*portsPerVM:]
		s := gateway.Settings{Front: own[0], Ready: own[1], Peers: own[2], Store: addr, Grace: model.Duration(grace)}
		s.VM, s.DataCentre, s.Admin = name, "a", own[3]
		if err := plan.WriteJSON(filepath.Join(dir, name+".jsonc"), s); err != nil {
			return nil, err
		}
		out[i] = s
	}
	return out, nil
}
