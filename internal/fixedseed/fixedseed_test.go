package fixedseed

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against failures that a change did not cause: in a package without the fixed seed, a
// property test generates other values on every run.
func TestEveryPropertyTestHasAFixedSeed(t *testing.T) {
	uses, fixed := make(map[string]bool), make(map[string]bool)
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		dir := filepath.Dir(path)
		uses[dir] = uses[dir] || strings.Contains(string(text), `"pgregory.net/rapid"`)
		fixed[dir] = fixed[dir] || strings.Contains(string(text), `"hemlockquay/internal/fixedseed"`)
		return err
	})
	require.NoError(t, err)
	delete(uses, ".")
	for dir, used := range uses {
		require.True(t, !used || fixed[dir], "%s has property tests and does not import fixedseed", dir)
	}
}
