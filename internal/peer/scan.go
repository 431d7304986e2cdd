package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
)

// maxDepth bounds how deep the arrays and maps of a message are nested. The decoder calls itself for each level, also for
// what it skips.
const maxDepth = 64

// keptBuffer is the size up to which the buffer of a message is kept for the next one.
const keptBuffer = 64 << 10

// scanner reads whole messages from a connection. Unlike the decoder, which trusts announced lengths, it takes memory only
// for what has arrived.
type scanner struct {
	in     *bufio.Reader
	buffer []byte
	// limit bounds the message that is being read in bytes.
	limit int
}

// next returns the bytes of the next message, of limit bytes at the most. They are valid until the call after it.
func (s *scanner) next(limit int) ([]byte, error) {
	s.limit = limit
	if cap(s.buffer) > keptBuffer {
		s.buffer = nil
	}
	s.buffer = s.buffer[:0]
	// left holds the numbers of values that are missing at each level.
	var left [maxDepth]uint64
	depth := 0
	left[0] = 1
	for {
		for left[depth] == 0 {
			if depth == 0 {
				return s.buffer, nil
			}
			depth--
		}
		left[depth]--
		values, err := s.value()
		if err != nil {
			return nil, err
		}
		if values == 0 {
			continue
		}
		if depth++; depth == maxDepth {
			return nil, fmt.Errorf("%w: over %d levels", errMessageTooLarge, maxDepth)
		}
		left[depth] = values
	}
}

// Codes of MessagePack.
const (
	maxPositiveInt, firstMap, firstArray, firstText, firstNegativeInt = 0x7f, 0x80, 0x90, 0xa0, 0xe0
	codeNil, codeUnused                                               = 0xc0, 0xc1
)

// lengthBytes and fixedBytes are the sizes in bytes of the length or of the content that follows a code.
var (
	lengthBytes = map[byte]int{0xc4: 1, 0xc5: 2, 0xc6: 4, 0xc7: 1, 0xc8: 2, 0xc9: 4, 0xd9: 1, 0xda: 2, 0xdb: 4, 0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4}
	fixedBytes  = map[byte]uint64{
		0xca: 4, 0xcb: 8, 0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, 0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
		0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17,
	}
)

// value reads a value without the values inside it, and returns the number of those.
func (s *scanner) value() (values uint64, err error) {
	code, err := s.in.ReadByte()
	if err != nil {
		return 0, err
	}
	if len(s.buffer) >= s.limit {
		return 0, fmt.Errorf("%w: over %d bytes", errMessageTooLarge, s.limit)
	}
	s.buffer = append(s.buffer, code)
	switch {
	case code <= maxPositiveInt, code >= firstNegativeInt:
		return 0, nil
	case code < firstArray:
		return 2 * uint64(code-firstMap), nil
	case code < firstText:
		return uint64(code - firstArray), nil
	case code < codeNil:
		return 0, s.take(uint64(code - firstText))
	case code == codeUnused:
		return 0, fmt.Errorf("code %x in a message", code)
	}
	n, ok := fixedBytes[code]
	if ok {
		return 0, s.take(n)
	}
	size := lengthBytes[code]
	if size == 0 {
		// nil, false or true.
		return 0, nil
	}
	if err := s.take(uint64(size)); err != nil {
		return 0, err
	}
	var digits [8]byte
	copy(digits[8-size:], s.buffer[len(s.buffer)-size:])
	n = binary.BigEndian.Uint64(digits[:])
	switch code {
	case 0xdc, 0xdd:
		return n, nil
	case 0xde, 0xdf:
		return 2 * n, nil
	case 0xc7, 0xc8, 0xc9:
		// The type of an extension stands before its content.
		n++
	}
	return 0, s.take(n)
}

// take appends n bytes to the buffer as they arrive.
func (s *scanner) take(n uint64) error {
	if n > uint64(s.limit) || len(s.buffer)+int(n) > s.limit {
		return fmt.Errorf("%w: over %d bytes", errMessageTooLarge, s.limit)
	}
	for n > 0 {
		if _, err := s.in.Peek(1); err != nil {
			return err
		}
		part, err := s.in.Peek(int(min(n, uint64(s.in.Buffered()))))
		if err != nil {
			return err
		}
		s.buffer = append(s.buffer, part...)
		n -= uint64(len(part))
		if _, err := s.in.Discard(len(part)); err != nil {
			return err
		}
	}
	return nil
}
