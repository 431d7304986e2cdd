// Package examples_test checks that the programs accept the example files.
package examples_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/agent"
	"hemlockquay/internal/ctl/cli"
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/dispatch"
	"hemlockquay/internal/entry"
	"hemlockquay/internal/gateway"
	"hemlockquay/internal/settings"
)

var deployments = []string{"sjalfvirkni", "kalahari"}

// newSettings returns empty settings of the named daemon.
func newSettings(name string) daemon.Settings {
	switch name {
	case "agent":
		return new(agent.Settings)
	case "dispatch":
		return new(dispatch.Settings)
	case "gateway":
		return new(gateway.Settings)
	}
	return new(entry.Settings)
}

// fields returns the names of all fields and of those without a default.
func fields(t reflect.Type) (all, required []string) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			a, r := fields(f.Type)
			all, required = append(all, a...), append(required, r...)
			continue
		}
		if !f.IsExported() {
			continue
		}
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		all = append(all, name)
		if options == "" {
			required = append(required, name)
		}
	}
	return all, required
}

// nonDefault names, for each daemon, the optional field whose example value is not the default.
var nonDefault = map[string]string{"agent": "peers", "entry": "peerListen", "gateway": "seeds"}

// Guards against outdated example files: each settings file must contain every field, and
// every optional field must have its default value, except those in nonDefault.
func TestSettingsShowEveryFieldAndItsDefault(t *testing.T) {
	for _, d := range deployments {
		for _, name := range []string{"agent", "dispatch", "entry", "gateway"} {
			t.Run(d+"/"+name, func(t *testing.T) {
				file := filepath.Join(d, "settings", name+".jsonc")
				shown, defaults := newSettings(name), newSettings(name)
				require.NoError(t, settings.Load(file, shown))
				all, required := fields(reflect.TypeOf(shown).Elem())
				text, err := os.ReadFile(file)
				require.NoError(t, err)
				for _, field := range all {
					require.Contains(t, string(text), "\n  \""+field+"\": ", "the field is not shown")
				}
				minimalFields := make(map[string]json.RawMessage)
				for field, value := range jsonFields(t, shown) {
					if slices.Contains(append(required, nonDefault[name]), field) {
						minimalFields[field] = value
					}
				}
				minimal, err := json.Marshal(minimalFields)
				require.NoError(t, err)
				require.NoError(t, settings.Decode("minimal", minimal, defaults))
				require.Equal(t, defaults, shown)
			})
		}
	}
}

// jsonFields returns the JSON fields of v by name.
func jsonFields(t *testing.T, v any) map[string]json.RawMessage {
	text, err := json.Marshal(v)
	require.NoError(t, err)
	var out map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(text, &out))
	return out
}

// Operators copy the object files, so hqctl must accept them.
func TestObjectsPassHqctl(t *testing.T) {
	for _, d := range deployments {
		for _, kind := range []string{"service", "contract"} {
			files, err := filepath.Glob(filepath.Join(d, "objects", kind+".*.jsonc"))
			require.NoError(t, err)
			require.Len(t, files, 3)
			var out, log bytes.Buffer
			require.Equal(t, cli.ExitOK, cli.Run(append([]string{kind, "check"}, files...), &out, &log), log.String())
		}
	}
}
