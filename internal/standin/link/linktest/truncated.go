package linktest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Truncation is an answer that breaks off.
type Truncation struct {
	// Text is what the server sends before it ends the connection, by a reset or by a close.
	Text  string
	Reset bool
}

// End writes the answer to a connection and ends it.
func (b Truncation) End(c net.Conn) {
	_, _ = io.WriteString(c, b.Text)
	if tcp, ok := c.(*net.TCPConn); ok && b.Reset {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// EachTruncation runs try for each part of an answer that is shorter than size bytes, with a close and with a reset.
func EachTruncation(t *testing.T, answer string, size int, try func(t *testing.T, b Truncation)) {
	for n := range size {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, reset %t", n, reset), func(t *testing.T) { try(t, Truncation{answer[:n], reset}) })
		}
	}
}

// ServeTruncation returns the address of a server that answers the first request of each connection with b.
func ServeTruncation(t *testing.T, b Truncation) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				b.End(c)
			}()
		}
	}()
	return l.Addr().String()
}
