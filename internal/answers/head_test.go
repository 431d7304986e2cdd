package answers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
	"hemlockquay/internal/standin/link/linktest"
)

// scanInParts returns the verdict about a head that is received in parts.
func scanInParts(text string, cuts ...int) error {
	h := head{state: beforeStatus}
	begin := 0
	for _, end := range append(cuts, len(text)) {
		end = max(min(end, len(text)), begin)
		if err := h.scan([]byte(text[begin:end])); err != nil {
			return err
		}
		begin = end
	}
	return nil
}

// parse returns the final answer that the parser of net/http reads.
func parse(text string) (*http.Response, error) {
	in := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || !interim(resp.StatusCode) {
			return resp, err
		}
	}
}

// Guards against a verdict that depends on how a head is split over reads, and against answers that pass although their status or a name is malformed.
func TestVerdictDependsOnTheBytesAlone(t *testing.T) {
	known := linktest.SoundNames()
	known = append(known, linktest.BrokenNames()...)
	known = append(known, linktest.BrokenStatuses()...)
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(rapid.SampledFrom(known).Draw(t, "answer").Reply.Text)
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			text[at] = rapid.SampledFrom([]byte("\r\n \t:;01259Aa\x00\x7f\xff")).Draw(t, "byte")
		}
		whole := scanInParts(string(text))
		parts := scanInParts(string(text), rapid.IntRange(0, len(text)).Draw(t, "first"), rapid.IntRange(0, len(text)).Draw(t, "second"))
		require.Equal(t, whole, parts)
		if whole != nil {
			require.ErrorIs(t, whole, ErrBroken)
			return
		}
		if resp, err := parse(string(text)); err == nil {
			require.NoError(t, Check(resp.StatusCode, resp.Header))
		}
	})
	for _, e := range linktest.SoundNames() {
		require.NoError(t, scanInParts(e.Reply.Text), e.Name)
	}
	for _, e := range linktest.SoundReplies() {
		require.NoError(t, scanInParts(e.Reply.Text), e.Name)
	}
}

// Guards against a head behind an earlier answer that is not checked as it was received with that one.
func TestHeadInTheBufferIsChecked(t *testing.T) {
	c := NewConn(nil)
	require.NoError(t, c.Begin([]byte("HTTP/1.1 2")))
	require.True(t, c.Began())
	require.ErrorIs(t, c.Begin([]byte("HTTP/1.1 000 Trouble\r\n")), ErrBroken)
}

// endedConn is a connection whose server has ended its direction.
type endedConn struct{ net.Conn }

func (endedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against a read at the end of a stream that waits for a write on a connection of which the system knows nothing.
func TestEndOfAStreamDoesNotWaitForAWrite(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	c := NewConn(endedConn{near})
	wrote := make(chan error)
	go func() {
		_, err := c.Write([]byte("request"))
		wrote <- err
	}()
	one := make([]byte, 1)
	_, err := far.Read(one)
	require.NoError(t, err)
	_, err = c.Read(one)
	require.Equal(t, io.EOF, err)
	far.Close()
	require.Error(t, <-wrote)
}
