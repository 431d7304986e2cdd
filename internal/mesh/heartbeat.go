package mesh

import (
	"math/bits"
	"time"

	"hemlockquay/internal/decide/freshness"
	"hemlockquay/internal/decide/permit"
)

// Member is one incarnation of a VM's daemon. Field names on the wire are short, because
// heartbeats made up a quarter of all bytes between data centres.
type Member struct {
	VM         string `msgpack:"v"`
	Addr       string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	// Incarnation increases with each start of the daemon.
	Incarnation uint64 `msgpack:"i"`
	// LinkMbps is the speed of the VM's link in Mbit/s, or 0 if unknown.
	LinkMbps uint32 `msgpack:"l"`
}

// LinkClass returns the binary order of magnitude of the link's speed. Links of the same class
// differ by less than a factor of two.
func (m Member) LinkClass() int { return bits.Len32(m.LinkMbps) }

const (
	// unknownLinkMbps is the speed assumed for a link of unknown speed.
	unknownLinkMbps = 100
	BytesPerMbit    = 1e6 / 8
)

// LinkBytesPerSecond returns the speed of the VM's link.
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

// Load is the number of requests that a VM has in flight at a target. The upper 24 bits are
// a hash of the target's id, the lower 8 bits the number.
type Load uint32

// maxLoad is the largest number that a Load holds.
const maxLoad = 1<<8 - 1

// NewLoad returns the load of the target whose id has the given hash. A number above maxLoad is
// reduced to it.
func NewLoad(hash uint32, requests int) Load {
	return Load(hash&^maxLoad | uint32(min(requests, maxLoad)))
}

func (l Load) target() uint32 { return uint32(l) &^ maxLoad }

func (l Load) requests() int { return int(l & maxLoad) }

// Heartbeat is the state that a VM reports to the other VMs.
type Heartbeat struct {
	From    Member `msgpack:"f"`
	Leaving bool   `msgpack:"l"`
	// Brief heartbeats omit leases, loads, crashes and unreached targets. The receiver keeps those
	// of the last full heartbeat.
	Brief bool `msgpack:"b"`
	// StoreLost says that the sender does not reach the platform's store directly.
	StoreLost bool `msgpack:"x"`
	// StoreRelayed says that the store has recently answered the sender through another VM.
	StoreRelayed bool `msgpack:"y"`
	// StoreAnswered says that the store has answered the sender directly within the last seconds. A sender that
	// neither says this nor StoreLost has not called the store lately.
	StoreAnswered   bool   `msgpack:"p"`
	ConfigVersion   uint64 `msgpack:"c"`
	TargetsRevision uint64 `msgpack:"t"`
	// ConfigMark, TargetsMark and EvacuationsMark are the latest confirmations by the store that the sender knows
	// of, its own or those of others.
	ConfigMark      freshness.Mark `msgpack:"k,omitempty"`
	TargetsMark     freshness.Mark `msgpack:"j,omitempty"`
	EvacuationsMark freshness.Mark `msgpack:"q,omitempty"`
	// Evacuated lists the evacuated data centres, as of EvacuationsRevision.
	EvacuationsRevision uint64       `msgpack:"z,omitempty"`
	Evacuated           []Evacuation `msgpack:"e,omitempty"`
	// Returns lists the data centres that were taken back lately.
	Returns []Return `msgpack:"a,omitempty"`
	// SentMs is the sender's clock when it sent the heartbeat, in milliseconds. EchoMs is a lower bound of the receiver's
	// clock at that time, from the receiver's last heartbeat, or 0 if the sender knows none.
	SentMs uint64 `msgpack:"i,omitempty"`
	EchoMs uint64 `msgpack:"g,omitempty"`
	// Targets is the number of targets that the sender knows.
	Targets uint16         `msgpack:"n"`
	Leases  []LeaseVersion `msgpack:"m"`
	Loads   []Load         `msgpack:"o"`
	// Crashes are the requests that are suspected of crashing targets.
	Crashes []Crash `msgpack:"r"`
	// KnowsStandbys says that the sender takes over records of leases that name standbys correctly.
	KnowsStandbys bool `msgpack:"d,omitempty"`
	// CutOff says that the sender reaches no target.
	CutOff bool `msgpack:"u"`
	// TargetReports are what targets have said of themselves in responses to the sender.
	TargetReports []TargetReport `msgpack:"h,omitempty"`
	// Unreached lists the targets to which the sender opens no connections, by the hashes of their
	// ids.
	Unreached []uint32 `msgpack:"w"`
}

// brief returns the heartbeat without the details that brief heartbeats omit.
func (b Heartbeat) brief() Heartbeat {
	b.Brief = true
	b.Leases, b.Loads, b.Crashes, b.Unreached = nil, nil, nil, nil
	return b
}

// withDetailsOf returns the heartbeat. If it is brief, its details are those of the last one.
func (b Heartbeat) withDetailsOf(last Heartbeat) Heartbeat {
	if b.Brief {
		b.Leases, b.Loads, b.Crashes, b.Unreached = last.Leases, last.Loads, last.Crashes, last.Unreached
	}
	return b
}

// TargetReport is what one incarnation of a target has said of itself to a VM, as that VM tells others.
type TargetReport struct {
	Target string `msgpack:"t"`
	Born   int64  `msgpack:"b"`
	// Limit is empty if the VM has not heard of a limit.
	Limit permit.Report `msgpack:"r"`
	// Leaving reports whether the target said that it leaves.
	Leaving bool `msgpack:"l,omitempty"`
	// RestLeft is for how long the VM sends the target no requests, because it refuses them.
	RestLeft time.Duration `msgpack:"w,omitempty"`
}

// Evacuation is an evacuated data centre.
type Evacuation struct {
	DataCentre string `msgpack:"d"`
	// AgeMs is the time since a VM first learned of the evacuation, in milliseconds.
	AgeMs uint32 `msgpack:"a"`
}

// Return is the end of an evacuation of a data centre.
type Return struct {
	DataCentre string `msgpack:"d"`
	// Revision is a revision of the store as of which the evacuation had ended.
	Revision uint64 `msgpack:"r"`
	// AgeMs is the time since then, in milliseconds.
	AgeMs uint32 `msgpack:"a"`
}

// Crash lists the targets whose process ended while it ran a request. The request is identified
// by a hash of its content, the targets by hashes of their ids.
type Crash struct {
	Content uint64   `msgpack:"c"`
	Targets []uint32 `msgpack:"t"`
}

// LoadKey returns the key in Mesh.Loads of the target whose id has the given hash.
func LoadKey(hash uint32) uint32 { return hash &^ maxLoad }
