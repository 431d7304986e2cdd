package pipeline

import "bytes"

// bodyKind says how the end of a body is found.
type bodyKind int

const (
	sizedBody bodyKind = iota
	chunkedBody
	// endlessBody: it ends with the connection.
	endlessBody
	// malformedBody: it is not formed exactly as RFC 9112 says, so other programs may find its end elsewhere.
	malformedBody
)

// bodyReader finds the end of a body in the bytes that arrive.
type bodyReader struct {
	kind bodyKind
	// left is the number of bytes that are missing of a sized body, or of the data of a chunk.
	left int64
	// state is the position in a chunked body, digits the number of digits of the chunk's size that were read.
	state  chunkState
	digits int
}

// chunkState is what is expected next in a chunked body.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	// trailerLine: the first byte of a trailer line, or the CR of the last line.
	trailerLine
	trailerRest
	trailerRestLF
	lastLF
	chunksDone
)

// maxSizeDigits bounds the digits of a chunk's size, so that it does not overflow.
const maxSizeDigits = 15

// done reports whether the whole body was read.
func (b *bodyReader) done() bool {
	switch b.kind {
	case sizedBody:
		return b.left == 0
	case chunkedBody:
		return b.state == chunksDone
	}
	return false
}

// consume returns how many bytes at the beginning of p belong to the body.
func (b *bodyReader) consume(p []byte) int {
	switch b.kind {
	case sizedBody:
		n := min(int64(len(p)), b.left)
		b.left -= n
		return int(n)
	case chunkedBody:
		return b.consumeChunks(p)
	case malformedBody:
		return 0
	}
	return len(p)
}

func (b *bodyReader) consumeChunks(p []byte) int {
	for i := 0; i < len(p); {
		if b.state == chunkData {
			n := min(int64(len(p)-i), b.left)
			i += int(n)
			if b.left -= n; b.left == 0 {
				b.state = chunkDataCR
			}
			continue
		}
		if !b.next(p[i]) {
			b.kind = malformedBody
			return i
		}
		if i++; b.state == chunksDone {
			return i
		}
	}
	return len(p)
}

// next reads a byte outside the data of chunks. It returns false if the byte must not stand there.
func (b *bodyReader) next(x byte) bool {
	switch b.state {
	case chunkSize:
		return b.nextOfSize(x)
	case chunkExtension:
		if x == '\r' {
			b.state = chunkSizeLF
		}
		return x == '\r' || isFieldByte(x)
	case chunkSizeLF:
		if b.state, b.digits = chunkData, 0; b.left == 0 {
			b.state = trailerLine
		}
		return x == '\n'
	case chunkDataCR:
		b.state = chunkDataLF
		return x == '\r'
	case chunkDataLF:
		b.state = chunkSize
		return x == '\n'
	case trailerLine:
		if b.state = trailerRest; x == '\r' {
			b.state = lastLF
		}
		return x == '\r' || isToken([]byte{x})
	case trailerRest:
		if x == '\r' {
			b.state = trailerRestLF
		}
		return x == '\r' || isFieldByte(x)
	case trailerRestLF:
		b.state = trailerLine
		return x == '\n'
	case lastLF:
		b.state = chunksDone
		return x == '\n'
	}
	return false
}

// nextOfSize reads a byte of the line that begins with the size of a chunk.
func (b *bodyReader) nextOfSize(x byte) bool {
	if digit := bytes.IndexByte([]byte("0123456789abcdef"), lower(x)); digit >= 0 {
		b.left = b.left<<4 | int64(digit)
		b.digits++
		return b.digits <= maxSizeDigits
	}
	if b.digits == 0 {
		return false
	}
	switch x {
	case '\r':
		b.state = chunkSizeLF
		return true
	case ';':
		b.state = chunkExtension
		return true
	}
	return false
}

func lower(x byte) byte {
	if 'A' <= x && x <= 'Z' {
		return x + 'a' - 'A'
	}
	return x
}

// isFieldByte reports whether a byte may stand in an extension or a trailer line.
func isFieldByte(x byte) bool { return x == '\t' || x >= ' ' && x != 0x7f }
