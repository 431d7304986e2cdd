package mesh

import "math/bits"

// Member is one life of a VM's daemon. Names on the wire are short: heartbeats between
// data centres were a quarter of all bytes there.
type Member struct {
	VM         string `msgpack:"v"`
	Addr       string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	// Incarnation rises with every start.
	Incarnation uint64 `msgpack:"i"`
	// LinkMbps is the speed of the VM's link, Mbit/s; 0 where it is not known.
	LinkMbps uint32 `msgpack:"l"`
}

// LinkClass is the same for links whose speeds differ little: by less than a factor of two.
func (m Member) LinkClass() int { return bits.Len32(m.LinkMbps) }

const (
	// unknownLinkMbps is assumed for a link whose speed is not known.
	unknownLinkMbps = 100
	// BytesPerMbit is the number of bytes in a megabit.
	BytesPerMbit = 1e6 / 8
)

// LinkBytesPerSecond returns how much the VM's link carries.
func (m Member) LinkBytesPerSecond() float64 {
	if m.LinkMbps == 0 {
		return unknownLinkMbps * BytesPerMbit
	}
	return float64(m.LinkMbps) * BytesPerMbit
}

// LeaseVersion is the version of a service's leases that a VM knows.
type LeaseVersion struct {
	Service string `msgpack:"s"`
	Epoch   uint64 `msgpack:"e"`
	Seq     uint64 `msgpack:"q"`
}

// Load is how many requests of a VM are at a target: the upper 24 bits are a hash
// of the target's id, the lower 8 the number.
type Load uint32

// maxLoad is the largest number that a Load holds.
const maxLoad = 1<<8 - 1

// NewLoad returns the load of a target, by a hash of its id.
func NewLoad(hash uint32, requests int) Load {
	return Load(hash&^maxLoad | uint32(min(requests, maxLoad)))
}

func (l Load) target() uint32 { return uint32(l) &^ maxLoad }

func (l Load) requests() int { return int(l & maxLoad) }

// Heartbeat is what a VM reports of itself to the others.
type Heartbeat struct {
	From    Member `msgpack:"f"`
	Leaving bool   `msgpack:"l"`
	// Brief heartbeats carry no leases, loads and crashes: the receiver keeps those of the
	// last full one.
	Brief bool `msgpack:"b"`
	// StoreLost says that the sender does not reach the platform's store.
	StoreLost bool `msgpack:"x"`
	// StoreRelayed says that the store has lately answered the sender through another VM.
	StoreRelayed    bool   `msgpack:"y"`
	ConfigVersion   uint64 `msgpack:"c"`
	TargetsRevision uint64 `msgpack:"t"`
	// Targets is how many the sender lists.
	Targets uint16         `msgpack:"n"`
	Leases  []LeaseVersion `msgpack:"m"`
	Loads   []Load         `msgpack:"o"`
	// Crashes are the requests that seem to crash targets.
	Crashes []Crash `msgpack:"r"`
}

// brief returns the heartbeat without what it carries of leases, targets and requests.
func (b Heartbeat) brief() Heartbeat {
	b.Brief = true
	b.Leases, b.Loads, b.Crashes = nil, nil, nil
	return b
}

// withDetailsOf returns a brief heartbeat with the rest of the last one.
func (b Heartbeat) withDetailsOf(last Heartbeat) Heartbeat {
	if b.Brief {
		b.Leases, b.Loads, b.Crashes = last.Leases, last.Loads, last.Crashes
	}
	return b
}

// Crash names the targets that ended while they ran a request, by hashes of the
// request's content and of the targets' ids.
type Crash struct {
	Content uint64   `msgpack:"c"`
	Targets []uint32 `msgpack:"t"`
}

// LoadKey returns the key of a target in Loads, by the hash of its id.
func LoadKey(hash uint32) uint32 { return hash &^ maxLoad }
