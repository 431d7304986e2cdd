package linktest

import (
	"fmt"
	"strings"
	"time"
)

// uploads are sizes of request bodies in bytes: sent in one write with the head, within the buffers of the system, and beyond them.
var uploads = []int{9, 64 << 10, 1 << 20, 8 << 20}

// MaxUpload is the size of the largest upload of Cuts and SoundReplies, in bytes.
const MaxUpload = 8 << 20

// Exchange is a request with a body of some bytes, and its reply.
type Exchange struct {
	Name   string
	Upload int
	Reply  Reply
	// Status and Body are those of the answer, if the reply is sound.
	Status int
	Body   string
}

// Cuts returns replies without a length whose connection is reset before their end.
func Cuts() []Exchange {
	const text = "HTTP/1.1 200 OK\r\nId: $id\r\nHq-Request-Id: $id\r\n\r\nfirst part"
	var out []Exchange
	for _, upload := range uploads {
		for _, early := range []bool{true, false} {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				name := fmt.Sprintf("%d bytes, early %t, reset after %v", upload, early, delay)
				out = append(out, Exchange{Name: name, Upload: upload, Reply: Reply{Text: text, Early: early, End: Reset, Delay: delay}})
			}
		}
		if upload >= 64<<10 {
			out = append(out, Exchange{Name: fmt.Sprintf("%d bytes, closed unread", upload), Upload: upload, Reply: Reply{Text: text, Early: true, End: CloseUnread}})
		}
	}
	return out
}

// SoundReplies returns complete replies that a reader could take for broken ones.
func SoundReplies() []Exchange {
	const (
		head   = "HTTP/1.1 200 OK\r\nId: $id\r\nHq-Request-Id: $id\r\n"
		length = head + "Content-Length: 4\r\n\r\nbody"
		chunks = head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
		none   = head + "\r\nbody"
	)
	tooLarge := strings.Replace(length, "200 OK", "413 Too Large", 1)
	replies := []struct {
		name string
		Reply
	}{
		{"no length, FIN", Reply{Text: none, End: HalfClose}},
		{"no length, early, FIN", Reply{Text: none, Early: true, End: HalfClose}},
		{"no length, early, FIN, upload blocked", Reply{Text: none, Early: true, End: HalfCloseUnread}},
		{"no length, early, FIN, reset at once", Reply{Text: none, Early: true, End: HalfCloseReset}},
		{"no length, early, FIN, reset", Reply{Text: none, Early: true, End: HalfCloseReset, Delay: 50 * time.Millisecond}},
		{"length, early", Reply{Text: length, Early: true}},
		{"length, early, FIN", Reply{Text: length, Early: true, End: HalfClose}},
		{"chunks, early, FIN", Reply{Text: chunks, Early: true, End: HalfClose}},
		{"413, early, reset", Reply{Text: tooLarge, Early: true, End: Reset, Delay: 50 * time.Millisecond}},
		{"interim", Reply{Text: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + length}},
		{"no reason", Reply{Text: strings.Replace(length, " OK", "", 1)}},
		{"HTTP/1.0", Reply{Text: strings.Replace(none, "1.1", "1.0", 1), End: HalfClose}},
	}
	var out []Exchange
	for _, r := range replies {
		for _, upload := range append([]int{0}, uploads...) {
			e := Exchange{Name: fmt.Sprintf("%s, %d bytes", r.name, upload), Upload: upload, Reply: r.Reply, Status: 200, Body: "body"}
			if r.Text == tooLarge {
				e.Status = 413
			}
			out = append(out, e)
		}
	}
	return out
}

// BrokenStatuses returns replies whose status is none of a final answer.
func BrokenStatuses() []Exchange {
	var out []Exchange
	add := func(name, text string) {
		out = append(out, Exchange{Name: name, Reply: Reply{Text: text}}, Exchange{Name: name + ", FIN", Reply: Reply{Text: text, End: HalfClose}})
	}
	for _, status := range []string{"000", "001", "020", "099", "+20", "-20", "+99", "600", "999", "0", "20", "2000", "2 0", "1xx", "abc", "101", "\x0020", ""} {
		head := "HTTP/1.1 " + status + " Trouble\r\nId: $id\r\nHq-Request-Id: $id\r\n"
		add(fmt.Sprintf("%q with a length", status), head+"Content-Length: 4\r\n\r\nbody")
		add(fmt.Sprintf("%q without a length", status), head+"\r\nbody")
		add(fmt.Sprintf("%q behind an interim answer", status), "HTTP/1.1 103 Early Hints\r\n\r\n"+head+"Content-Length: 4\r\n\r\nbody")
	}
	add("000 before an own 200", "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: $id\r\nHq-Request-Id: $id\r\nContent-Length: 4\r\n\r\nbody")
	return out
}

// OnKeptConns returns each exchange behind a sound one that keeps its connection open.
func OnKeptConns(exchanges []Exchange) []Exchange {
	sound := SoundNames()[0]
	var out []Exchange
	for _, e := range exchanges {
		out = append(out, sound, e)
	}
	return out
}

// BrokenReplies returns one reply of each kind of this file that is broken, with a body that is sound by itself.
func BrokenReplies(body string) []Exchange {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	return []Exchange{
		{Name: "cut", Reply: Reply{Text: head + "\r\n" + body, End: Reset}},
		{Name: "cut during the upload", Upload: MaxUpload, Reply: Reply{Text: head + "\r\n" + body, Early: true, End: Reset}},
		{Name: "short", Reply: Reply{Text: head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+1, body), End: HalfClose}},
		{Name: "status 000", Reply: Reply{Text: strings.Replace(head, "200", "000", 1) + length}},
		{Name: "status 600", Reply: Reply{Text: strings.Replace(head, "200", "600", 1) + length}},
		{Name: "status +20", Reply: Reply{Text: strings.Replace(head, "200", "+20", 1) + length}},
		{Name: "blank in a name", Reply: Reply{Text: head + "X A: b\r\n" + length}},
		{Name: "blank behind a name", Reply: Reply{Text: head + fmt.Sprintf("Content-Length : 1\r\n\r\n%s", body), End: HalfClose}},
		{Name: "folded", Reply: Reply{Text: head + " Content-Length: 1\r\n\r\n" + body, End: HalfClose}},
		{Name: "control byte in a name", Reply: Reply{Text: head + "X\x01A: b\r\n" + length}},
	}
}

// ReplyWithField returns a reply with one more line in its head.
func ReplyWithField(line string) string {
	return "HTTP/1.1 200 OK\r\nId: $id\r\nHq-Request-Id: $id\r\nServer: s\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody"
}

// BrokenNames returns replies with a byte in the name of a field that no name may hold, and replies whose body has another end if such a
// name is ignored.
func BrokenNames() []Exchange {
	var out []Exchange
	add := func(name, text string, end Ending) {
		out = append(out, Exchange{Name: name, Reply: Reply{Text: text, End: end}})
	}
	for b := range 256 {
		for _, f := range fieldsWith(byte(b)) {
			if !soundName(byte(b), f.at) {
				add(fmt.Sprintf("byte %d at the %s", b, f.at), ReplyWithField(f.line), KeepOpen)
			}
		}
	}
	const head = "HTTP/1.1 200 OK\r\nId: $id\r\nHq-Request-Id: $id\r\nServer: s\r\n"
	for _, name := range []string{"Content-Length ", " Content-Length", "\tContent-Length", "Content-Length\t", "Content Length", "Content-Length\x00", "\x7fContent-Length"} {
		add(fmt.Sprintf("%q", name), head+name+": 1\r\n\r\nbo", HalfClose)
	}
	for _, name := range []string{"Transfer-Encoding ", " Transfer-Encoding", "Transfer\x01-Encoding"} {
		add(fmt.Sprintf("%q", name), head+name+": chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", HalfClose)
	}
	add("in an interim answer", "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n"+ReplyWithField("X-A: b"), KeepOpen)
	add("in the first field", "HTTP/1.1 200 OK\r\n X-A: b\r\nId: $id\r\nHq-Request-Id: $id\r\nContent-Length: 4\r\n\r\nbody", KeepOpen)
	add("no colon", ReplyWithField("X-A"), KeepOpen)
	add("no name", ReplyWithField(": b"), KeepOpen)
	return out
}

// SoundNames returns replies with each byte in the name of a field that a name may hold.
func SoundNames() []Exchange {
	var out []Exchange
	for b := range 256 {
		for _, f := range fieldsWith(byte(b)) {
			// A line break at the start ends the head.
			if soundName(byte(b), f.at) && b != '\n' {
				out = append(out, Exchange{Name: fmt.Sprintf("byte %d at the %s", b, f.at), Reply: Reply{Text: ReplyWithField(f.line)}, Status: 200, Body: "body"})
			}
		}
	}
	return out
}

// field is a line of a head with a certain byte at a place of its name.
type field struct{ at, line string }

// fieldsWith returns lines with a byte at different places of the name.
func fieldsWith(b byte) []field {
	c := string([]byte{b})
	return []field{{"start", c + "XA: v"}, {"middle", "X" + c + "A: v"}, {"end", "XA" + c + ": v"}}
}

// soundName reports whether a head is sound whose field has the byte at that place of its name.
func soundName(b byte, at string) bool {
	switch b {
	case ':':
		// It ends the name.
		return at != "start"
	case '\n':
		return at == "start"
	}
	letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
	return letter || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
