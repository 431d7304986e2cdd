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

// Hosts and path prefixes of the routes in Config.
const (
	KeyedHost, KeyedPath = "k.example", "/k/"
	PoolHost, PoolPath   = "p.example", "/p/"
)

// Headers are the platform's names of the request and response headers.
var Headers = loadgen.GatewayHeaders{RequestID: "X-Request-Id", DeadlineMs: "X-Deadline-Ms", Key: "X-Shard-Key", Stamp: "X-Server-Stamp"}

const config = `{"Version":"%08x","Routes":{
"keyed":{"Host":"k.example","PathPrefix":"/k/","Kind":"idempotent","TimeoutS":5,"SloS":1,"Service":"keyed","MaxAttempts":2},
"pool":{"Host":"p.example","PathPrefix":"/p/","Kind":"non_idempotent","TimeoutS":5,"SloS":1,"Service":"pool","MaxAttempts":2}%s},
"Services":{"keyed":{"HealthPath":"/health","MaxConns":50,"Sharded":true},"pool":{"HealthPath":"/health","MaxConns":50}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`

// Config returns a configuration with one route to a keyed service and one to a service
// without keys. more holds further routes as JSON members, each preceded by a comma.
func Config(version int, more string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(config, version, more))
}

// IdempotentPoolRoute returns a route to the service without keys, for the further routes of Config.
func IdempotentPoolRoute(name, host string) string { return IdempotentRoute(name, host, "pool") }

// IdempotentRoute returns a route to a service, for the further routes of Config.
func IdempotentRoute(name, host, service string) string {
	return fmt.Sprintf(`,%q:{"Host":%q,"PathPrefix":"/","Kind":"idempotent","TimeoutS":5,"SloS":1,"Service":%q,"MaxAttempts":2}`, name, host, service)
}

// ListServer writes the entry of a ready server that is not a Target.
func ListServer(s *Store, id, service, addr string, slots int) {
	s.Set("servers", id, map[string]any{
		"Service": service, "Addr": addr, "Zone": "a", "Version": "v1", "Slots": slots, "State": "ready", "WarmupLeftS": 0, "Seq": 1, "born": 1,
	})
}

const (
	// targetsPerService is the number of targets of each service, slotsPerTarget the number
	// of slots of each target.
	targetsPerService = 3
	slotsPerTarget    = 4
	// targetWork is the service time of a request.
	targetWork = 5 * time.Millisecond
	// gatewayGrace is the time that a gateway has for its graceful shutdown.
	gatewayGrace = 3 * time.Second
	// requestRate is the load in requests per second.
	requestRate = 200
	// portsPerVM counts a gateway's ports: front, ready, peers and admin.
	portsPerVM = 4
)

// RunPlatform simulates the platform for gateways on one machine until the context ends.
// It writes the settings of each gateway to DIR/vm-N.jsonc and the load to
// DIR/load.jsonc. load.jsonc is written last, when the store and the targets are listening.
func RunPlatform(ctx context.Context, dir string, vms int) error {
	store := NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("run platform: listen for the store: %w", err)
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	defer server.Close()
	go func() { _ = server.Serve(listener) }()
	store.Set("config", "main", Config(1, ""))
	for _, target := range newTargets() {
		target.SetWork(targetWork)
		if err := target.Start(store); err != nil {
			return fmt.Errorf("run platform: %w", err)
		}
		defer target.Kill()
	}
	if err := writeSettings(dir, vms, listener.Addr().String()); err != nil {
		return fmt.Errorf("run platform: write settings: %w", err)
	}
	<-ctx.Done()
	return nil
}

func newTargets() []*Target {
	var out []*Target
	for i := range targetsPerService {
		out = append(out,
			&Target{ID: fmt.Sprintf("k-%d", i), Service: "keyed", Zone: "a", Keyed: true, Slots: slotsPerTarget},
			&Target{ID: fmt.Sprintf("p-%d", i), Service: "pool", Zone: "a", Slots: slotsPerTarget})
	}
	return out
}

func writeSettings(dir string, vms int, store string) error {
	names := make([]string, vms)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%d", i+1)
	}
	written, err := WriteGateways(dir, names, gatewayGrace, func(s *gateway.Settings) error {
		s.Store = store
		return nil
	})
	if err != nil {
		return err
	}
	load := loadgen.GatewayLoad{
		Rate: requestRate, Headers: Headers,
		Routes: []loadgen.GatewayRoute{{Host: KeyedHost, Path: KeyedPath, Keyed: true}, {Host: PoolHost, Path: PoolPath}},
	}
	for _, s := range written {
		load.Addrs, load.Admins = append(load.Addrs, s.Front), append(load.Admins, s.Admin)
	}
	return plan.WriteJSON(filepath.Join(dir, "load.jsonc"), load)
}

// WriteGateways assigns free loopback ports to the named gateways, writes the settings of
// each to DIR/NAME.jsonc and returns them in the order of names. customize completes the
// settings of a VM, among them the address at which it reaches the store.
func WriteGateways(dir string, names []string, grace time.Duration, customize func(s *gateway.Settings) error) ([]gateway.Settings, error) {
	ports, err := plan.FreePorts(len(names)*portsPerVM, make(map[string]bool))
	if err != nil {
		return nil, err
	}
	out := make([]gateway.Settings, len(names))
	for i, name := range names {
		own := ports[i*portsPerVM:]
		s := gateway.Settings{Front: own[0], Ready: own[1], Peers: own[2], Grace: model.Duration(grace)}
		s.VM, s.DataCentre, s.Admin = name, "a", own[3]
		if err := customize(&s); err != nil {
			return nil, err
		}
		if err := plan.WriteJSON(filepath.Join(dir, name+".jsonc"), s); err != nil {
			return nil, err
		}
		out[i] = s
	}
	return out, nil
}
