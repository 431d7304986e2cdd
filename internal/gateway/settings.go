// Package gateway is the daemon that runs on every entry VM. It receives callers' requests, sends
// them to the targets of their routes, and maintains the leases of keyed services together with
// the other VMs.
//
// It starts goroutines, uses the network and reads the store. The only object that it writes
// itself is the VM's own. Package leasing, below this one, grants the leases and writes their
// records. Package published holds the leases that request handling reads; it has no goroutines
// and uses neither network nor store.
package gateway

import (
	"math"
	"net/netip"
	"time"

	"hemlockquay/internal/budget"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/gateway/leasing"
	"hemlockquay/internal/model"
	"hemlockquay/internal/settings"
)

// Settings are the settings of hq-gateway.
type Settings struct {
	daemon.Base
	// Front is the IP:PORT that callers connect to.
	Front string `json:"front"`
	// Ready is the IP:PORT of the readiness check for the load balancer.
	Ready string `json:"ready"`
	// Peers is the IP:PORT that other VMs connect to.
	Peers string `json:"peers"`
	// Seeds are the addresses of other VMs to contact before the store has been read.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the IP:PORT of the platform's object store.
	Store string `json:"store"`
	// TargetSource is the local IP address of connections to targets. Default: the system chooses it.
	TargetSource string `json:"targetSource,omitempty"`
	// Grace is the time from SIGTERM until the process is killed. Default 6s.
	Grace model.Duration `json:"grace,omitempty"`
	// HoldMost is the longest hold time of a lease that targets accept. Default 10s.
	HoldMost model.Duration `json:"holdMost,omitempty"`
	// LinkMbps is the speed of the VM's network link in Mbit/s. VMs with much faster links are
	// preferred for duties that serve all VMs. Default 0: not known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// MemoryMB is the VM's memory in MB. The limits of memory follow from it. Default 256.
	MemoryMB float64 `json:"memoryMB,omitempty"`
	// Limits bounds what all requests together take of the VM.
	Limits Limits `json:"limits,omitzero"`
	// GCPercent is the growth of the heap, in percent of the memory in use, that starts a garbage
	// collection. Default 30: compared with 100, a VM peaks at 18.5 MB instead of 24.8 MB and uses
	// 0.7% more of a core.
	GCPercent int `json:"gcPercent,omitempty"`
	// EvacuateWithin is the time within which a data centre must get no more requests after operators
	// have evacuated it. Default 0: data centres are not evacuated, and the store is not asked for it.
	EvacuateWithin model.Duration `json:"evacuateWithin,omitempty"`
	// Warmup limits the requests that all VMs together send to a cold target.
	Warmup Warmup `json:"warmup,omitzero"`
	// Regions holds the region of each data centre. A data centre that is missing here is in no region, so
	// requests that must stay in some regions are not processed there.
	Regions map[string]string `json:"regions,omitempty"`
	// Repeats limits the requests that are sent to a service more than once.
	Repeats Repeats `json:"repeats,omitzero"`
	// Places makes requests wait for room at the owners of keys.
	Places OwnerPlaces `json:"places,omitzero"`
	// Spread bounds how the keys of a service are spread over its targets.
	Spread Spread `json:"spread,omitzero"`
	// Pipeline lets the requests that callers pipeline on one connection run at the same time.
	Pipeline Pipeline `json:"pipeline,omitzero"`

	// source is the file that the settings were read from.
	source string
}

// SetSource implements daemon.Reloadable.
func (s *Settings) SetSource(file string) { s.source = file }

// Limits bounds what the requests of callers and other VMs, and the connections for them, take of the VM. Changes need a
// restart.
type Limits struct {
	// RequestMemoryMB is the memory in MB of all requests, with their heads, bodies, responses and connections. What has no
	// room is refused. Default: 0.6 of what MemoryMB leaves beside 32 MB for the rest of the process, but at least a quarter
	// of MemoryMB.
	RequestMemoryMB float64 `json:"requestMemoryMB,omitempty"`
	// Descriptors is the number of descriptors that the process may have. Seven eighths of them are for connections of
	// callers, three quarters at the most, and to targets, half at the most; the rest is for other VMs, the store and files.
	// Default: the limit that the system sets for the process (RLIMIT_NOFILE).
	Descriptors int `json:"descriptors,omitempty"`
	// ReceiveBuffer is the number of bytes that the system may receive on a connection of a caller or to a target before they
	// are read, which also bounds the bytes on the way. Default 65536: 20 MB/s at a round trip of 3 ms.
	ReceiveBuffer int `json:"receiveBuffer,omitempty"`
	// ReadyConnections is the number of connections to the address of the readiness check. Default 64.
	ReadyConnections int `json:"readyConnections,omitempty"`
}

const (
	// processMB is the memory in MB of a process without requests.
	processMB = 32
	// requestMemoryFactor leaves memory for the growth of the heap between collections and for bytes that the system has
	// received.
	requestMemoryFactor = 0.6
	// minRequestMemoryShare is the least fraction of the VM's memory for requests.
	minRequestMemoryShare = 0.25
	// heapLimitShare is the fraction of the VM's memory from which the heap is collected more often than GCPercent says.
	heapLimitShare = 0.65
)

// requestMemoryBytes returns the bound of the memory of all requests in bytes.
func (s *Settings) requestMemoryBytes() int64 {
	if s.Limits.RequestMemoryMB > 0 {
		return int64(s.Limits.RequestMemoryMB * (1 << 20))
	}
	return int64(max((s.MemoryMB-processMB)*requestMemoryFactor, s.MemoryMB*minRequestMemoryShare) * (1 << 20))
}

// memoryShare returns a fraction of the VM's memory in bytes.
func (s *Settings) memoryShare(fraction float64) int64 {
	return int64(s.MemoryMB * fraction * (1 << 20))
}

// heapLimitBytes returns the limit of the memory of the Go runtime in bytes.
func (s *Settings) heapLimitBytes() int64 { return s.memoryShare(heapLimitShare) }

// descriptors returns the number of descriptors of the process.
func (s *Settings) descriptors() int64 { return budget.Descriptors(s.Limits.Descriptors) }

// connectionDescriptors returns the number of descriptors for connections of callers and to targets.
func (s *Settings) connectionDescriptors() int64 { return s.descriptors() - s.descriptors()/8 }

// descriptorShare returns a fraction of the descriptors of the process.
func (s *Settings) descriptorShare(fraction float64) int64 {
	return int64(float64(s.descriptors()) * fraction)
}

// Warmup limits the requests that all VMs together send to a cold target in a second, to Ratio times what
// the target tolerates plus Slack.
type Warmup struct {
	// Ratio is a factor of the rate that the service's configuration states. Default 0: no limit.
	Ratio float64 `json:"ratio,omitempty"`
	// Slack is the number of requests per second allowed in addition. Default 0.
	Slack float64 `json:"slack,omitempty"`
}

// OwnerPlaces makes one VM for each owner of keys count the requests of all VMs there, and keep the others waiting in order.
type OwnerPlaces struct {
	// FromVMs is the number of VMs from which on this is done. In a smaller fleet, heartbeats tell each VM of the
	// requests of the others before they end. Default 0: never.
	FromVMs int `json:"fromVMs,omitempty"`
}

// Spread bounds how the keys of a service are spread over its targets as the load of keys changes. Changes need a restart.
type Spread struct {
	// Moves is the number of ranges of keys that get another owner in one decision. Default 12.
	Moves int `json:"moves,omitempty"`
	// Ranges is the number of ranges up to which the keys of a service are divided. Each range is renewed by a call of
	// its own. Default 1024.
	Ranges int `json:"ranges,omitempty"`
	// Surges makes ranges that suddenly become hot be divided and moved in one decision, by the requests of the last
	// two queries of all VMs. Default false: by an average over 1.2 s, and one division at a time.
	Surges bool `json:"surges,omitempty"`
}

// Pipeline bounds what one caller's connection may occupy. Changes need a restart.
type Pipeline struct {
	// Requests is the number of requests of a connection that run at the same time. Default 0: callers' connections are
	// served one request at a time.
	Requests int `json:"requests,omitempty"`
	// ReadAhead is the number of bytes of further requests that are read while the first ones run. Default 16384.
	ReadAhead int `json:"readAhead,omitempty"`
	// WriteTimeout is the time in which a caller must read 16 KiB of a response. Default 10s.
	WriteTimeout model.Duration `json:"writeTimeout,omitempty"`
}

// Repeats limits the requests that all VMs together send to a service again.
type Repeats struct {
	// Ratio is the number of repeats allowed per request. Default 0.1.
	Ratio float64 `json:"ratio,omitempty"`
	// Slack is the number of repeats allowed in addition. Default 10.
	Slack float64 `json:"slack,omitempty"`
	// Window is the time over which requests and repeats are counted. Default 10s.
	Window model.Duration `json:"window,omitempty"`
}

// Defaults and lower bounds of the settings.
const (
	defaultGrace            = model.Duration(6 * time.Second)
	defaultHoldMost         = model.Duration(10 * time.Second)
	defaultMemoryMB         = 256
	defaultGCPercent        = 30
	defaultRatio            = 0.1
	defaultSlack            = 10
	defaultWindow           = model.Duration(10 * time.Second)
	defaultReadAhead        = 16 << 10
	defaultReceiveBuffer    = 64 << 10
	defaultReadyConnections = 64
	// defaultWriteTimeout is longer than a lost packet delays a connection, and than callers wait for most responses.
	defaultWriteTimeout = model.Duration(10 * time.Second)
	maxSpreadMoves      = 1024
	// minDescriptors leaves some for the listeners, the store and other VMs.
	minDescriptors = 64
	// minReceiveBuffer has room for a read of a body.
	minReceiveBuffer = 16 << 10
	// The record of a service's leases must fit into an object of the store.
	minRanges, maxRanges = 16, 4096
	// minReadAhead is the size of the request heads that must fit, maxPipelined bounds the goroutines of a connection.
	minReadAhead = 4 << 10
	maxPipelined = 64
	minHold      = model.Duration(time.Second)
	// minEvacuateWithin is the time in which all VMs learn of an evacuation, up to 2.5 s if the store drops its
	// history, plus evacuatedOwnerGrace.
	minEvacuateWithin = model.Duration(4 * time.Second)
)

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := s.CheckBase(); err != nil {
		return err
	}
	for _, a := range []struct{ pointer, addr string }{
		{"/front", s.Front}, {"/ready", s.Ready}, {"/peers", s.Peers}, {"/store", s.Store},
	} {
		if err := daemon.CheckAddr(a.pointer, a.addr); err != nil {
			return err
		}
	}
	setDefault(&s.Grace, defaultGrace)
	setDefault(&s.HoldMost, defaultHoldMost)
	setDefault(&s.MemoryMB, defaultMemoryMB)
	setDefault(&s.GCPercent, defaultGCPercent)
	setDefault(&s.Repeats.Ratio, defaultRatio)
	setDefault(&s.Repeats.Slack, defaultSlack)
	setDefault(&s.Repeats.Window, defaultWindow)
	setDefault(&s.Spread.Moves, leasing.DefaultMoves)
	setDefault(&s.Spread.Ranges, leasing.DefaultRanges)
	setDefault(&s.Pipeline.ReadAhead, defaultReadAhead)
	setDefault(&s.Limits.ReceiveBuffer, defaultReceiveBuffer)
	setDefault(&s.Limits.ReadyConnections, defaultReadyConnections)
	setDefault(&s.Pipeline.WriteTimeout, defaultWriteTimeout)
	if _, err := s.targetSource(); err != nil {
		return settings.Invalid("/targetSource", "%v", err)
	}
	switch {
	case s.EvacuateWithin < 0 || s.EvacuateWithin > 0 && s.EvacuateWithin < minEvacuateWithin:
		return settings.Invalid("/evacuateWithin", "%v is under %v", s.EvacuateWithin, minEvacuateWithin)
	case s.Grace < 0:
		return settings.Invalid("/grace", "%v is negative", s.Grace)
	case s.LinkMbps < 0 || s.LinkMbps > math.MaxUint32:
		return settings.Invalid("/linkMbps", "%v is not a speed", s.LinkMbps)
	case s.GCPercent < 1:
		return settings.Invalid("/gcPercent", "%v is under 1", s.GCPercent)
	case s.Limits.RequestMemoryMB < 0 || s.Limits.RequestMemoryMB > s.MemoryMB:
		return settings.Invalid("/limits/requestMemoryMB", "%v is not between 0 and memoryMB", s.Limits.RequestMemoryMB)
	case s.Limits.Descriptors < 0 || s.Limits.Descriptors > 0 && s.Limits.Descriptors < minDescriptors:
		return settings.Invalid("/limits/descriptors", "%d is under %d", s.Limits.Descriptors, minDescriptors)
	case s.Limits.ReceiveBuffer < minReceiveBuffer:
		return settings.Invalid("/limits/receiveBuffer", "%d is under %d", s.Limits.ReceiveBuffer, minReceiveBuffer)
	case s.Limits.ReadyConnections < 1:
		return settings.Invalid("/limits/readyConnections", "%d is under 1", s.Limits.ReadyConnections)
	case s.MemoryMB < 0:
		return settings.Invalid("/memoryMB", "%v is negative", s.MemoryMB)
	case s.HoldMost < minHold:
		return settings.Invalid("/holdMost", "%v is under %v", s.HoldMost, minHold)
	case s.Warmup.Ratio < 0 || s.Warmup.Slack < 0:
		return settings.Invalid("/warmup", "a value is negative")
	case s.Repeats.Ratio < 0 || s.Repeats.Slack < 0 || s.Repeats.Window < 0:
		return settings.Invalid("/repeats", "a value is negative")
	case s.Places.FromVMs < 0:
		return settings.Invalid("/places/fromVMs", "%d is negative", s.Places.FromVMs)
	case s.Spread.Moves < 1 || s.Spread.Moves > maxSpreadMoves:
		return settings.Invalid("/spread/moves", "%d is not between 1 and %d", s.Spread.Moves, maxSpreadMoves)
	case s.Spread.Ranges < minRanges || s.Spread.Ranges > maxRanges:
		return settings.Invalid("/spread/ranges", "%d is not between %d and %d", s.Spread.Ranges, minRanges, maxRanges)
	case s.Pipeline.Requests < 0 || s.Pipeline.Requests > maxPipelined:
		return settings.Invalid("/pipeline/requests", "%d is not between 0 and %d", s.Pipeline.Requests, maxPipelined)
	case s.Pipeline.ReadAhead < minReadAhead:
		return settings.Invalid("/pipeline/readAhead", "%d is under %d", s.Pipeline.ReadAhead, minReadAhead)
	case s.Pipeline.WriteTimeout < 0:
		return settings.Invalid("/pipeline/writeTimeout", "%v is negative", s.Pipeline.WriteTimeout)
	}
	return nil
}

// targetSource returns TargetSource, or an invalid address if it is not set.
func (s *Settings) targetSource() (netip.Addr, error) {
	if s.TargetSource == "" {
		return netip.Addr{}, nil
	}
	return netip.ParseAddr(s.TargetSource)
}

func setDefault[T comparable](value *T, to T) {
	var zero T
	if *value == zero {
		*value = to
	}
}
