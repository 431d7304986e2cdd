package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against brackets in strings and comments that count as nesting, and against nesting that does not count behind them.
func TestDepthOfJSONWithComments(t *testing.T) {
	deep := strings.Repeat("[", maxDepth+1)
	for _, text := range []string{
		`"` + deep + `"`, `"\"` + deep + `"`, "// " + deep + "\n{}", "/* " + deep + " */ {}", "//" + deep, "/*" + deep, `"` + deep, deep[1:], strings.Repeat("[]", 2*maxDepth),
	} {
		require.NoError(t, CheckDepth([]byte(text)), "%.40s", text)
	}
	for _, text := range []string{deep, `"\\"` + deep, "// \"\n" + deep, "/* \" */" + deep, "{" + deep[1:], "/" + deep} {
		require.ErrorIs(t, CheckDepth([]byte(text)), errTooDeep, "%.40s", text)
	}
}
