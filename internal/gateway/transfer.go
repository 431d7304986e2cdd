package gateway

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hemlockquay/internal/catalog"
	"hemlockquay/internal/packed"
)

const (
	// transferShare is the part of the link that transfers to other VMs may take up:
	// requests and heartbeats share it.
	transferShare = 0.5
	// transferBurst is how long the link may be taken up by transfers in one go, at its
	// full speed.
	transferBurst = 250 * time.Millisecond
	// maxHolders bounds the VMs that a busy VM names as other sources.
	maxHolders = 16
)

// FetchArgs asks for a value.
type FetchArgs struct {
	// Requester is the VM that asks.
	Requester string `msgpack:"f"`
	// HaveVersion is the version that it has, 0 for none.
	HaveVersion uint64 `msgpack:"h"`
}

// FetchReply is a value, or says why there is none.
type FetchReply struct {
	// Busy says that the link is taken up by transfers to others.
	Busy bool `msgpack:"b"`
	// Holders are VMs that have got the value from here.
	Holders []string `msgpack:"h"`
	// Data is the packed value.
	Data []byte `msgpack:"d"`
	// Changes are sent instead where the receiver's version of the targets is known. They
	// are few, and packing them would cost more than it saves.
	Changes *catalog.Changes `msgpack:"c"`
}

// transfers sends large values to other VMs: each version is packed once, and all together
// take up a part of the link. It is safe for concurrent use.
//
// Without the bound, a VM that many ask at once sends to all of them, and all time out.
type transfers struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	values map[string]*packedValue
}

// valueVersion is a version of a value. A list may lose entries without a new revision.
type valueVersion struct {
	revision uint64
	entries  int
}

// packedValue is the latest version of a value that was sent.
type packedValue struct {
	version valueVersion
	data    []byte
	holders []string
}

// newTransfers returns transfers over a link that carries so many bytes a second.
func newTransfers(bytesPerSecond float64) *transfers {
	burst := bytesPerSecond * transferBurst.Seconds()
	return &transfers{
		limiter: rate.NewLimiter(rate.Limit(transferShare*bytesPerSecond), int(burst)),
		values:  make(map[string]*packedValue),
	}
}

// reply replies with a version of a value, or that the link is busy. get returns the value.
func (t *transfers) reply(name string, version valueVersion, requester string, get func() any) (FetchReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, err := t.packLocked(name, version, get)
	if err != nil {
		return FetchReply{}, err
	}
	if !t.allow(len(v.data)) {
		return FetchReply{Busy: true, Holders: slices.Clone(v.holders)}, nil
	}
	v.holders = append(v.holders, requester)
	v.holders = v.holders[max(0, len(v.holders)-maxHolders):]
	return FetchReply{Data: v.data}, nil
}

// allow reports whether the link has room for so many bytes, and takes it. A value that is
// larger than the burst is sent when there is room for a burst.
func (t *transfers) allow(size int) bool {
	return t.limiter.AllowN(time.Now(), min(size, t.limiter.Burst()))
}

func (t *transfers) packLocked(name string, version valueVersion, get func() any) (*packedValue, error) {
	if v := t.values[name]; v != nil && v.version == version {
		return v, nil
	}
	data, err := packed.Encode(get())
	if err != nil {
		return nil, err
	}
	v := &packedValue{version: version, data: data}
	t.values[name] = v
	return v, nil
}
