package leasing

import "math"

// KeyLoad is the load of a keyed service that a VM has counted since it was last asked.
type KeyLoad struct {
	// Requests[i] is the number of requests for Keys[i].
	Keys     []uint16 `msgpack:"k"`
	Requests []uint16 `msgpack:"r"`
	// Targets are hashes of target ids. Slowness[i] is the slowness of Targets[i] in hundredths.
	Targets  []uint32 `msgpack:"t"`
	Slowness []uint16 `msgpack:"s"`
}

const hundredths = 100

// AddTarget adds the slowness of a target.
func (l *KeyLoad) AddTarget(hash uint32, slowness float64) {
	l.Targets = append(l.Targets, hash)
	l.Slowness = append(l.Slowness, uint16(min(slowness*hundredths, math.MaxUint16)))
}
