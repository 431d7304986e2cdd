package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/route"
)

// Guards against callers' connections that outlast the idle time of the configuration.
func TestCallersConnectionEndsAtTheConfiguredIdleTime(t *testing.T) {
	b := newTestbed(t)
	b.pipelineRequests(8)
	b.addTarget("a", "pool", succeed)
	conn, reader := b.dialFront()
	exchangePipelined(t, conn, reader)
	config := *b.state.view.Load().Routes.Config()
	config.Version, config.Limits = 4, route.Limits{BodyBytes: 100, IdleTimeout: time.Millisecond}
	b.state.setConfig(&config, "test")
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// exchangePipelined sends two requests over a connection and reads their responses.
func exchangePipelined(t *testing.T, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err := io.WriteString(conn, pipelinedTo("patient.example", "/1", "/2"))
	require.NoError(t, err)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
	}
}

// Guards against connections of callers that take more memory than the settings give the process.
func TestCallersConnectionsFollowTheMemoryOfTheSettings(t *testing.T) {
	b := newTestbed(t)
	b.pipelineRequests(8)
	b.settings.MemoryMB = 1
	b.addTarget("a", "pool", succeed)
	first, reader := b.dialFront()
	exchangePipelined(t, first, reader)
	for range 100 {
		conn, err := net.Dial("tcp", first.RemoteAddr().String())
		require.NoError(t, err)
		defer conn.Close()
		exchangePipelined(t, conn, bufio.NewReader(conn))
	}
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the connection that has been idle for longest")
}
