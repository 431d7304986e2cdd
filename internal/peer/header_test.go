package peer

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against headers that are decoded from the wrong offset, so that the caller gets
// a header under another name or with a truncated value.
func FuzzHeaderRoundTrip(f *testing.F) {
	f.Add("\x01\x02\x01a\x02\x01b\x00", "X-A", "1", "")
	f.Add("\xff\xff\xff\xff\xff\xff", "", "a,b", "\x00\n")
	f.Add("\x01\x01\x7fa", "Set-Cookie", "a=1", "b=2")
	f.Add("\x02\x00\x01a\x00\x01a\x00", "A", "", "")
	f.Fuzz(func(t *testing.T, raw, name, first, second string) {
		h := http.Header{name: {first, second}, name + "x": {second}, name + "y": {}}
		text := string(appendHeader(nil, h))
		got, err := parseHeader(text)
		require.NoError(t, err)
		require.Equal(t, h, got)
		for i := range len(text) {
			_, err := parseHeader(text[:i])
			require.ErrorIs(t, err, errMalformedHeaders, "truncated headers were accepted")
		}
		if got, err := parseHeader(raw); err == nil {
			again, err := parseHeader(string(appendHeader(nil, got)))
			require.NoError(t, err)
			require.Equal(t, got, again)
		}
	})
}

// Guards against appending to the values of one header overwriting those of the next, which
// share an array.
func TestHeaderValuesDoNotOverlap(t *testing.T) {
	got, err := parseHeader(string(appendHeader(nil, http.Header{"A": {"1"}, "B": {"2"}})))
	require.NoError(t, err)
	got.Add("A", "x")
	got.Add("B", "y")
	require.Equal(t, http.Header{"A": {"1", "x"}, "B": {"2", "y"}}, got)
}
