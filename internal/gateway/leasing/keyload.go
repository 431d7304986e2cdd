package leasing

import "math"

// KeyLoad is what a VM has seen of a keyed service since it was last asked.
type KeyLoad struct {
	// Keys and Requests run in parallel.
	Keys     []uint16 `msgpack:"k"`
	Requests []uint16 `msgpack:"r"`
	// Targets are hashes of ids, Slowness how slow each is, in hundredths.
	Targets  []uint32 `msgpack:"t"`
	Slowness []uint16 `msgpack:"s"`
}

const hundredths = 100

// AddTarget adds how slow a target is.
func (l *KeyLoad) AddTarget(hash uint32, slowness float64) {
	l.Targets = append(l.Targets, hash)
	l.Slowness = append(l.Slowness, uint16(min(slowness*hundredths, math.MaxUint16)))
}
