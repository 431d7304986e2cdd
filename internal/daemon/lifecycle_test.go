package daemon

import (
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"hemlockquay/internal/journal"
)

func newTestLifecycle() *Lifecycle {
	return newLifecycle("test", &Base{VM: "vm1"}, &log.Logger{Level: log.PanicLevel}, journal.New("vm1", "test", 16), nil)
}

// The configuration and the conditions of Require may be met in either order. The daemon must not
// be ready before it has both, and /readyz must tell which one is missing.
func TestReadyNeedsAllThatIsRequired(t *testing.T) {
	for _, configuredFirst := range []bool{true, false} {
		l := newTestLifecycle()
		one, two := l.Require("one is missing"), l.Require("two is missing")
		if configuredFirst {
			l.MarkConfigured()
			_, why := l.IsReady()
			require.Equal(t, "one is missing", why)
		}
		one()
		one()
		ready, _ := l.IsReady()
		require.False(t, ready)
		two()
		if !configuredFirst {
			ready, why := l.IsReady()
			require.False(t, ready)
			require.Equal(t, "no configuration yet", why)
			l.MarkConfigured()
		}
		ready, _ = l.IsReady()
		require.True(t, ready)
		require.True(t, l.Serving())
	}
}

// A readiness condition that is met after the drain began must not make the daemon ready.
func TestRequirementMetAfterDrain(t *testing.T) {
	l := newTestLifecycle()
	met := l.Require("something is missing")
	l.MarkConfigured()
	l.BeginDrain()
	met()
	ready, why := l.IsReady()
	require.False(t, ready)
	require.Equal(t, "draining", why)
}
