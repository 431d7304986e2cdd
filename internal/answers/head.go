package answers

import (
	"bytes"
	"fmt"
	"net/http"
)

// headState is the part of a head that the next byte belongs to.
type headState int

const (
	// passed: no head is expected. What is received is a body, or is not looked at.
	passed headState = iota
	beforeStatus
	inVersion
	inStatus
	inReason
	beforeName
	inName
	inValue
	// atEnd: a CR where a name may begin, which must be that of the line that ends the head.
	atEnd
)

const (
	statusDigits = 3
	maxStatus    = 599
)

// head checks the head of an answer as it arrives, interim answers before it included. It finds what the parser of net/http accepts,
// and leaves the rest to it.
type head struct {
	state headState
	// began is set when the first byte has been received.
	began  bool
	status [statusDigits]byte
	digits int
}

// scan checks the next bytes. The error is ErrBroken.
func (h *head) scan(p []byte) error {
	h.began = h.began || len(p) > 0 && h.state != passed
	for len(p) > 0 && h.state != passed {
		if h.state == inReason || h.state == inValue {
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				return nil
			}
			h.state, p = beforeName, p[end+1:]
			continue
		}
		if err := h.next(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// next checks a byte of a status or of a name.
func (h *head) next(b byte) error {
	switch h.state {
	case beforeStatus, inVersion:
		return h.nextOfVersion(b)
	case inStatus:
		return h.nextOfStatus(b)
	case beforeName, inName:
		return h.nextOfName(b)
	case atEnd:
		if b != '\n' {
			return fmt.Errorf("%w: byte %q in the name of a field", ErrBroken, '\r')
		}
		h.endOfHead()
	}
	return nil
}

func (h *head) nextOfVersion(b byte) error {
	switch {
	case b == '\n':
		return fmt.Errorf("%w: no status", ErrBroken)
	case b == ' ':
		h.state, h.digits = inStatus, 0
	default:
		h.state = inVersion
	}
	return nil
}

func (h *head) nextOfStatus(b byte) error {
	if h.digits == 0 && b == ' ' {
		return nil
	}
	if h.digits < statusDigits {
		if b < '0' || b > '9' {
			return fmt.Errorf("%w: byte %q in the status", ErrBroken, b)
		}
		h.status[h.digits] = b
		h.digits++
		return nil
	}
	if b != ' ' && b != '\r' && b != '\n' {
		return fmt.Errorf("%w: byte %q behind the status %s", ErrBroken, b, h.status)
	}
	if status := h.code(); !interim(status) && !final(status) {
		return fmt.Errorf("%w: status %s", ErrBroken, h.status)
	}
	h.state = inReason
	if b == '\n' {
		h.state = beforeName
	}
	return nil
}

func (h *head) nextOfName(b byte) error {
	switch {
	case h.state == beforeName && b == '\r':
		h.state = atEnd
	case h.state == beforeName && b == '\n':
		h.endOfHead()
	case h.state == inName && b == ':':
		h.state = inValue
	case !isTokenByte(b):
		return fmt.Errorf("%w: byte %q in the name of a field", ErrBroken, b)
	default:
		h.state = inName
	}
	return nil
}

// endOfHead ends a head. The one of the final answer follows that of an interim answer.
func (h *head) endOfHead() {
	h.state = passed
	if interim(h.code()) {
		h.state = beforeStatus
	}
}

func (h *head) code() int {
	return 100*int(h.status[0]-'0') + 10*int(h.status[1]-'0') + int(h.status[2]-'0')
}

// interim reports whether a final answer follows one with this status. After a switch of protocols, which no client here asks for, none
// does.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

func final(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isTokenByte reports whether a byte may be part of the name of a field (RFC 9110, 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// Check reports why an answer that another process has read is broken: its status is that of no final answer, or the name of a field is
// malformed. The error is ErrBroken.
func Check(status int, header http.Header) error {
	if !final(status) {
		return fmt.Errorf("%w: status %d", ErrBroken, status)
	}
	for name := range header {
		for i := range len(name) {
			if !isTokenByte(name[i]) {
				return fmt.Errorf("%w: byte %q in the name of a field", ErrBroken, name[i])
			}
		}
		if name == "" {
			return fmt.Errorf("%w: a field without a name", ErrBroken)
		}
	}
	return nil
}
