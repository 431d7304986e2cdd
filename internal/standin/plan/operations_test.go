package plan

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/agent"
	"hemlockquay/internal/dispatch"
	"hemlockquay/internal/entry"
)

// metricName finds the literal names of metrics in the code.
var metricName = regexp.MustCompile(`GetOrRegister\w+\("([a-z.]+)"`)

// The operators' page lacks a setting or metric that the programs have: whoever
// looks for it at night does not find it.
func TestOperationsNamesEverySettingAndMetric(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for name, s := range map[string]any{"agent": agent.Settings{}, "dispatch": dispatch.Settings{}, "entry": entry.Settings{}} {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(s)) {
			if tag, _, _ := strings.Cut(field.Tag.Get("json"), ","); tag != "" {
				require.Contains(t, string(page), "`"+tag+"`", "setting of %s", name)
			}
		}
	}
	require.NoError(t, filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range metricName.FindAllStringSubmatch(string(text), -1) {
			require.Contains(t, string(page), "`"+m[1], "metric in %s", path)
		}
		return err
	}))
}
