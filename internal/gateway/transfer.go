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
	// transferShare is the fraction of the link that transfers to other VMs may use, because
	// requests and heartbeats use the same link.
	transferShare = 0.5
	// transferBurst is how long transfers may use the whole link without a pause.
	transferBurst = 250 * time.Millisecond
	// maxHolders bounds the number of VMs that a busy VM names as other sources.
	maxHolders = 16
)

// FetchArgs asks for a newer version of a value.
type FetchArgs struct {
	// Requester is the VM that asks.
	Requester string `msgpack:"f"`
	// HaveVersion is the version that the requester has, 0 if it has none.
	HaveVersion uint64 `msgpack:"h"`
}

// FetchReply holds the value, or says why it is not sent.
type FetchReply struct {
	// Busy reports whether the link is used up by transfers to other VMs.
	Busy bool `msgpack:"b"`
	// Holders are VMs that have received the value from the sender.
	Holders []string `msgpack:"h"`
	// Data is the packed value.
	Data []byte `msgpack:"d"`
	// Changes is sent instead of Data if the changes since the requester's version of the targets
	// are known. They are so few that packing would cost more than it saves.
	Changes *catalog.Changes `msgpack:"c"`
}

// transfers sends large values to other VMs. It packs each version once and limits the share of
// the link that all transfers together use. It is safe for concurrent use.
//
// Without the limit, a VM that many others ask at the same time would send to all of them at once,
// and all the transfers would time out.
type transfers struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	values map[string]*packedValue
}

// valueVersion is the version of a value. A list may lose entries without a new revision.
type valueVersion struct {
	revision uint64
	entries  int
}

// packedValue is the latest version of a value that was sent, with the VMs that received it.
type packedValue struct {
	version valueVersion
	data    []byte
	holders []string
}

// newTransfers returns transfers over a link of the given capacity.
func newTransfers(bytesPerSecond float64) *transfers {
	burst := bytesPerSecond * transferBurst.Seconds()
	return &transfers{
		limiter: rate.NewLimiter(rate.Limit(transferShare*bytesPerSecond), int(burst)),
		values:  make(map[string]*packedValue),
	}
}

// reply returns the reply that sends a version of a value to the requester, or one that says that
// the link is busy. get returns the value.
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

// allow reports whether size bytes may be sent now, and counts them if so. For a value larger than
// the burst, capacity for one burst is enough.
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
