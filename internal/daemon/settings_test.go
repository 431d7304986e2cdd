package daemon_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/agent"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/dispatch"
	"hemlockquay/internal/entry"
	"hemlockquay/internal/settings"
)

// newSettings returns empty settings of a daemon and a settings file with the fields that it requires.
func newSettings(name string) (daemon.Settings, string) {
	const base = "{\n\"vm\": \"vm1\",\n\"dataCentre\": \"a\",\n\"admin\": \"127.0.0.1:0\",\n\"listen\": \"127.0.0.1:0\",\n"
	switch name {
	case "agent":
		return new(agent.Settings), base + `"store": "http://127.0.0.1:1"`
	case "dispatch":
		return new(dispatch.Settings), base + `"agent": "127.0.0.1:1"`
	}
	return new(entry.Settings), base + `"agent": "127.0.0.1:1"`
}

// fieldLine is the line at which the tests put the field under test.
const fieldLine = 7

// A settings file has a mistake. The daemon must not start, and must report the line and field:
// a misspelt limit that is silently ignored would not be in force.
func TestSettingsAreRefusedWithLineAndField(t *testing.T) {
	cases := []struct{ daemon, field, value string }{
		{"all", "nonsense", `1`},
		{"all", "log", `"loud"`}, {"all", "log", `7`},
		{"all", "journalLength", `-1`}, {"all", "journalLength", `1048577`}, {"all", "journalLength", `"many"`},
		{"all", "leaveLead", `"-1s"`}, {"all", "leaveLead", `"31s"`}, {"all", "leaveLead", `5`}, {"all", "leaveLead", `"soon"`},
		{"agent", "storeTimeout", `"-1s"`}, {"agent", "heartbeat", `"-1ms"`},
		{"agent", "silence", `"100ms"`}, {"agent", "takeoverSilence", `"1ms"`}, {"agent", "authority", `"1ms"`},
		{"agent", "clockMargin", `"-1ms"`}, {"agent", "takeoverPatience", `"-1ms"`}, {"agent", "releaseLimit", `"-1s"`},
		{"agent", "grantEvery", `"-1ms"`}, {"agent", "grantLife", `"100ms"`}, {"agent", "peers", `["somewhere"]`},
		{"dispatch", "order", `"lifo"`}, {"dispatch", "queueLength", `-1`}, {"dispatch", "queueLength", `1.5`},
		{"dispatch", "targetConnections", `-1`}, {"dispatch", "targetConnections", `100001`},
		{"entry", "peerListen", `"here"`}, {"entry", "peerConnections", `-1`}, {"entry", "peerConnections", `257`},
		{"entry", "readTimeout", `"-1s"`}, {"entry", "maxHeader", `1023`}, {"entry", "maxHeader", `1048577`},
	}
	for _, c := range cases {
		daemons := []string{c.daemon}
		if c.daemon == "all" {
			daemons = []string{"agent", "dispatch", "entry"}
		}
		for _, name := range daemons {
			t.Run(name+" "+c.field+" "+c.value, func(t *testing.T) {
				s, required := newSettings(name)
				require.NoError(t, settings.Decode("f.jsonc", []byte(required+"\n}"), s))
				s, _ = newSettings(name)
				err := settings.Decode("f.jsonc", []byte(required+",\n\""+c.field+"\": "+c.value+"\n}"), s)
				requireErrorAt(t, err, c.field, fieldLine)
			})
		}
	}
}

func requireErrorAt(t *testing.T, err error, field string, line int) {
	t.Helper()
	var e *settings.Error
	require.True(t, errors.As(err, &e), "%v", err)
	require.Equal(t, "/"+field, strings.TrimSuffix(e.Field, "/0"), err)
	require.Equal(t, line, e.Line, err)
	require.NotEmpty(t, e.Reason)
	require.Equal(t, "f.jsonc", e.Source)
}

func TestRequiredFieldsAndAddresses(t *testing.T) {
	for _, name := range []string{"agent", "dispatch", "entry"} {
		_, required := newSettings(name)
		for i, line := range strings.Split(required, "\n")[1:] {
			field := strings.Trim(strings.SplitN(line, ":", 2)[0], `"`)
			s, _ := newSettings(name)
			err := settings.Decode("f.jsonc", []byte(strings.Replace(required, line, `"`+field+`": "",`, 1)+"\n}"), s)
			requireErrorAt(t, err, field, i+2)
		}
	}
}
