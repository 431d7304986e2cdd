package pipeline

import (
	"bytes"
	"net/http"
	"strconv"
)

// class says how a request may run beside the other requests of its connection.
type class int

const (
	// partial: the head of the request has not been received completely.
	partial class = iota
	// concurrent: the request has a safe method and no body, so it may run beside such requests.
	concurrent
	// exclusive: the request runs when those before it have been answered, and those behind it wait.
	exclusive
	// opaque: this package does not know where the request ends. Package net/http gets it and all that follows.
	opaque
)

// frame describes the first request in a buffer.
type frame struct {
	class  class
	method string
	// head is the size of the head in bytes, body that of the body unless it is chunked.
	head    int
	body    int64
	chunked bool
	// last reports whether the request is the last one of its connection.
	last bool
}

const maxContentLength = 1 << 40

// parseFrame returns the extent of the first request in buf.
//
// Whatever this function and package net/http could understand differently is opaque. Otherwise bytes that one of them
// takes for a body could be a request for the other (request smuggling).
func parseFrame(buf []byte) frame {
	line, rest, state := cutLine(buf)
	if state != wholeLine {
		return frame{class: state.class()}
	}
	out := frame{class: exclusive}
	var ok bool
	if out.method, ok = parseRequestLine(line); !ok {
		return frame{class: opaque}
	}
	lengths := 0
	for {
		line, rest, state = cutLine(rest)
		if state != wholeLine {
			return frame{class: state.class()}
		}
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return frame{class: opaque}
		}
		value = bytes.Trim(value, " \t")
		switch {
		case equalFold(name, "Content-Length"):
			lengths++
			out.body, ok = parseLength(value)
		case equalFold(name, "Transfer-Encoding"):
			ok = !out.chunked && equalFold(value, "chunked")
			out.chunked = true
		case equalFold(name, "Connection"):
			out.last = out.last || equalFold(value, "close")
			ok = out.last || equalFold(value, "keep-alive")
		case equalFold(name, "Expect"):
			ok = equalFold(value, "100-continue")
		case equalFold(name, "Upgrade"):
			ok = false
		}
		if !ok {
			return frame{class: opaque}
		}
	}
	if lengths > 1 || lengths > 0 && out.chunked {
		return frame{class: opaque}
	}
	out.head = len(buf) - len(rest)
	if lengths == 0 && !out.chunked && (out.method == http.MethodGet || out.method == http.MethodHead) {
		out.class = concurrent
	}
	return out
}

// bodyReader returns a reader of the body's extent.
func (f frame) bodyReader() bodyReader {
	switch {
	case f.class == opaque:
		return bodyReader{kind: endlessBody}
	case f.chunked:
		return bodyReader{kind: chunkedBody}
	}
	return bodyReader{kind: sizedBody, left: f.body}
}

// lineState says whether a buffer begins with a whole line.
type lineState int

const (
	wholeLine lineState = iota
	partialLine
	invalidLine
)

func (s lineState) class() class {
	if s == partialLine {
		return partial
	}
	return opaque
}

// cutLine splits buf after its first line, which must end with CR LF and contain no other CR.
func cutLine(buf []byte) (line, rest []byte, state lineState) {
	i := bytes.IndexByte(buf, '\n')
	if i < 0 {
		return nil, nil, partialLine
	}
	if i == 0 || buf[i-1] != '\r' || bytes.IndexByte(buf[:i-1], '\r') >= 0 || bytes.IndexByte(buf[:i], 0) >= 0 {
		return nil, nil, invalidLine
	}
	return buf[:i-1], buf[i+1:], wholeLine
}

// parseRequestLine returns the method of a request line of HTTP/1.1.
func parseRequestLine(line []byte) (method string, ok bool) {
	name, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(name) || len(target) == 0 || string(version) != "HTTP/1.1" {
		return "", false
	}
	switch string(name) {
	case http.MethodGet:
		return http.MethodGet, true
	case http.MethodPost:
		return http.MethodPost, true
	case "PRI", http.MethodConnect:
		return "", false
	}
	return string(name), true
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
