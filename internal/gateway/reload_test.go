package gateway

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a SIGHUP that ends the process before or after the time in which the settings are
// watched.
func TestSIGHUPDuringStartOrStopDoesNotEndTheProcess(t *testing.T) {
	g := newTestGateway(newManualClock(time.Hour))
	t.Cleanup(g.mesh.Close)
	g.receiveSIGHUP()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	g.watchSettings(ctx)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, syscall.SIGHUP, <-g.sighups)
}

// Guards against a reload that changes the grace during a shutdown: requests would be accepted by
// another grace than the one by which the process ends.
func TestReloadDoesNotChangeGraceDuringShutdown(t *testing.T) {
	g := newTestGateway(newManualClock(time.Hour))
	t.Cleanup(g.mesh.Close)
	file := filepath.Join(t.TempDir(), "gateway.jsonc")
	g.settings.SetSource(file)
	write := func(grace string) {
		require.NoError(t, os.WriteFile(file, []byte(`{"vm": "self", "dataCentre": "a", "admin": "127.0.0.1:1", "front": "127.0.0.1:1",
			"ready": "127.0.0.1:1", "peers": "127.0.0.1:1", "store": "127.0.0.1:1", "grace": "`+grace+`"}`), 0o600))
		g.reloadSettings("test")
	}
	write("5s")
	require.Equal(t, 5*time.Second, time.Duration(g.grace.Load()))
	g.beginLeaving()
	write("9s")
	require.Equal(t, 5*time.Second, time.Duration(g.grace.Load()))
}
