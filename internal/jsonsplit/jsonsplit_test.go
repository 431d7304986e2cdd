package jsonsplit

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "hemlockquay/internal/fixedseed"
)

func TestPartsOfObjectsAndArrays(t *testing.T) {
	members, err := Members([]byte(" {\"a\" : {\"x\":[1,\"}\"]} ,\"b\\u0063\":-1e5,\"a\":\"\\\\\\\"\"} \n"))
	require.NoError(t, err)
	require.Equal(t, map[string]json.RawMessage{"a": json.RawMessage(`"\\\""`), "bc": json.RawMessage("-1e5")}, members)
	elements, err := Elements([]byte(`[1 ,[2,{}],null]`))
	require.NoError(t, err)
	require.Equal(t, []json.RawMessage{json.RawMessage("1 "), json.RawMessage("[2,{}]"), json.RawMessage("null")}, elements)
	for _, empty := range []string{"[]", " [ ] "} {
		elements, err := Elements([]byte(empty))
		require.NoError(t, err)
		require.Empty(t, elements)
	}
}

// Guards against a list that is lost because of one value in it.
func TestDeepNestingIsSkipped(t *testing.T) {
	const depth = 1 << 20
	deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	elements, err := Elements([]byte(`[{"good":1},{"odd":` + deep + `},{"good":2}]`))
	require.NoError(t, err)
	require.Len(t, elements, 3)
	members, err := Members(elements[1])
	require.NoError(t, err)
	require.Len(t, members["odd"], 2*depth)
}

// Guards against a truncated list that is taken for a whole one.
func TestEveryTruncationIsAnError(t *testing.T) {
	whole := `{"items":[{"a":"\"]"},{"b":[{}]}],"more":false}`
	for i := range whole {
		_, err := Members([]byte(whole[:i]))
		require.Error(t, err, whole[:i])
	}
	for _, bad := range []string{"", "null", "[1,]", "[,]", "[1 2] 3", `{"a"}`, `{"a":}`, `{1:2}`, "[1]x", "{}", `{"a":1 "b":2`} {
		_, err := Elements([]byte(bad))
		require.Error(t, err, bad)
	}
}

// The split and package encoding/json agree about every valid text.
func TestSplitAgreesWithTheDecoder(t *testing.T) {
	text := rapid.StringMatching(`[a-z"\\{}\[\],: ]{0,6}`)
	value := rapid.OneOf(
		rapid.Map(text, func(s string) any { return s }), rapid.Map(rapid.Float64Range(-1e9, 1e9), func(f float64) any { return f }),
		rapid.Map(rapid.SliceOf(text), func(s []string) any { return s }), rapid.Map(rapid.MapOf(text, text), func(m map[string]string) any { return m }))
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOf(value).Draw(t, "list")
		encoded, err := json.Marshal(map[string]any{"list": list})
		require.NoError(t, err)
		members, err := Members(encoded)
		require.NoError(t, err)
		if list == nil {
			require.Equal(t, "null", string(members["list"]))
			return
		}
		elements, err := Elements(members["list"])
		require.NoError(t, err)
		var want []json.RawMessage
		require.NoError(t, json.Unmarshal(members["list"], &want))
		require.Len(t, elements, len(want))
		for i := range want {
			require.JSONEq(t, string(want[i]), string(elements[i]))
		}
	})
}
