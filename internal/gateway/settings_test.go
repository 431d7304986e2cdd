package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/settings"
)

func loadSettings(t *testing.T, more string) (*Settings, error) {
	file := filepath.Join(t.TempDir(), "node.json")
	text := `{"vm":"a","dataCentre":"b","admin":"127.0.0.1:1","front":"127.0.0.1:2","ready":"127.0.0.1:3","peers":"127.0.0.1:4","store":"127.0.0.1:5"` + more + `}`
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	s := new(Settings)
	return s, settings.Load(file, s)
}

// Guards against parts that work in a deployment whose settings do not name them.
func TestNewPartsAreOffByDefault(t *testing.T) {
	s, err := loadSettings(t, "")
	require.NoError(t, err)
	require.Zero(t, s.Pipeline.Requests)
	require.Zero(t, s.Places.FromVMs)
	require.False(t, s.Spread.Surges)
}

// Guards against settings that are out of range or contradict each other and come into force.
func TestUnusableSettingsNameTheField(t *testing.T) {
	for more, field := range map[string]string{
		`,"pipeline":{"requests":-1}`:                     "/pipeline/requests",
		`,"pipeline":{"requests":1000}`:                   "/pipeline/requests",
		`,"pipeline":{"requests":8,"readAhead":100}`:      "/pipeline/readAhead",
		`,"pipeline":{"requests":8,"writeTimeout":"-1s"}`: "/pipeline/writeTimeout",
		`,"places":{"fromVMs":-1}`:                        "/places/fromVMs",
		`,"spread":{"moves":-1}`:                          "/spread/moves",
		`,"spread":{"ranges":5}`:                          "/spread/ranges",
		`,"spread":{"ranges":100000}`:                     "/spread/ranges",
	} {
		_, err := loadSettings(t, more)
		require.Error(t, err, more)
		require.True(t, strings.Contains(err.Error(), field), "%s: %v", more, err)
	}
}
