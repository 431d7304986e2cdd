package pipeline

import (
	"bytes"
	"net/http"
	"strconv"
)

// class says how a request may run beside the other requests of its connection.
type class int

const (
	// malformed: the end of the request is not certain, so it is refused.
	malformed class = iota
	// concurrent: the request has a safe method and no body, so it may run beside such requests.
	concurrent
	// exclusive: the request runs when those before it have been answered, and those behind it wait.
	exclusive
)

// frame describes a request.
type frame struct {
	class  class
	method string
	// head is the size of the head in bytes, fields the number of its fields. body is the size of the body unless it is
	// chunked.
	head    int
	fields  int
	body    int64
	chunked bool
	// last reports whether the request is the last one of its connection.
	last bool
	// otherCoding reports whether the request is malformed only because its body has a coding other than chunked.
	otherCoding bool
}

const maxContentLength = 1 << 40

// headScanner finds the end of a head that arrives in pieces. It looks at each byte once.
type headScanner struct {
	// line is where the first line begins that was not received completely, seen how much of it was searched.
	line, seen int
}

// headState is the result of a headScanner.
type headState int

const (
	partialHead headState = iota
	wholeHead
	malformedHead
)

// scan returns the size of the head at the beginning of buf once it is complete. buf begins with what the last scan got.
// Lines must end with CR LF, and the first one must not be empty.
func (s *headScanner) scan(buf []byte) (size int, state headState) {
	if len(buf) > 0 && (buf[0] == '\r' || buf[0] == '\n') {
		return 0, malformedHead
	}
	for {
		i := bytes.IndexByte(buf[s.seen:], '\n')
		if i < 0 {
			s.seen = len(buf)
			return 0, partialHead
		}
		end := s.seen + i
		if end == 0 || buf[end-1] != '\r' {
			return 0, malformedHead
		}
		empty := end-1 == s.line
		s.line, s.seen = end+1, end+1
		if empty {
			return end + 1, wholeHead
		}
	}
}

// parseFrame returns the extent of a request with the given head.
//
// Whatever this function and package net/http could understand differently is malformed. Otherwise bytes that one of them
// takes for a body could be a request for the other (request smuggling).
func parseFrame(head []byte) frame {
	line, rest, ok := cutLine(head)
	if !ok {
		return frame{}
	}
	out := frame{class: exclusive, head: len(head)}
	var keptOpen, old bool
	if out.method, old, ok = parseRequestLine(line); !ok {
		return frame{}
	}
	var length []byte
	for {
		if line, rest, ok = cutLine(rest); !ok {
			return frame{}
		}
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return frame{}
		}
		value = bytes.Trim(value, " \t")
		out.fields++
		switch {
		case equalFold(name, "Content-Length"):
			if length != nil && !bytes.Equal(length, value) {
				return frame{}
			}
			length = value
			out.body, ok = parseLength(value)
		case equalFold(name, "Transfer-Encoding"):
			// Package net/http ignores the field in a request of HTTP/1.0.
			if out.chunked || old {
				return frame{}
			}
			if out.chunked = true; !equalFold(value, "chunked") {
				return frame{otherCoding: true}
			}
		case equalFold(name, "Connection"):
			out.last = out.last || hasOption(value, "close")
			keptOpen = keptOpen || hasOption(value, "keep-alive")
		}
		if !ok {
			return frame{}
		}
	}
	if len(rest) > 0 || length != nil && out.chunked {
		return frame{}
	}
	// Nothing of this protocol follows a tunnel.
	out.last = out.last || old && !keptOpen || out.method == http.MethodConnect
	if length == nil && !out.chunked && (out.method == http.MethodGet || out.method == http.MethodHead) {
		out.class = concurrent
	}
	return out
}

const (
	// freeHeadBytes and freeFields are what a head has at most without a reservation besides that of its request. Nearly all
	// heads are smaller.
	freeHeadBytes, freeFields = 2 << 10, 32
	// headByteMemory is the memory of a byte of a head: in the buffer, as text, and in what is sent to a target.
	headByteMemory = 6
	// fieldMemory is the memory of a field in the maps of a request and of what is sent to a target.
	fieldMemory = 512
)

// headMemory returns the memory in bytes that the head takes, besides what every request takes.
func (f *frame) headMemory() int64 {
	return int64(max(f.head-freeHeadBytes, 0)*headByteMemory + max(f.fields-freeFields, 0)*fieldMemory)
}

// bodyReader returns a reader of the body's extent.
func (f frame) bodyReader() bodyReader {
	if f.chunked {
		return bodyReader{kind: chunkedBody}
	}
	return bodyReader{kind: sizedBody, left: f.body}
}

// cutLine splits buf after its first line, which must end with CR LF and contain no other CR.
func cutLine(buf []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(buf, '\n')
	if i <= 0 || buf[i-1] != '\r' || bytes.IndexByte(buf[:i-1], '\r') >= 0 || bytes.IndexByte(buf[:i], 0) >= 0 {
		return nil, nil, false
	}
	return buf[:i-1], buf[i+1:], true
}

// parseRequestLine returns the method of a request line, and whether its version is HTTP/1.0. Other versions than that and
// HTTP/1.1 are not accepted.
func parseRequestLine(line []byte) (method string, old, ok bool) {
	name, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	old = string(version) == "HTTP/1.0"
	if !isToken(name) || len(target) == 0 || !old && string(version) != "HTTP/1.1" {
		return "", false, false
	}
	switch string(name) {
	case http.MethodGet:
		return http.MethodGet, old, true
	case http.MethodPost:
		return http.MethodPost, old, true
	case "PRI":
		return "", false, false
	}
	return string(name), old, true
}

// hasOption reports whether a list of options of a connection contains one.
func hasOption(list []byte, option string) bool {
	for o := range bytes.SplitSeq(list, []byte(",")) {
		if equalFold(bytes.Trim(o, " \t"), option) {
			return true
		}
	}
	return false
}

func parseLength(value []byte) (int64, bool) {
	if len(value) == 0 {
		return 0, false
	}
	for _, b := range value {
		if b < '0' || b > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	return n, err == nil && n <= maxContentLength
}

func isToken(name []byte) bool {
	for _, b := range name {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		digit := '0' <= b && b <= '9'
		if !letter && !digit && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

func equalFold(name []byte, other string) bool {
	return len(name) == len(other) && bytes.EqualFold(name, []byte(other))
}
