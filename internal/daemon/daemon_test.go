package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"hemlockquay/internal/command"
	"hemlockquay/internal/model"
)

// minimalSettings are the settings of a daemon that has none of its own.
type minimalSettings struct{ Base }

func (p *minimalSettings) Check() error { return p.CheckBase() }

func newMinimalSettings(t *testing.T) *minimalSettings {
	s := &minimalSettings{Base{VM: "vm1", DataCentre: "a", Admin: "127.0.0.1:0", LeaveLead: model.Duration(time.Millisecond)}}
	require.NoError(t, s.Check())
	return s
}

var discardLogger = &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}

// newTestApp returns the application of a daemon that runs stop when it shuts down.
func newTestApp(t *testing.T, life **Lifecycle, stop func(context.Context) error) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		BaseModule("hq-test", newMinimalSettings(t), discardLogger),
		fx.Populate(life),
		fx.Invoke(func(lc fx.Lifecycle) { lc.Append(fx.Hook{OnStop: stop}) }),
	)
}

func fixedTimeout(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// Guards against a repeated SIGTERM, as supervisors send it, aborting the requests that are in
// flight during the drain.
func TestSecondSignalDoesNotCutTheDrainShort(t *testing.T) {
	var life *Lifecycle
	signals := make(chan os.Signal, 1)
	contextAlive := false
	app := newTestApp(t, &life, func(ctx context.Context) error {
		signals <- syscall.SIGTERM
		contextAlive = ctx.Err() == nil
		return nil
	})
	signals <- syscall.SIGTERM
	require.Equal(t, command.OK, runApp(app, discardLogger, signals, fixedTimeout(time.Minute)))
	require.True(t, contextAlive)
	require.Len(t, signals, 1, "nothing reads the second signal")
}

// A request takes longer than the time limit of the drain. The daemon must end all the same, with
// the exit code of a failure.
func TestDrainThatOutlivesItsBoundFails(t *testing.T) {
	var life *Lifecycle
	app := newTestApp(t, &life, func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	require.Equal(t, command.Failure, runApp(app, discardLogger, signals, fixedTimeout(10*time.Millisecond)))
}

func TestDaemonThatCannotStartFails(t *testing.T) {
	app := fx.New(fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Invoke(func() error { return errors.New("address in use") }))
	require.Equal(t, command.Failure, runApp(app, discardLogger, nil, fixedTimeout(time.Second)))
}

// A VM is replaced before its daemons have received a configuration. They must still stop when
// they are asked to, here by /drain.
func TestDrainWhileNotReady(t *testing.T) {
	var life *Lifecycle
	drained := make(chan string, 1)
	app := newTestApp(t, &life, func(ctx context.Context) error {
		life.BeginDrain()
		life.WaitLeaveLead(ctx)
		life.MarkDrained()
		drained <- life.Dump().State
		return nil
	})
	ended := make(chan int, 1)
	require.NoError(t, app.Err())
	go func() { ended <- runApp(app, discardLogger, nil, fixedTimeout(time.Minute)) }()
	url := "http://" + life.AdminAddr()
	ready, err := http.Get(url + "/readyz")
	require.NoError(t, err)
	why, _ := io.ReadAll(ready.Body)
	ready.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, ready.StatusCode)
	require.Contains(t, string(why), "no configuration yet")
	resp, err := http.Post(url+"/drain", "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusAccepted, resp.StatusCode)
	require.Equal(t, command.OK, <-ended)
	require.Equal(t, string(stateStopped), <-drained)
	require.False(t, life.Serving())
}

func TestExitCodes(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.jsonc")
	require.NoError(t, os.WriteFile(good, []byte(`{"vm": "vm1", "dataCentre": "a", "admin": "127.0.0.1:0"} // ok`), 0o600))
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	require.NoError(t, os.WriteFile(bad, []byte(`{"vm": "vm1", "log": "loud"}`), 0o600))
	broken := fx.Invoke(func() error { return errors.New("must not be built") })
	cases := map[string]int{
		"--help": command.OK, "--version": command.OK,
		"--config " + good + " --check": command.OK,
		"--config " + bad + " --check":  command.Usage,
		"--config " + bad:               command.Usage,
		"--config no-such-file":         command.Usage,
		"--check":                       command.Usage,
		"--nothing":                     command.Usage,
		"--config " + good:              command.Failure,
	}
	for args, want := range cases {
		require.Equal(t, want, run("hq-test", strings.Fields(args), new(minimalSettings), broken), args)
	}
}
