package leasing

import (
	"math"

	"hemlockquay/internal/decide/pick"
)

// KeyLoad is the load of a keyed service that a VM has counted since it was last asked.
type KeyLoad struct {
	// Requests[i] is the number of requests for Keys[i].
	Keys     []uint16 `msgpack:"k"`
	Requests []uint16 `msgpack:"r"`
	// Targets are hashes of the ids of the targets that have answered. Slowness[i] is the mean slowness of
	// the Answers[i] answers of Targets[i], in hundredths.
	Targets  []uint32 `msgpack:"t"`
	Slowness []uint16 `msgpack:"s"`
	Answers  []uint8  `msgpack:"a"`
}

const hundredths = 100

// AddTarget adds the answers of a target.
func (l *KeyLoad) AddTarget(hash uint32, m pick.Measured) {
	l.Targets = append(l.Targets, hash)
	l.Slowness = append(l.Slowness, uint16(min(m.Slowness()*hundredths, math.MaxUint16)))
	l.Answers = append(l.Answers, uint8(min(m.Answers, math.MaxUint8)))
}

// normalize prepares a report from another VM for use and reports whether its lists have the same lengths. An
// earlier version reports all targets without the number of their answers, most of which it never used; its
// reports of targets are ignored.
func (l *KeyLoad) normalize() (valid bool) {
	if len(l.Answers) == 0 {
		l.Targets, l.Slowness = nil, nil
	}
	return len(l.Requests) == len(l.Keys) && len(l.Slowness) == len(l.Targets) && len(l.Answers) == len(l.Targets)
}
